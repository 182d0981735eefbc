"""Tells crashes of a minion from other ends, and the runs that were there."""

import pytest

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.departure_notice import DepartureNotice
from dragonflynotch.control.end_detector import EndDetector
from dragonflynotch.control.minions import (
    ConnectionClosed,
    NoAnswer,
    NotListening,
    OtherIncarnation,
)
from dragonflynotch.control.order_book import OrderBook, Phase
from dragonflynotch.workflows.crash_records import RunAtCrash
from dragonflynotch.workflows.records import Order


class ManualClock(SteadyClock):
    """Clock that tests advance."""

    def __init__(self):
        self.time_ms = 5_000

    def now_ms(self):
        return self.time_ms


class ManualStoreClock:
    """Store time that is 100 s ahead of the local clock."""

    def __init__(self, clock):
        self._clock = clock

    def latest_ms(self):
        return self._clock.now_ms() + 100_000


class Incarnation:
    """A detector with the orders of its minion."""

    def __init__(self):
        self.clock = ManualClock()
        self.orders = OrderBook()
        store_clock = ManualStoreClock(self.clock)
        self.detector = EndDetector(
            'm1',
            self.clock,
            store_clock,
            DepartureNotice(self.clock, store_clock),
        )

    def start(self, task, age_ms, *, phase=Phase.started):
        entry = self.orders.put(task, Order('text', 1, 0))
        entry.phase = phase
        entry.first_sent_ms = self.clock.now_ms() - age_ms
        return entry

    def find_crash(self, *, is_announced=False, is_replaced=True):
        return self.detector.find_crash(
            self.orders, is_announced=is_announced, is_replaced=is_replaced
        )


@pytest.fixture
def incarnation():
    return Incarnation()


@pytest.mark.parametrize(
    'outcome',
    [ConnectionClosed('closed'), NotListening('refused'), OtherIncarnation()],
)
def test_minion_that_closed_its_connections_has_crashed(incarnation, outcome):
    """A crash that is not noticed would let its task crash the next minion."""
    incarnation.detector.record_failure(outcome)
    incarnation.clock.time_ms += 3_000
    crash = incarnation.find_crash()
    assert crash is not None
    assert crash.at_ms == 105_000


def test_announced_end_is_no_crash(incarnation):
    """A planned stop must not count against the tasks on the worker."""
    incarnation.detector.record_failure(NotListening('refused'))
    assert incarnation.find_crash(is_announced=True) is None


def test_minion_that_was_cut_off_first_is_no_crash(incarnation):
    """What ended a minion out of reach is unknown, so no task is suspected."""
    incarnation.detector.record_failure(NoAnswer('timeout'))
    incarnation.detector.record_failure(NotListening('refused'))
    assert incarnation.find_crash() is None


def test_closed_connection_to_a_live_minion_is_no_crash(incarnation):
    """A reset connection must not count if the minion responds again."""
    incarnation.detector.record_failure(ConnectionClosed('reset'))
    incarnation.detector.record_response()
    incarnation.detector.record_failure(NoAnswer('timeout'))
    assert incarnation.find_crash(is_replaced=False) is None


def test_unhealthy_minion_without_lease_is_no_crash(incarnation):
    """A minion that refuses calls until its lease expires did not crash."""
    assert incarnation.find_crash(is_replaced=False) is None


def test_runs_are_listed_with_their_ages(incarnation):
    """Neighbours can be told from the cause by how long they ran."""
    incarnation.start('old', 60_000)
    incarnation.start('new', 10)
    incarnation.start('unanswered', 5, phase=Phase.new)
    incarnation.start('ended', 4_000, phase=Phase.ended)
    incarnation.orders.put('not started', Order('text', 1, 0))
    assert incarnation.find_crash().runs == [
        RunAtCrash('old', 1, 60_000),
        RunAtCrash('new', 1, 10),
        RunAtCrash('unanswered', 1, 5),
    ]


def test_run_sent_after_the_crash_is_not_listed(incarnation):
    """An order that reaches a dead minion has nothing to do with its end."""
    incarnation.detector.record_failure(ConnectionClosed('closed'))
    incarnation.clock.time_ms += 50
    incarnation.start('late', 0, phase=Phase.new)
    assert incarnation.find_crash().runs == []


def test_run_of_an_earlier_guard_is_as_old_as_its_order(incarnation):
    """A restart of the guard must not make old runs look young."""
    entry = incarnation.orders.put('kept', Order('text', 1, 75_000))
    entry.phase = Phase.started
    assert incarnation.find_crash().runs == [RunAtCrash('kept', 1, 30_000)]
