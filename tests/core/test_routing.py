"""Only a live, ready target with a free slot is chosen."""

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
    """Guards against routing to a target that crashed."""
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
    """Guards against unnecessary traffic between data centres."""
    routing.observe(TARGET)
    routing.observe(replace(TARGET, guard_id='far', data_centre='dc-2'))
    chosen = routing.choose(CLOCK.now())
    assert chosen.guard_id == 'guard-1'


def test_remote_target_is_used_within_its_longer_time_to_live(routing):
    """Guards against losing remote targets between two digests."""
    remote = replace(TARGET, data_centre='dc-2')
    routing.observe(remote)
    assert routing.choose(CLOCK.now() + timedelta(seconds=2.5)) == remote
    later = CLOCK.now() + timedelta(seconds=2.7)
    assert isinstance(routing.choose(later), NoTarget)


def test_slot_is_used_until_released(routing):
    """Guards against more requests than slots between announcements."""
    routing.observe(replace(TARGET, slots=1, free_slots=1))
    chosen = routing.choose(CLOCK.now())
    assert routing.choose(CLOCK.now()).reason == 'no_free_slot'
    routing.release(chosen)
    assert routing.choose(CLOCK.now()) == chosen


def test_announcement_does_not_count_own_requests_twice(routing):
    """Guards against leaving a slot unused after its request finished."""
    routing.observe(replace(TARGET, slots=1, free_slots=1))
    chosen = routing.choose(CLOCK.now())
    routing.observe(replace(TARGET, slots=1, free_slots=0, sequence=2))
    routing.release(chosen)
    assert routing.choose(CLOCK.now()).guard_id == chosen.guard_id


@pytest.mark.parametrize('is_full', [True, False])
def test_refusing_target_is_excluded_until_its_next_announcement(
    routing, is_full
):
    """Guards against repeated handovers to a guard that refuses them."""
    routing.observe(TARGET)
    routing.record_refusal(TARGET, is_full=is_full)
    assert isinstance(routing.choose(CLOCK.now()), NoTarget)
    routing.observe(replace(TARGET, sequence=2))
    assert routing.choose(CLOCK.now()).sequence == 2


def test_announcement_of_a_replaced_incarnation_is_ignored(routing):
    """Guards against an announcement sent before a restart of the guard."""
    routing.observe(TARGET)
    routing.observe(replace(TARGET, incarnation=2))
    routing.observe(replace(TARGET, sequence=9))
    assert routing.known_target('guard-1').incarnation == 2
    assert routing.is_replaced('guard-1', 1)


def test_ejected_target_gets_only_one_idempotent_probe(routing):
    """Guards against using non-idempotent requests as probes."""
    other = replace(TARGET, guard_id='guard-2')
    for _ in range(5):
        routing.observe(TARGET)
        routing.observe(other)
        routing.record_failure(TARGET, CLOCK.now(), CLOCK.now())
    assert routing.is_ejected('guard-1')
    due = CLOCK.now() + timedelta(seconds=2.1)
    assert routing.choose(due) == other
    assert routing.choose(due, is_idempotent=True) == TARGET
    assert routing.choose(due, is_idempotent=True) == other


def test_two_choices_prefer_the_less_loaded_target(routing):
    """Guards against loading a busy target as much as an idle one."""
    routing.observe(replace(TARGET, free_slots=1))
    routing.observe(replace(TARGET, guard_id='guard-2'))
    assert routing.choose(CLOCK.now()).guard_id == 'guard-2'
