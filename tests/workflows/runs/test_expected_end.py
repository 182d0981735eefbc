"""When a run is expected to end."""

import pytest

from dragonflynotch.workflows.runs.expected_end import end_by_progress
from dragonflynotch.workflows.tasks import ActiveRun

ORDERED_MS = 10_000


def _run(percent, changed_ms, first_percent=None, first_ms=None):
    return ActiveRun(
        'm',
        1,
        ORDERED_MS,
        is_reported=True,
        percent=percent,
        progress_changed_ms=changed_ms,
        progress_read_ms=changed_ms,
        first_percent=first_percent or percent,
        first_percent_ms=first_ms or changed_ms,
    )


@pytest.mark.parametrize(
    ('percent', 'end_ms'),
    [(1, None), (9, None), (10, ORDERED_MS + 10_000), (50, ORDERED_MS + 2000)],
)
def test_first_percentage_must_outweigh_the_start_delay(percent, end_ms):
    """1% after a second of which most was the start gave an end at 100 s."""
    run = _run(percent, ORDERED_MS + 1000)
    assert end_by_progress(run, ORDERED_MS + 1000, is_resumed=False) == end_ms


def test_first_percentage_of_a_resumed_run_says_nothing():
    """The work before its checkpoint took no time in this run."""
    run = _run(50, ORDERED_MS + 1000)
    assert end_by_progress(run, ORDERED_MS + 1000, is_resumed=True) is None


def test_end_follows_the_speed_between_percentages():
    """The start delay must not count once a speed is known."""
    run = _run(14, 14_000, first_percent=4, first_ms=13_000)
    assert end_by_progress(run, 14_000, is_resumed=True) == 14_000 + 8600


def test_past_end_is_unknown():
    """A stalled run seemed to end in time."""
    run = _run(50, ORDERED_MS + 1000)
    assert end_by_progress(run, ORDERED_MS + 2000, is_resumed=False) is None


def test_complete_run_has_ended():
    """A run at 100% has nothing left to do, also when this is past."""
    run = _run(100, ORDERED_MS + 1000)
    end_ms = end_by_progress(run, ORDERED_MS + 2000, is_resumed=False)
    assert end_ms == ORDERED_MS + 1000
