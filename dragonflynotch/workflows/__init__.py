"""Scheduling of jobs made of steps: data model and decisions, without I/O."""
