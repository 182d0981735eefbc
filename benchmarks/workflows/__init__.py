"""Replays seeded loads against the scheduler of jobs, without I/O."""
