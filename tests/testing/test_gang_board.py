"""Gangs of the stand-in minions."""

import pytest

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.testing.gang_board import GangBoard
from dragonflynotch.workflows.records import EndKind

FIRST = 'a.0.0.0'
SECOND = 'a.0.0.1'


@pytest.fixture
def clock():
    return ManualSteadyClock()


@pytest.fixture
def board(clock):
    board = GangBoard(clock)
    board.declare('a.0.0', 2)
    return board


def test_members_work_from_when_all_are_there(board, clock):
    """Time that a member waits must not count as work."""
    board.begin(FIRST, 1)
    clock.advance(900)
    board.begin(SECOND, 1)
    clock.advance(500)
    assert board.due_end(FIRST, 1, 1400, 1000) is None
    clock.advance(500)
    assert board.due_end(FIRST, 1, 1900, 1000) is EndKind.done


def test_member_ends_alone_without_the_others(board):
    """A gang that was not started whole must be seen."""
    board.begin(FIRST, 1)
    assert board.due_end(FIRST, 1, 3001, 1000) is EndKind.alone


def test_other_members_break_with_the_first(board):
    """One member that ends early must end the others."""
    board.begin(FIRST, 1)
    board.begin(SECOND, 1)
    board.leave(FIRST, 1, EndKind.failed)
    assert board.due_end(SECOND, 1, 10, 1000) is EndKind.broken


def test_all_members_are_done_together(board):
    """The end of one member must not break the others."""
    board.begin(FIRST, 1)
    board.begin(SECOND, 1)
    board.leave(FIRST, 1, EndKind.done)
    assert board.due_end(SECOND, 1, 10, 1000) is EndKind.done


def test_single_tasks_are_not_held_up(board):
    """Tasks of other steps work by themselves."""
    assert not board.is_gang('b.0.0.0')
    assert board.due_end('b.0.0.0', 1, 9999, 1) is None
