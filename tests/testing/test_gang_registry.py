"""Gangs of the stand-in minions."""

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


def test_members_work_from_when_all_are_there(registry, clock):
    """Time that a member waits must not count as work."""
    registry.begin(FIRST, 1)
    clock.advance(900)
    registry.begin(SECOND, 1)
    clock.advance(500)
    assert registry.due_end(FIRST, 1, 1400, 1000) is None
    clock.advance(500)
    assert registry.due_end(FIRST, 1, 1900, 1000) is EndKind.done


def test_member_ends_alone_without_the_others(registry):
    """A gang that was not started whole must be seen."""
    registry.begin(FIRST, 1)
    assert registry.due_end(FIRST, 1, 3001, 1000) is EndKind.alone


def test_other_members_break_with_the_first(registry):
    """One member that ends early must end the others."""
    registry.begin(FIRST, 1)
    registry.begin(SECOND, 1)
    registry.leave(FIRST, 1, EndKind.failed)
    assert registry.due_end(SECOND, 1, 10, 1000) is EndKind.broken


def test_all_members_are_done_together(registry):
    """The end of one member must not break the others."""
    registry.begin(FIRST, 1)
    registry.begin(SECOND, 1)
    registry.leave(FIRST, 1, EndKind.done)
    assert registry.due_end(SECOND, 1, 10, 1000) is EndKind.done


def test_single_tasks_are_not_held_up(registry):
    """Tasks of other steps work by themselves."""
    assert not registry.is_gang('b.0.0.0')
    assert registry.due_end('b.0.0.0', 1, 9999, 1) is None
