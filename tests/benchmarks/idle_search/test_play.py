"""Tests of whole days with the scheduler."""

import pytest

from benchmarks.idle_search.days import draw_day
from benchmarks.idle_search.faults import FaultKind, LeaderAbsence
from benchmarks.idle_search.play import play_day
from dragonflynotch.workflows.jobs import StepSpec
from tests.benchmarks.idle_search.site import TASK, make_arrival, make_day

MIXED = frozenset({FaultKind.bad, FaultKind.lost, FaultKind.leaders})
KINDS = {
    'mixed': MIXED,
    'wishes': frozenset(
        {
            FaultKind.bad,
            FaultKind.racks,
            FaultKind.apart,
            FaultKind.constraints,
        }
    ),
    'bad': frozenset({FaultKind.bad}),
    'constraints': frozenset({FaultKind.constraints}),
    'lost': frozenset({FaultKind.lost}),
}


def test_play_repeats_for_a_seed():
    """A difference between two builds must come from their decisions."""
    events = ([], [])
    for known in events:
        play_day(
            draw_day(3, MIXED),
            on_entry=lambda now_ms, entry, known=known: known.append(
                (now_ms, entry.event, str(entry.fields))
            ),
        )
    assert events[0] == events[1]
    assert events[0]


def test_next_leader_continues_the_day():
    """A job was lost, or ran twice, when the leader was replaced."""
    second = StepSpec(2, 2800, 7392, 1, 3000, after=(0,))
    day = make_day(
        make_arrival('job', 1500, TASK, second),
        absences=(LeaderAbsence(3000, 5000), LeaderAbsence(5500, 8000)),
    )
    ended = []
    result = play_day(
        day,
        on_entry=lambda now_ms, entry: (
            ended.append(now_ms) if entry.event == 'job_ended' else None
        ),
    )
    assert len(ended) == 1
    assert not result.findings
    assert not result.violations


# Seeds at which jobs waited, with all that kept room from them: exclusions,
# reservations and racks.
@pytest.mark.parametrize(
    ('kinds', 'seed'),
    [
        ('mixed', 1),
        ('mixed', 2),
        ('mixed', 145),
        ('wishes', 16),
        ('wishes', 24),
        ('wishes', 67),
        ('wishes', 70),
        ('bad', 148),
        ('constraints', 154),
        ('lost', 29),
    ],
)
def test_no_job_waits_beside_idle_room(kinds, seed):
    """A job had nothing at work for over 3 s while most of the room is free."""
    result = play_day(draw_day(seed, KINDS[kinds]))
    assert not [wait.describe() for wait in result.findings]
    assert not result.violations
