"""A target is chosen only while it is live, ready and has a free slot."""

from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.routing import NoTarget, RoutingTable, Target

CLOCK = ManualClock()
TARGET = Target(
    guard_id='guard-1',
    incarnation=1,
    sequence=1,
    data_centre='dc-1',
    address=('127.0.0.1', 1),
    minion_id='minion-1',
    slots=8,
    free_slots=8,
    is_ready=True,
    heard_at=CLOCK.now(),
)


@pytest.fixture
def routing() -> RoutingTable:
    return RoutingTable('dc-1', Random(7))


def test_silent_target_gets_no_work_after_its_time_to_live(routing):
    """Guards against routing to a target that died silently."""
    routing.observe(TARGET)
    later = CLOCK.now() + timedelta(seconds=2.3)
    assert isinstance(routing.choose(later), NoTarget)


@pytest.mark.parametrize(
    'changes', [{'is_ready': False}, {'free_slots': 0}, {'guard_id': 'tried'}]
)
def test_unusable_target_is_not_chosen(routing, changes):
    """Guards against routing to draining, full or already tried targets."""
    routing.observe(replace(TARGET, **changes))
    chosen = routing.choose(CLOCK.now(), excluded=frozenset(['tried']))
    assert isinstance(chosen, NoTarget)


def test_late_announcement_does_not_override_a_newer_one(routing):
    """Guards against a reordered datagram that undoes a drain."""
    routing.observe(replace(TARGET, sequence=2, is_ready=False))
    routing.observe(TARGET)
    assert isinstance(routing.choose(CLOCK.now()), NoTarget)


def test_local_target_is_preferred(routing):
    """Guards against needless traffic between data centres."""
    routing.observe(TARGET)
    routing.observe(replace(TARGET, guard_id='far', data_centre='dc-2'))
    chosen = routing.choose(CLOCK.now())
    assert chosen.guard_id == 'guard-1'
