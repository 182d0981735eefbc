"""The guard beside a minion: follows its orders and reports on it."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.minion_session import MinionSession
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
    MinionState,
)
from dragonflynotch.control.order_book import OrderEntry
from dragonflynotch.control.order_runner import OrderRunner, describe
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.control.rows import ORDERS, RowChange, RowStore
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import (
    Order,
    Report,
    RunningTask,
    decode_row,
)

__all__ = ('Guard', 'GuardLimits')

# A feed call ends this often, so that a silent feed is noticed.
_FEED_WAIT = timedelta(milliseconds=1000)
_RETRY_S = 0.1
# The first report of a guard gives it its authority within about this time.
_LEASE_RETRY_S = 0.05
_LOOK_WAIT_MS = 1000
# A lease is extended this often, so that a lost call does not end it.
_LOOKS_PER_LEASE = 4
# While ends wait to be recorded the minion answers at once.
_UNRECORDED_PAUSE_S = 0.1
# A stop takes up to about this long before the run is gone.
_STRAY_PAUSE_S = 0.5
# With older orders a run cannot be told from one that is not ordered.
_FRESH_ORDERS_MS = 3000


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """Bounds of a guard, in milliseconds.

    Parameters
    ----------
    minion_lease_ms : int
        Length of the lease of the minion. It outlives a restart of the guard.
    authority_ms : int
        How long the guard may extend leases after its last written report.
        Tasks survive an outage of the store of about this length; those of a
        lost machine start elsewhere after it.
    """

    minion_lease_ms: int
    authority_ms: int


class Guard:
    """Carries out the orders for one minion.

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
        Creates the client of an incarnation from its heartbeat.
    limits : GuardLimits
        Leases.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        store_clock: StoreClock,
        clock: SteadyClock,
        connect: Callable[[Heartbeat], MinionClient],
        limits: GuardLimits,
    ) -> None:
        """Create the guard; ``run`` starts it."""
        self._store_clock = store_clock
        self._clock = clock
        self._connect = connect
        self._limits = limits
        self._orders = TableWatch(
            store, ORDERS, self._on_orders, clock, _FEED_WAIT
        )
        self._writer = ReportWriter(
            node,
            store,
            store_clock,
            clock,
            limits.authority_ms,
            self._report,
            self._on_previous_report,
        )
        self._look_wait_ms = min(
            _LOOK_WAIT_MS, limits.minion_lease_ms // _LOOKS_PER_LEASE
        )
        self._order_rows: dict[str, Order] = {}
        self._session: MinionSession | None = None
        self._runner: OrderRunner | None = None
        self._last_report: Report | None = None
        self._has_departed = False
        self._identifying: set[str] = set()
        self._stopping_strays: set[tuple[str, int]] = set()
        self._calls: set[asyncio.Task[object]] = set()
        self._orders_changed = asyncio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._orders.run())
            group.create_task(self._writer.run())
            group.create_task(self._look_forever())

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat of the minion on this machine."""
        session = self._session
        if session is None or (
            session.heartbeat.minion_id != heartbeat.minion_id
        ):
            self._start_identifying(heartbeat)
            return
        if heartbeat.sequence < session.heartbeat.sequence:
            return
        was_draining = session.heartbeat.is_draining
        session.heartbeat = heartbeat
        if was_draining != heartbeat.is_draining:
            decision_log.record(
                'minion_draining',
                minion=heartbeat.minion_id,
                is_draining=heartbeat.is_draining,
                remaining_ms=heartbeat.remaining_ms,
            )
            self._writer.request()

    def on_departure(self, minion_id: str) -> None:
        """Take the word of a minion that it ends now."""
        session = self._session
        if session is None or session.heartbeat.minion_id != minion_id:
            return
        decision_log.record('minion_left', minion=minion_id)
        self._end_session()
        self._has_departed = True
        self._writer.request()

    # ---- incarnations ----------------------------------------------------

    def _on_previous_report(self, report: Report) -> None:
        """Look for the minion that an earlier process reported.

        Its lease could run out before the next heartbeat.
        """
        self._last_report = report
        host, _, port = report.address.rpartition(':')
        if self._session is not None or not report.minion_id or not port:
            return
        self._start_identifying(
            Heartbeat(
                minion_id=report.minion_id,
                service=report.service,
                address=(host, int(port)),
                sequence=0,
                is_draining=report.is_live and not report.is_ready,
                labels=report.labels,
                rack=report.rack,
                capacity=report.capacity,
            )
        )

    def _start_identifying(self, heartbeat: Heartbeat) -> None:
        if heartbeat.minion_id not in self._identifying:
            self._identifying.add(heartbeat.minion_id)
            self._spawn(self._identify(heartbeat))

    async def _identify(self, heartbeat: Heartbeat) -> None:
        """Ask the incarnation itself whether it is the present one.

        A delayed heartbeat of an earlier incarnation looks the same.
        """
        minion = self._connect(heartbeat)
        outcome = await minion.look(self._writer.token, 0, 0, 0)
        self._identifying.discard(heartbeat.minion_id)
        if not isinstance(outcome, MinionState):
            decision_log.record(
                'heartbeat_ignored',
                minion=heartbeat.minion_id,
                outcome=describe(outcome),
            )
            minion.close()
            return
        self._begin_session(heartbeat, minion)
        decision_log.record(
            'minion_registered',
            minion=heartbeat.minion_id,
            running=len(outcome.running),
        )

    def _begin_session(
        self, heartbeat: Heartbeat, minion: MinionClient
    ) -> None:
        self._end_session()
        self._has_departed = False
        session = MinionSession(
            heartbeat,
            minion,
            self._writer,
            self._clock,
            self._limits.minion_lease_ms,
            self._abandoned_runs(heartbeat.minion_id),
            self._act,
        )
        prefix = f'{heartbeat.minion_id}/'
        for key, order in self._order_rows.items():
            if key.startswith(prefix):
                session.book.put(key.removeprefix(prefix), order)
        self._session = session
        self._runner = OrderRunner(
            session,
            self._writer,
            self._store_clock,
            self._clock,
            lambda: self._orders.age_ms,
        )
        self._writer.request()
        self._spawn(self._look())

    def _abandoned_runs(self, minion_id: str) -> list[RunningTask]:
        """Return what the last incarnation ran if it was another one."""
        last = self._last_report
        if last is None or last.minion_id == minion_id:
            return []
        return last.running or last.abandoned

    def _end_session(self) -> None:
        for call in self._calls:
            if call is not asyncio.current_task():
                call.cancel()
        self._identifying.clear()
        self._stopping_strays.clear()
        if self._session is not None:
            self._session.minion.close()
        self._session = None
        self._runner = None

    # ---- orders ----------------------------------------------------------

    def _on_orders(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            order = None
            if change.content is not None:
                order = decode_row(change.content, Order)
                if order is None:
                    decision_log.record('order_unreadable', key=change.key)
            if order is None:
                self._order_rows.pop(change.key, None)
            else:
                self._order_rows[change.key] = order
            self._pass_on(change.key, order)
        self._orders_changed.set()
        self._act()

    def _pass_on(self, key: str, order: Order | None) -> None:
        minion_id, _, task = key.partition('/')
        session = self._session
        if session is None or session.heartbeat.minion_id != minion_id:
            return
        if order is None:
            session.book.remove(task)
        else:
            session.book.put(task, order)

    def _act(self) -> None:
        """Start what is ordered, stop what is not."""
        if self._session is None or self._runner is None:
            return
        if self._session.book.state is None:
            # An earlier process may have started what is ordered.
            return
        for entry in self._session.book.open_entries():
            if entry.needs_stop:
                self._call(entry, self._runner.stop(entry))
            elif entry.needs_start:
                self._call(entry, self._runner.start(entry))
        if self._orders.age_ms > _FRESH_ORDERS_MS:
            return
        for stray in self._session.book.strays():
            if stray not in self._stopping_strays:
                self._stopping_strays.add(stray)
                self._spawn(self._stop_stray(self._runner, stray))

    async def _stop_stray(
        self, runner: OrderRunner, stray: tuple[str, int]
    ) -> None:
        task, run = stray
        outcome = await runner.send_stop(task, run)
        decision_log.record(
            'stop_unordered_run',
            task=task,
            run=run,
            outcome=describe(outcome),
        )
        await asyncio.sleep(_STRAY_PAUSE_S)
        self._stopping_strays.discard(stray)

    def _call(self, entry: OrderEntry, work: Coroutine[Any, Any, None]) -> None:
        entry.is_busy = True
        self._spawn(work).add_done_callback(lambda _: entry.set_idle())

    def _spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[object]:
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._on_call_done)
        return task

    def _on_call_done(self, task: asyncio.Task[object]) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            decision_log.record('call_failed', error=repr(task.exception()))

    # ---- state of the minion ---------------------------------------------

    async def _look_forever(self) -> None:
        while True:
            session = self._session
            if session is None or not self._writer.token:
                await asyncio.sleep(_RETRY_S)
                continue
            wait_ms = self._look_wait_ms
            if session.book.unrecorded_ends():
                await self._wait_for_orders()
                wait_ms = 0
            if not await self._look(wait_ms) or not session.has_lease:
                await asyncio.sleep(_LEASE_RETRY_S)

    async def _wait_for_orders(self) -> None:
        self._orders_changed.clear()
        try:
            async with asyncio.timeout(_UNRECORDED_PAUSE_S):
                await self._orders_changed.wait()
        except TimeoutError:
            return

    async def _look(self, wait_ms: int = 0) -> bool:
        if self._session is None:
            return False
        # Without orders from the store a recorded end cannot be told from
        # one that is not.
        return await self._session.look(
            wait_ms, may_forget=self._orders.is_loaded
        )

    def _report(self, authority_end_ms: int) -> Report | None:
        if self._session is not None:
            self._last_report = self._session.report(authority_end_ms)
            return self._last_report
        # Before the first heartbeat nothing is known, and the report of an
        # earlier process stays true.
        if not self._has_departed:
            return None
        return Report(
            '', '', False, False, authority_end_ms, self._writer.token
        )
