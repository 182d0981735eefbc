"""Coordination of gangs between the stand-in minions."""

import pytest

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.testing.gang_registry import GangRegistry
from dragonflynotch.workflows.records import EndKind

FIRST = 'a.0.0.0'
SECOND = 'a.0.0.1'


@pytest.fixture
def clock():
    return ManualSteadyClock()


@pytest.fixture
def registry(clock):
    registry = GangRegistry(clock)
    registry.declare('a.0.0', 2)
    return registry


def test_work_begins_when_all_members_have_started(registry, clock):
    """The time for which a member waits must not count as work."""
    registry.record_start(FIRST, 1)
    clock.advance(900)
    registry.record_start(SECOND, 1)
    clock.advance(500)
    assert registry.end_kind_if_due(FIRST, 1, 1400, 1000) is None
    clock.advance(500)
    assert registry.end_kind_if_due(FIRST, 1, 1900, 1000) is EndKind.done


def test_member_without_the_others_ends_as_alone(registry):
    """A gang of which only some members started must be detected."""
    registry.record_start(FIRST, 1)
    assert registry.end_kind_if_due(FIRST, 1, 3001, 1000) is EndKind.alone


def test_failure_of_one_member_breaks_the_others(registry):
    """A member that fails must end the other members."""
    registry.record_start(FIRST, 1)
    registry.record_start(SECOND, 1)
    registry.record_end(FIRST, 1, EndKind.failed)
    assert registry.end_kind_if_due(SECOND, 1, 10, 1000) is EndKind.broken


def test_completion_of_one_member_completes_the_others(registry):
    """A member that is done must not break the others."""
    registry.record_start(FIRST, 1)
    registry.record_start(SECOND, 1)
    registry.record_end(FIRST, 1, EndKind.done)
    assert registry.end_kind_if_due(SECOND, 1, 10, 1000) is EndKind.done


def test_single_tasks_do_not_wait_for_others(registry):
    """Tasks of steps without a gang must not be affected."""
    assert not registry.is_gang('b.0.0.0')
    assert registry.end_kind_if_due('b.0.0.0', 1, 9999, 1) is None
