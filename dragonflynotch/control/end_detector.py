"""Detects the end of an incarnation, and tells crashes from other ends."""

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.departure_notice import DepartureNotice
from dragonflynotch.control.minions import (
    ConnectionClosed,
    MinionOutcome,
    NoAnswer,
    NotListening,
    Restarted,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderBook, OrderEntry, Phase
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.crash_records import MinionCrash, RunAtCrash

__all__ = ('EndDetector',)

# A minion that shuts down may close its port shortly before its runs end.
_SHUTDOWN_DELAY_MS = 400


class EndDetector:
    """Observes the calls to one incarnation until it ends.

    A crashed process closes its connections and its port at once. A minion
    that first became silent was cut off or suspended, so that what ended it
    later is unknown. The loss of the whole machine also ends its guard and is
    therefore never taken for a crash.

    Parameters
    ----------
    minion_id : str
        Identifier of the incarnation.
    clock : SteadyClock
        Clock of this process.
    store_clock : StoreClock
        Bounds on the time of the store.
    notice : DepartureNotice
        When the worker of the minion leaves.
    """

    def __init__(
        self,
        minion_id: str,
        clock: SteadyClock,
        store_clock: StoreClock,
        notice: DepartureNotice,
    ) -> None:
        """Create a detector for a minion that responds."""
        self._minion_id = minion_id
        self._clock = clock
        self._store_clock = store_clock
        self._notice = notice
        # Local time of the first failed call since the last response.
        self._lost_ms: int | None = None
        self._became_silent = False
        # Local time since when no process has listened at its address.
        self._closed_since_ms: int | None = None

    @property
    def has_shut_down(self) -> bool:
        """Whether the minion has ended as it announced.

        Its runs end with it, so they need not be kept until the lease expires.
        A port that is closed before the announced time shows no such end.
        """
        if self._closed_since_ms is None:
            return False
        closed_ms = self._clock.now_ms() - self._closed_since_ms
        return self._notice.has_passed and closed_ms >= _SHUTDOWN_DELAY_MS

    def record_response(self) -> None:
        """Record that the minion responded."""
        self._lost_ms = None
        self._became_silent = False
        self._closed_since_ms = None

    def record_failure(self, outcome: MinionOutcome) -> None:
        """Record a call that this incarnation has not carried out."""
        now_ms = self._clock.now_ms()
        if not isinstance(outcome, NotListening):
            self._closed_since_ms = None
        elif self._closed_since_ms is None:
            self._closed_since_ms = now_ms
        if self._lost_ms is not None or isinstance(outcome, Unhealthy):
            return
        self._lost_ms = now_ms
        self._became_silent = isinstance(outcome, NoAnswer) and not isinstance(
            outcome, ConnectionClosed | NotListening | Restarted
        )

    def find_crash(
        self, orders: OrderBook, *, is_announced: bool, is_replaced: bool
    ) -> MinionCrash | None:
        """Return the crash of an incarnation that has certainly ended.

        Parameters
        ----------
        orders : OrderBook
            Orders of the incarnation.
        is_announced : bool
            Whether the minion had announced that it shuts down.
        is_replaced : bool
            Whether another incarnation has started.

        Returns
        -------
        MinionCrash or None
            ``None`` if the incarnation did not crash, as far as is known.
        """
        now_ms = self._clock.now_ms()
        lost_ms = now_ms if self._lost_ms is None else self._lost_ms
        is_gone = is_replaced or self._lost_ms is not None
        is_crash = is_gone and not (is_announced or self._became_silent)
        runs = self._runs_at(orders, lost_ms)
        decision_log.record(
            'minion_ended',
            minion=self._minion_id,
            is_crash=is_crash,
            is_announced=is_announced,
            became_silent=self._became_silent,
            lost_for_ms=now_ms - lost_ms,
            runs=[(run.task, run.run, run.age_ms) for run in runs],
        )
        if not is_crash:
            return None
        at_ms = self._store_clock.latest_ms() - (now_ms - lost_ms)
        return MinionCrash(self._minion_id, at_ms, runs)

    def suspect_crash(self, orders: OrderBook) -> MinionCrash | None:
        """Return the crash of a minion that has closed its connections.

        It may still respond again, unless ``find_crash`` has returned.
        """
        if self._lost_ms is None or self._became_silent:
            return None
        elapsed_ms = self._clock.now_ms() - self._lost_ms
        return MinionCrash(
            self._minion_id,
            self._store_clock.latest_ms() - elapsed_ms,
            self._runs_at(orders, self._lost_ms),
            is_certain=False,
        )

    def _runs_at(self, orders: OrderBook, local_ms: int) -> list[RunAtCrash]:
        return [
            RunAtCrash(entry.task, entry.order.run, age_ms)
            for entry in orders.open_entries()
            if (age_ms := self._age_ms(entry, local_ms)) is not None
        ]

    def _age_ms(self, entry: OrderEntry, local_ms: int) -> int | None:
        """Return the age of a run, or ``None`` if it was not there."""
        if entry.first_sent_ms is not None:
            age_ms = local_ms - entry.first_sent_ms
            return age_ms if age_ms >= 0 else None
        if entry.phase is not Phase.started:
            return None
        # An earlier guard process started the run, within its start window.
        elapsed_ms = self._clock.now_ms() - local_ms
        started_by_ms = entry.order.start_by_ms
        age_ms = self._store_clock.latest_ms() - elapsed_ms - started_by_ms
        return max(0, age_ms)
