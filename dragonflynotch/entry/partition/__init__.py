"""Ownership of a partition and the scheduling in it."""
