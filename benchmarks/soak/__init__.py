"""Soak test that injects random faults into the platform deployment."""
