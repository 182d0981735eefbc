"""Ownership of a partition and scheduling of its jobs."""
