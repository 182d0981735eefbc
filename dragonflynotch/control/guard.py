"""Guard of one minion: carries out its orders and reports its state."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.end_log import EndBacklog
from dragonflynotch.control.incarnations import is_same_life
from dragonflynotch.control.minion_identity import (
    MinionIdentifier,
    previous_heartbeat,
)
from dragonflynotch.control.minion_restarts import MinionRestarts
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
)
from dragonflynotch.control.order_book import OrderEntry
from dragonflynotch.control.order_feed import OrderFeed
from dragonflynotch.control.order_runner import OrderRunner, describe_outcome
from dragonflynotch.control.report_builder import ReportBuilder
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.control.rows import RowStore
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Order, Report

__all__ = ('Guard', 'GuardLimits')

_SESSION_CHECK_INTERVAL_S = 0.1
# Until the first report is written the guard has no authority to extend the
# lease. That takes about this long.
_LEASE_RETRY_DELAY_S = 0.05
_MAX_POLL_WAIT_MS = 1000
# Several polls for each lease, so that one lost call does not let it expire.
_POLLS_PER_LEASE = 4
# The minion responds to a poll at once while it keeps ends of runs, so polls
# are spaced while the scheduler has not recorded an end.
_UNRECORDED_POLL_DELAY_S = 0.1
# The minion is on the same machine. Its runs can start elsewhere only after the
# report that it has left.
_LAST_POLL_TIMEOUT_S = 0.3
# A stopped run takes up to about this long to disappear.
_STOP_REPEAT_DELAY_S = 0.5
# In an older replica the order of a run may be missing, so no run is stopped
# for the lack of an order.
_MAX_ORDERS_AGE_MS = 3000


async def _deliver_nothing(_: bytes) -> bool:
    """Leave the ends to the next report; used without peers."""
    return False


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """Lease durations of a guard.

    Parameters
    ----------
    minion_lease_ms : int
        Duration of the minion's lease, which stays valid while the guard
        restarts.
    authority_ms : int
        How long the guard may extend leases after its last written report.
        Tasks survive a store outage of about this duration, and tasks of a
        lost machine are started elsewhere after it.
    """

    minion_lease_ms: int
    authority_ms: int


class Guard:
    """Carries out the orders of the scheduler for one minion.

    Parameters
    ----------
    node : str
        Name of this node; key of its report.
    store : RowStore
        Store with orders and reports.
    store_clock : StoreClock
        Bounds on the time of the store.
    clock : SteadyClock
        Clock of this process.
    connect : callable
        Creates the client of a minion incarnation from its heartbeat.
    limits : GuardLimits
        Lease durations.
    deliver_report : callable, optional
        Delivers the ends in an encoded report that could not be written, and
        returns whether they were accepted.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        connect: Callable[[Heartbeat], MinionClient],
        limits: GuardLimits,
        deliver_report: Callable[[bytes], Awaitable[bool]] = _deliver_nothing,
    ) -> None:
        """Create the guard; ``run`` starts it."""
        self._store_clock = store_clock
        self._clock = clock
        self._limits = limits
        self._orders = OrderFeed(
            store, clock, self._update_session_order, self._on_orders
        )
        self._reports = ReportBuilder(
            self._orders, store_clock, lambda: self._writer.token
        )
        self._writer = ReportWriter(
            node,
            store,
            store_clock,
            clock,
            limits.authority_ms,
            self._reports.build,
            deliver_report,
            self._on_previous_report,
        )
        self._restarts = MinionRestarts(self._reports, self._writer)
        self._identifier = MinionIdentifier(
            connect, lambda: self._writer.token, clock
        )
        self._poll_wait_ms = min(
            _MAX_POLL_WAIT_MS, limits.minion_lease_ms // _POLLS_PER_LEASE
        )
        self._session: MinionSession | None = None
        self._runner: OrderRunner | None = None
        self._stopping_unordered: set[tuple[str, int]] = set()
        self._running_calls: set[asyncio.Task[object]] = set()
        self._orders_changed = asyncio.Event()

    @property
    def minion_crashes(self) -> int:
        """Crashes of the minion that this process has observed."""
        return self._reports.minion_crashes

    @property
    def end_backlog(self) -> EndBacklog:
        """Ends of runs that no scheduler has recorded."""
        if self._session is None:
            return EndBacklog()
        ends = self._session.orders.unrecorded_ends()
        return self._writer.end_log.backlog_of(ends)

    def apply_limits(self, limits: GuardLimits) -> None:
        """Use these limits for the next incarnation of the minion.

        The authority stays that of the start of this process.
        """
        self._limits = limits

    async def run(self) -> None:
        """Follow the orders and poll the minion until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._orders.run())
            group.create_task(self._writer.run())
            group.create_task(self._poll_forever())

    async def relinquish_authority(self) -> None:
        """Give up the authority beyond the leases that the minion has.

        For a planned stop, after ``run`` has ended. If no other guard takes
        over the minion, its runs can be started elsewhere once these leases
        have expired.
        """
        for call in self._running_calls:
            call.cancel()
        if self._session is not None:
            await self._writer.relinquish_authority(
                self._session.lease_end_local_ms
            )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of the minion on this machine."""
        session = self._session
        if session is None or not session.is_about(heartbeat.minion_id):
            self._start_identification(heartbeat)
            return
        if heartbeat.sequence >= session.heartbeat.sequence:
            session.update_heartbeat(heartbeat)

    async def on_departure(self, minion_id: str) -> None:
        """Process the message of a minion that it is shutting down.

        It may not tell which incarnation it is.
        """
        session = self._session
        if session is None or not is_same_life(
            session.heartbeat.minion_id, minion_id
        ):
            return
        decision_log.record('minion_left', minion=minion_id)
        # The minion may close the connection of its message meanwhile.
        await asyncio.wait({self._spawn(self._depart(session))})

    async def _depart(self, session: MinionSession) -> None:
        try:
            async with asyncio.timeout(_LAST_POLL_TIMEOUT_S):
                await session.read_last_ends()
        except TimeoutError:
            decision_log.record(
                'last_poll_failed', minion=session.heartbeat.minion_id
            )
        self._end_session()
        self._reports.mark_departed()
        self._writer.request_write()

    # ---- minion incarnations ---------------------------------------------

    def _on_previous_report(self, report: Report) -> None:
        """Reconnect to the minion in the report of an earlier guard process.

        The minion's lease could expire before its next heartbeat arrives.
        """
        if self._session is not None:
            self._reports.restore_outcomes(report)
            return
        self._reports.restore(report)
        heartbeat = previous_heartbeat(report, self._store_clock.latest_ms())
        if heartbeat is not None:
            self._start_identification(heartbeat)

    def _start_identification(self, heartbeat: Heartbeat) -> None:
        if self._identifier.begin(heartbeat.minion_id):
            self._orders.follow(heartbeat.minion_id)
            self._spawn(self._identify(heartbeat))

    async def _identify(self, heartbeat: Heartbeat) -> None:
        found = await self._identifier.identify(heartbeat)
        if found is None:
            return
        prepared = await self._restarts.prepare(
            found, self._session, self._suspend_calls
        )
        if prepared is None:
            found.minion.close()
            return
        found = prepared
        self._begin_session(found.heartbeat, found.minion)
        decision_log.record(
            'minion_registered',
            minion=found.heartbeat.minion_id,
            running=len(found.state.running),
            capacity=found.heartbeat.capacity,
            labels=found.heartbeat.labels,
            rack=found.heartbeat.rack,
        )

    def _suspend_calls(self) -> None:
        """End all calls that carry out orders, until the next session."""
        _cancel_others(self._running_calls)
        self._runner = None

    def _begin_session(
        self, heartbeat: Heartbeat, minion: MinionClient
    ) -> None:
        self._reports.mark_replaced(heartbeat.minion_id)
        self._end_session()
        session = MinionSession(
            heartbeat,
            minion,
            self._writer,
            self._clock,
            self._store_clock,
            self._limits.minion_lease_ms,
            self._reports.abandoned_runs(),
            self._reconcile,
        )
        self._orders.follow(heartbeat.minion_id)
        for task, order in self._orders.orders_of(heartbeat.minion_id).items():
            session.orders.put(task, order)
        self._session = session
        self._reports.begin_session(session)
        self._runner = OrderRunner(
            session,
            self._writer,
            self._store_clock,
            self._clock,
            lambda: self._orders.age_ms(heartbeat.minion_id),
        )
        self._writer.request_write()
        self._spawn(self._poll())

    def _end_session(self) -> None:
        _cancel_others(self._running_calls)
        self._identifier.forget_pending()
        self._stopping_unordered.clear()
        self._reports.end_session()
        if self._session is not None:
            self._session.minion.close()
        self._session = None
        self._runner = None

    # ---- orders ----------------------------------------------------------

    def _on_orders(self) -> None:
        self._orders_changed.set()
        self._reconcile()

    def _update_session_order(
        self, minion_id: str, task: str, order: Order | None
    ) -> None:
        session = self._session
        if session is None or session.heartbeat.minion_id != minion_id:
            return
        if order is None:
            session.orders.remove(task)
        else:
            session.orders.put(task, order)

    def _reconcile(self) -> None:
        """Start ordered runs, and stop runs that are not ordered."""
        if self._session is None or self._runner is None:
            return
        if self._session.orders.state is None:
            # An earlier guard process may have started these runs, so the
            # state of the minion must be known first.
            return
        for entry in self._session.orders.open_entries():
            if entry.needs_removal:
                self._spawn_for_entry(entry, self._runner.remove_missing(entry))
            elif entry.needs_stop:
                self._spawn_for_entry(entry, self._runner.stop(entry))
            elif entry.needs_start:
                self._spawn_for_entry(entry, self._runner.start(entry))
        minion_id = self._session.heartbeat.minion_id
        if self._orders.age_ms(minion_id) > _MAX_ORDERS_AGE_MS:
            return
        for run_key in self._session.orders.unordered_runs():
            if run_key not in self._stopping_unordered:
                self._stopping_unordered.add(run_key)
                self._spawn(self._stop_unordered(self._runner, run_key))

    async def _stop_unordered(
        self, runner: OrderRunner, run_key: tuple[str, int]
    ) -> None:
        task, run = run_key
        outcome = await runner.send_stop(task, run)
        decision_log.record(
            'stop_unordered_run',
            task=task,
            run=run,
            outcome=describe_outcome(outcome),
        )
        await asyncio.sleep(_STOP_REPEAT_DELAY_S)
        self._stopping_unordered.discard(run_key)

    def _spawn_for_entry(
        self, entry: OrderEntry, work: Coroutine[Any, Any, None]
    ) -> None:
        entry.is_busy = True
        self._spawn(work).add_done_callback(lambda _: entry.mark_idle())

    def _spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        task = asyncio.create_task(work)
        self._running_calls.add(task)
        task.add_done_callback(self._on_call_done)
        return task

    def _on_call_done(self, task: asyncio.Task[object]) -> None:
        self._running_calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            decision_log.record('call_failed', error=repr(task.exception()))

    # ---- polls of the minion ---------------------------------------------

    async def _poll_forever(self) -> None:
        while True:
            session = self._session
            if session is None or not self._writer.token:
                await asyncio.sleep(_SESSION_CHECK_INTERVAL_S)
                continue
            wait_ms = self._poll_wait_ms
            if session.orders.unrecorded_ends():
                await self._wait_for_orders()
                wait_ms = 0
            if not await self._poll(wait_ms) or not session.has_lease:
                await asyncio.sleep(_LEASE_RETRY_DELAY_S)

    async def _wait_for_orders(self) -> None:
        self._orders_changed.clear()
        try:
            async with asyncio.timeout(_UNRECORDED_POLL_DELAY_S):
                await self._orders_changed.wait()
        except TimeoutError:
            return

    async def _poll(self, wait_ms: int = 0) -> bool:
        if self._session is None:
            return False
        # An end counts as recorded when its order is gone, which says nothing
        # before the orders have been read.
        return await self._session.poll(
            wait_ms,
            may_delete_ends=self._orders.is_loaded(
                self._session.heartbeat.minion_id
            ),
        )


def _cancel_others(calls: Iterable[asyncio.Task[object]]) -> None:
    """Cancel all calls but the one that is being carried out."""
    for call in calls:
        if call is not asyncio.current_task():
            call.cancel()
