"""Builds the reports of a guard, with what outlasts an incarnation."""

from collections.abc import Callable, Iterable

from dragonflynotch.control.clocks import StoreClock
from dragonflynotch.control.crash_history import CrashHistory
from dragonflynotch.control.earlier_ends import EarlierEnds
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.order_feed import OrderFeed
from dragonflynotch.workflows.records import (
    Rejection,
    Report,
    RunEnd,
    RunningTask,
)

__all__ = ('ReportBuilder',)


class ReportBuilder:
    """Reports about the current incarnation and what is left of earlier ones.

    Each report replaces the one before it, which a leader may not have read.

    Parameters
    ----------
    orders : OrderFeed
        Orders of the minions.
    store_clock : StoreClock
        Bounds on the time of the store.
    token : callable
        Returns the fencing token of the guard.
    """

    def __init__(
        self,
        orders: OrderFeed,
        store_clock: StoreClock,
        token: Callable[[], int],
    ) -> None:
        """Create a builder that knows of no earlier incarnation."""
        self._orders = orders
        self._store_clock = store_clock
        self._token = token
        self._session: MinionSession | None = None
        self._has_minion_left = False
        self._last_report: Report | None = None
        self._crashes = CrashHistory()
        self._earlier_ends = EarlierEnds()
        self._earlier_rejections: dict[str, list[Rejection]] = {}

    @property
    def last_incarnation_id(self) -> str:
        """Incarnation of the last report; ``''`` if there is none."""
        return '' if self._last_report is None else self._last_report.minion_id

    @property
    def minion_crashes(self) -> int:
        """Crashes of the minion that this process has observed."""
        return self._crashes.total

    def restore(self, report: Report) -> None:
        """Keep what an earlier guard process reported."""
        self._last_report = report
        self._crashes.restore(report.crashes)
        for crash in report.crashes:
            self._orders.follow(crash.minion_id)
        self.restore_outcomes(report)

    def restore_outcomes(self, report: Report) -> None:
        """Keep the ends and rejections that an earlier process reported."""
        self._restore_rejections(report)
        self._earlier_ends.restore(report.earlier_ends)
        self._earlier_ends.add(report.minion_id, report.ended)
        for minion_id in self._earlier_ends.minion_ids:
            self._orders.follow(minion_id)

    def add_ends(self, incarnation_id: str, ends: Iterable[RunEnd]) -> None:
        """Keep ends of runs that were ordered from an earlier incarnation."""
        self._earlier_ends.add(incarnation_id, ends)

    def begin_session(self, session: MinionSession) -> None:
        """Report about this incarnation from now on."""
        self._has_minion_left = False
        self._session = session
        minion_id = session.heartbeat.minion_id
        session.orders.restore_rejections(
            self._earlier_rejections.pop(minion_id, [])
        )

    def mark_replaced(self, minion_id: str) -> None:
        """Record that this incarnation responds in place of the last one."""
        if self._session is not None:
            self._session.mark_replaced()
            self._crashes.add(self._session.crash)
        self._crashes.confirm_replaced(minion_id)

    def end_session(self) -> None:
        """Keep the unrecorded ends of the current incarnation."""
        self._keep_unmatched_ends()
        if self._session is not None:
            minion_id = self._session.heartbeat.minion_id
            orders = self._session.orders
            self._earlier_ends.add(minion_id, orders.unrecorded_ends())
            # The orders of all other incarnations are gone or soon removed.
            self._earlier_rejections = {
                minion_id: orders.rejections() + orders.unmatched_rejections()
            }
        self._session = None

    def mark_departed(self) -> None:
        """Report from now on that the minion has left."""
        self._has_minion_left = True

    def abandoned_runs(self) -> list[RunningTask]:
        """Return the last reported runs, whose checkpoints may be unread."""
        last = self._last_report
        return [] if last is None else last.running or last.abandoned

    def build(self, authority_end_ms: int) -> Report | None:
        """Return the report, or ``None`` while there is nothing to report.

        Parameters
        ----------
        authority_end_ms : int
            Store time until which the guard may extend leases.
        """
        report = self._build_current(authority_end_ms)
        if report is not None:
            self._add_earlier_ends(report)
            self._add_earlier_rejections(report)
        return report

    def _restore_rejections(self, report: Report) -> None:
        session = self._session
        if session is None:
            self._earlier_rejections[report.minion_id] = report.rejected
        elif session.heartbeat.minion_id == report.minion_id:
            session.orders.restore_rejections(report.rejected)

    def _add_earlier_ends(self, report: Report) -> None:
        self._keep_unmatched_ends()
        # Before its first response a session knows no ends, but an earlier
        # guard process may have reported some of its incarnation.
        listed = {(end.task, end.run) for end in report.ended}
        report.earlier_ends = [
            earlier
            for earlier in self._earlier_ends.unrecorded(
                self._orders.find, self._orders.is_loaded
            )
            if earlier.minion_id != report.minion_id
            or (earlier.end.task, earlier.end.run) not in listed
        ]

    def _add_earlier_rejections(self, report: Report) -> None:
        """Repeat the rejections of orders that are not read yet."""
        session = self._session
        if session is not None and not self._orders.is_loaded(report.minion_id):
            report.rejected.extend(session.orders.unmatched_rejections())

    def _keep_unmatched_ends(self) -> None:
        """Keep all ends while the orders that they belong to are not read."""
        if self._session is None:
            return
        minion_id = self._session.heartbeat.minion_id
        state = self._session.orders.state
        if state is not None and not self._orders.is_loaded(minion_id):
            self._earlier_ends.add(minion_id, state.ended)

    def _build_current(self, authority_end_ms: int) -> Report | None:
        if self._session is not None:
            self._crashes.add(self._session.crash)
        crashes = self._crashes.recent(
            self._store_clock.latest_ms(), self._orders.may_have_orders
        )
        if self._session is not None:
            suspected = self._session.suspected_crash
            if suspected is not None:
                crashes = [*crashes, suspected]
            self._last_report = self._session.report(authority_end_ms, crashes)
            return self._last_report
        # Before the first session the report of an earlier guard process is
        # kept, since its runs may still be present.
        if not self._has_minion_left:
            return None
        return Report(
            '',
            '',
            False,
            False,
            authority_end_ms,
            self._token(),
            abandoned=self.abandoned_runs(),
            crashes=crashes,
        )
