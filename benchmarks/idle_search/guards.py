"""Simulated guards: they carry out orders and report their minions."""

from collections import deque
from dataclasses import dataclass

from benchmarks.idle_search.guard_condition import GuardCondition
from benchmarks.idle_search.job_mix import SERVICE
from benchmarks.idle_search.minions import Minion
from benchmarks.idle_search.store import Store
from dragonflynotch.control.earlier_ends import EarlierEnds
from dragonflynotch.control.minions import MinionState
from dragonflynotch.control.order_book import OrderBook, OrderEntry, Phase
from dragonflynotch.workflows.crash_records import MinionCrash, RunAtCrash
from dragonflynotch.workflows.records import (
    NO_ROOM,
    Order,
    Report,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.resources import Resources

__all__ = ('AUTHORITY_MS', 'LEASE_MS', 'Guard')

AUTHORITY_MS = 15_000
LEASE_MS = 5700
_REPORT_INTERVAL_MS = 1500
_POLL_INTERVAL_MS = 250
# From a call that fails to the report that the minion does not respond.
_UNREACHABLE_AFTER_MS = 300
_WRITE_MS = 30
_FEED_MS = 40


@dataclass(frozen=True, slots=True)
class _OrderChange:
    at_ms: int
    minion_id: str
    task: str
    order: Order | None


@dataclass(frozen=True, slots=True)
class _ReportWrite:
    at_ms: int
    report: Report


class Guard:
    """The guard of one machine.

    Parameters
    ----------
    node : str
        Key of its report.
    rack : str
        Rack of the machine.
    labels : tuple of str
        Labels of the machine.
    minion : Minion
        First incarnation of its minion.
    """

    def __init__(
        self,
        node: str,
        rack: str,
        labels: tuple[str, ...],
        minion: Minion,
        store: Store,
    ) -> None:
        """Create a guard that has reported nothing."""
        self.node = node
        self.authority_end_ms = 0
        self.condition = GuardCondition()
        # Capacity as of the last heartbeat of the minion.
        self.heartbeat_capacity = minion.capacity
        self._store = store
        self._place = (rack, labels)
        self._minion = minion
        self._book = OrderBook()
        self._token = 1
        self._order_feed: deque[_OrderChange] = deque()
        self._write: _ReportWrite | None = None
        self._is_write_due = True
        self._written_ms = 0
        self._is_poll_due = True
        self._polled_ms = 0
        self._crashed_ms: int | None = None
        self._crashes: list[MinionCrash] = []
        self._abandoned: list[RunningTask] = []
        self._earlier_ends = EarlierEnds()

    @property
    def known_ends(self) -> tuple[RunEnd, ...]:
        """Ends that the last poll of the minion returned."""
        return tuple(self._book.state.ended) if self._book.state else ()

    @property
    def is_report_pending(self) -> bool:
        """Whether a report is on its way to the store."""
        return self._write is not None

    def receive_order(
        self, minion_id: str, task: str, order: Order | None, now_ms: int
    ) -> None:
        """Send a change of an order to this guard."""
        at_ms = now_ms + _FEED_MS + self.condition.order_delay_ms
        if self._order_feed:
            at_ms = max(at_ms, self._order_feed[-1].at_ms)
        self._order_feed.append(_OrderChange(at_ms, minion_id, task, order))

    def restart(self, minion: Minion) -> None:
        """Start again on a machine that has returned, with a new minion."""
        self._token += 1
        self._book = OrderBook()
        self._write = None
        self._crashes = []
        self._crashed_ms = None
        self._restore_ends()
        self.replace_minion(minion)

    def replace_minion(self, minion: Minion) -> None:
        """Serve the next incarnation of the minion."""
        self._earlier_ends.add(
            self._minion.minion_id, self._book.unrecorded_ends()
        )
        state = self._book.state
        self._abandoned = list(state.running) if state else []
        if self._crashed_ms is not None:
            self._crashes.append(self._crash(is_certain=True))
            self._crashed_ms = None
        self._minion = minion
        self.heartbeat_capacity = minion.capacity
        self._book = OrderBook()
        self._is_write_due = True

    def observe_crash(self, now_ms: int) -> None:
        """Record that the minion does not respond from now on."""
        self._crashed_ms = now_ms

    def read_heartbeat(self) -> None:
        """Learn the capacity of the minion."""
        if self.heartbeat_capacity != self._minion.capacity:
            self.heartbeat_capacity = self._minion.capacity
            self._is_write_due = True

    def advance(self, now_ms: int, *, has_ended_runs: bool) -> None:
        """Read orders, carry them out, and write the report when it is due."""
        self._finish_write(now_ms)
        if self.condition.is_down:
            return
        if self.condition.hears_orders:
            self._read_orders(now_ms)
        if self._crashed_ms is None:
            self._poll(now_ms, has_ended_runs=has_ended_runs)
            self._carry_out(now_ms)
        elif now_ms - self._crashed_ms == _UNREACHABLE_AFTER_MS:
            self._is_write_due = True
        self._begin_write(now_ms)

    def _restore_ends(self) -> None:
        """Read the ends in the last report of the process before."""
        row = self._store.reports.get(self.node)
        self._earlier_ends = EarlierEnds()
        if row is not None:
            report = row.report
            self._earlier_ends.restore(report.earlier_ends)
            self._earlier_ends.add(report.minion_id, report.ended)

    # ---- orders ------------------------------------------------------------

    def _read_orders(self, now_ms: int) -> None:
        while self._order_feed and self._order_feed[0].at_ms <= now_ms:
            change = self._order_feed.popleft()
            if change.minion_id != self._minion.minion_id:
                continue
            if change.order is None:
                self._book.remove(change.task)
            else:
                self._book.put(change.task, change.order)

    def _poll(self, now_ms: int, *, has_ended_runs: bool) -> None:
        is_due = (
            self._is_poll_due
            or has_ended_runs
            or now_ms - self._polled_ms >= _POLL_INTERVAL_MS
        )
        if not is_due:
            return
        self._is_poll_due = False
        self._polled_ms = now_ms
        recorded = self._book.last_recorded_end()
        ends = [end for end in self._minion.ends if end.number > recorded]
        self._minion.ends = ends
        running = tuple(self._minion.list_running(now_ms))
        state = MinionState(now_ms, running, tuple(ends))
        self._book.update_state(state, now_ms, now_ms)
        self._is_write_due |= has_ended_runs
        for task, number in self._book.unordered_runs():
            self._minion.stop(task, number, now_ms)

    def _carry_out(self, now_ms: int) -> None:
        for entry in self._book.open_entries():
            if entry.needs_stop:
                self._stop(entry, now_ms)
            elif entry.needs_start:
                self._start(entry, now_ms)

    def _start(self, entry: OrderEntry, now_ms: int) -> None:
        if now_ms >= entry.order.start_by_ms:
            self._reject(entry, 'expired')
        elif self.condition.is_refused:
            return
        elif self._minion.start(entry.task, entry.order, now_ms):
            entry.phase = Phase.started
            entry.first_sent_ms = now_ms
            self._is_poll_due = True
        else:
            self._reject(entry, NO_ROOM)

    def _stop(self, entry: OrderEntry, now_ms: int) -> None:
        entry.is_stop_confirmed = True
        if not self._minion.stop(entry.task, entry.order.run, now_ms):
            self._reject(entry, 'stopped')

    def _reject(self, entry: OrderEntry, reason: str) -> None:
        self._book.reject(entry, reason)
        self._is_write_due = True

    # ---- reports -----------------------------------------------------------

    def _begin_write(self, now_ms: int) -> None:
        is_due = (
            self._is_write_due
            or now_ms - self._written_ms >= _REPORT_INTERVAL_MS
        )
        if not is_due or self._write is not None:
            return
        self._is_write_due = False
        self._written_ms = now_ms
        at_ms = now_ms + _WRITE_MS + self.condition.report_delay_ms
        self._write = _ReportWrite(at_ms, self._build_report(now_ms))

    def _finish_write(self, now_ms: int) -> None:
        write = self._write
        if write is None or now_ms < write.at_ms:
            return
        if self.condition.may_report and not self.condition.is_down:
            self._store.write_report(self.node, write.report)
            self.authority_end_ms = write.report.authority_end_ms
            self._write = None
        else:
            # The write has failed; the next one carries newer contents.
            self._write = None
            self._is_write_due = True

    def _build_report(self, now_ms: int) -> Report:
        rack, labels = self._place
        state = self._book.state
        is_live = self._is_live(now_ms)
        return Report(
            minion_id=self._minion.minion_id,
            service=SERVICE,
            is_ready=is_live,
            is_live=is_live,
            authority_end_ms=now_ms + AUTHORITY_MS,
            token=self._token,
            labels=(*labels, rack),
            rack=rack,
            capacity=_amounts(self.heartbeat_capacity),
            running=list(state.running) if state and is_live else [],
            ended=self._book.unrecorded_ends(),
            rejected=self._book.rejections(),
            abandoned=self._abandoned,
            runs_age_ms=now_ms - self._polled_ms,
            crashes=self._known_crashes(now_ms),
            is_reachable=not self._has_left(now_ms),
            earlier_ends=self._earlier_ends.unrecorded(
                self._store.find_order, lambda _: True
            ),
        )

    def _has_left(self, now_ms: int) -> bool:
        return (
            self._crashed_ms is not None
            and now_ms - self._crashed_ms >= _UNREACHABLE_AFTER_MS
        )

    def _is_live(self, now_ms: int) -> bool:
        if self._crashed_ms is None:
            return True
        return now_ms - self._crashed_ms < LEASE_MS

    def _known_crashes(self, now_ms: int) -> list[MinionCrash]:
        crashes = list(self._crashes)
        if self._has_left(now_ms):
            crashes.append(self._crash(is_certain=not self._is_live(now_ms)))
        return crashes

    def _crash(self, *, is_certain: bool) -> MinionCrash:
        at_ms = self._crashed_ms or 0
        runs = [
            RunAtCrash(entry.task, entry.order.run, at_ms - entry.first_sent_ms)
            for entry in self._book.open_entries()
            if entry.first_sent_ms is not None
        ]
        return MinionCrash(self._minion.minion_id, at_ms, runs, is_certain)


def _amounts(capacity: Resources) -> tuple[int, int, int]:
    return (capacity.millicores, capacity.memory_mb, capacity.accelerators)
