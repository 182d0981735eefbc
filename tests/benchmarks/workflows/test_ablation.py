"""Replays without single mechanisms of the scheduler."""

from dataclasses import fields, replace

import pytest

from benchmarks.workflows.loads import LOADS, generate_arrivals
from benchmarks.workflows.replay import replay
from dragonflynotch.workflows.mechanisms import Mechanisms

LOAD = LOADS['overload']
NAMES = [field.name for field in fields(Mechanisms)]
# The load has no guarantee, no worker that fails, stalls, slows down, is lost
# or leaves, no job that waits long enough to be overdue, and no idle room.
_WITHOUT_OCCASION = {
    'backfills',
    'bounds_waits',
    'preempts_for_guarantees',
    'prefers_overdue',
    'prefers_sound_workers',
    'moves_departing',
    'stops_stalled',
    'prefers_repeats',
    'avoids_slow_workers',
}


@pytest.mark.parametrize(
    'name', [name for name in NAMES if name not in _WITHOUT_OCCASION]
)
def test_mechanism_can_be_left_out(name):
    """Guards against a switch that does nothing, and an ablation of nothing."""
    arrivals = generate_arrivals(LOAD, 1)
    without = replace(Mechanisms(), **{name: False})

    assert replay(LOAD, arrivals) != replay(LOAD, arrivals, without)


@pytest.mark.parametrize('name', ['backfills', 'bounds_waits'])
def test_idle_reserved_room_is_used(name):
    """Jobs must not wait for room that reservations keep idle.

    A replay of little work, wide gangs and runs that are late. Either of the
    two mechanisms uses the room.
    """
    load = LOADS['idle reservations']
    arrivals = generate_arrivals(load, 9)
    neither = replace(Mechanisms(), backfills=False, bounds_waits=False)
    one = replace(neither, **{name: True})

    assert _earned(replay(load, arrivals, one)) > _earned(
        replay(load, arrivals, neither)
    )


def test_bound_on_waits_can_be_left_out():
    """Guards against a switch that does nothing.

    A replay in which workers leave and jobs wait beside room on the others.
    """
    load = LOADS['departures']
    arrivals = generate_arrivals(load, 9)
    without = replace(Mechanisms(), bounds_waits=False)

    assert replay(load, arrivals) != replay(load, arrivals, without)


@pytest.mark.parametrize(
    ('name', 'load'),
    [
        ('prefers_repeats', 'all workers lost'),
        ('avoids_slow_workers', 'slow to the end'),
    ],
)
def test_mechanism_for_faults_can_be_left_out(name, load):
    """Guards against a switch that does nothing on the load made for it."""
    arrivals = generate_arrivals(LOADS[load], 1)
    without = replace(Mechanisms(), **{name: False})

    assert replay(LOADS[load], arrivals) != replay(
        LOADS[load], arrivals, without
    )


def _earned(result):
    return sum(outcome.value for outcome in result.outcomes)


def test_runs_without_preemption_are_not_stopped():
    """Guards against a switch that leaves one way to take room."""
    without = replace(
        Mechanisms(),
        preempts_for_guarantees=False,
        preempts_for_objectives=False,
    )

    result = replay(LOAD, generate_arrivals(LOAD, 1), without)

    assert result.stops == 0
