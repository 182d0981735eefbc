"""Orders of one minion and the state of their runs."""

import pytest

from dragonflynotch.control.minions import MinionState
from dragonflynotch.control.order_book import OrderBook, Phase
from dragonflynotch.workflows.records import Order, RunningTask

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
    book.update_state(_STATE)
    assert not book.find_unknown_runs(_STATE)
