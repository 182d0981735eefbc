"""Randomized fault soak of the platform deployment."""
