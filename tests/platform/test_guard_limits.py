"""Lease durations of guards on the platform."""

from dragonflynotch.platform.programs import AUTHORITY_MS

# Callers expect a job that could run to run this long after the last fault.
MAX_HOLD_MS = 14_000
# From the end of the authority until the runs are given up.
MARGIN_MS = 1_000


def test_runs_of_a_guard_that_is_cut_off_are_repeated_in_time():
    """A step waited for ends that a guard knew and could not report (LOST)."""
    assert AUTHORITY_MS + MARGIN_MS <= MAX_HOLD_MS
