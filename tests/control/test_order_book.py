"""Orders of one minion and the state of their runs."""

import pytest

from dragonflynotch.control.minions import MinionState
from dragonflynotch.control.order_book import OrderBook, Phase
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    RunEnd,
    RunningTask,
    StartedRun,
)

_STATE = MinionState(0, (RunningTask('job.0.0.0', 1, '', 0),), ())


@pytest.fixture
def book():
    return OrderBook()


def test_run_without_an_answer_is_found(book):
    """Guards against late starts that no log entry tells."""
    book.put('job.0.0.0', Order('text', 1, 0))

    assert book.find_unknown_runs(_STATE) == [('job.0.0.0', 1)]


def test_answered_and_listed_runs_are_not_found(book):
    """Guards against an entry for each run, or for each state."""
    book.put('job.0.0.0', Order('text', 1, 0)).phase = Phase.started
    assert not book.find_unknown_runs(_STATE)

    book.remove('job.0.0.0')
    book.update_state(_STATE, 0, 0)
    assert not book.find_unknown_runs(_STATE)


def list_run(book, run_ends=(), *, has_all_ends=True, asked_ms=200):
    """Return whether a run that started at 100 ms is missing in a list."""
    entry = book.put('job.0.0.0', Order('text', 1, 0))
    entry.mark_started(100)
    state = MinionState(0, (), tuple(run_ends), has_all_ends)
    book.update_state(state, asked_ms, asked_ms + 5)
    return entry.is_missing


def test_run_without_an_end_is_missing(book):
    """A run that its minion has lost was believed to run for good."""
    assert list_run(book)


def test_run_in_a_list_that_was_asked_before_its_start_is_not_missing(book):
    """A list that overtakes a start must not end its run."""
    assert not list_run(book, asked_ms=100)


def test_run_that_has_ended_is_not_missing(book):
    """The end says how the run ended, and would be lost."""
    assert not list_run(book, [RunEnd(1, 'job.0.0.0', 1, EndKind.done, '')])


def test_run_is_not_missing_while_ends_are_left_out(book):
    """The end of the run may be among those that the list has no room for."""
    assert not list_run(book, has_all_ends=False)


def test_run_that_is_listed_again_is_not_rejected(book):
    """A delayed start of the run must not be taken for one that is gone."""
    assert list_run(book)
    [entry] = book.open_entries()
    book.update_state(_STATE, 300, 305)
    book.reject_missing(entry, 'missing')
    assert entry.phase is Phase.started


def test_confirmed_start_is_told_until_a_list_has_it(book):
    """A job that had begun was counted as waiting for over two seconds."""
    entry = book.put('job.0.0.0', Order('text', 1, 0))
    assert not book.unlisted_starts()
    entry.mark_started(100)
    assert book.unlisted_starts() == [StartedRun('job.0.0.0', 1)]
    book.update_state(_STATE, 200, 205)
    assert not book.unlisted_starts()


def test_confirmed_start_of_an_ended_run_is_not_told(book):
    """The end tells of the start already."""
    list_run(book, [RunEnd(1, 'job.0.0.0', 1, EndKind.done, '')])
    assert not book.unlisted_starts()
