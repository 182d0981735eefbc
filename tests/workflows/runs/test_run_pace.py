"""Pace of a run by its reported percentages."""

import pytest

from dragonflynotch.workflows.runs.run_pace import RunPace


@pytest.mark.parametrize('percents', [(5, 4), (5, 4, 4), (9, 3, 2, 1, 50)])
def test_falling_percentage_raises_no_error(percents):
    """Each holder of the lease ended its term by a division by zero."""
    pace = RunPace()
    for number, percent in enumerate(percents):
        pace.add(1_000 + 3_000 * number, percent)
    assert pace.current_ms >= 0


def test_pace_is_not_told_across_a_fall():
    """The pace was negative, so a slow run passed for a fast one."""
    pace = RunPace()
    for read_ms, percent in ((1_000, 50), (2_000, 10), (4_000, 30)):
        pace.add(read_ms, percent)
    assert pace.current_ms == 0
