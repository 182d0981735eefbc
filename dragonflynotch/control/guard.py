"""The guard beside a minion: carries out orders and reports."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.lease_arithmetic import MinionLease
from dragonflynotch.control.minions import (
    Heartbeat,
    MinionClient,
    MinionState,
    NoAnswer,
    OtherIncarnation,
    RefusalReason,
    Started,
    StartRefused,
    StartRequest,
    Stopped,
    Unhealthy,
)
from dragonflynotch.control.order_book import OrderBook, OrderEntry, Phase
from dragonflynotch.control.report_writer import ReportWriter
from dragonflynotch.control.rows import RowChange, RowStore, Table
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Order, Report, decode_row

__all__ = ('Guard', 'GuardLimits')

# A feed call ends this often, so that a silent feed is noticed.
_FEED_WAIT = timedelta(milliseconds=1000)
# Pause before a call is repeated to a minion that did not carry it out.
_RETRY_S = 0.1
_LOOK_WAIT_MS = 1000
# While ends wait to be recorded the minion answers at once.
_UNRECORDED_PAUSE_S = 0.1
# A stop takes up to about this long before the run is gone.
_STRAY_PAUSE_S = 0.5
# Orders older than this are not followed to stop runs without an order.
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
            store, Table.orders, self._on_orders, clock, _FEED_WAIT
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
        self._all_orders: dict[str, Order] = {}
        self._book = OrderBook()
        self._heartbeat: Heartbeat | None = None
        self._minion: MinionClient | None = None
        self._lease = MinionLease(clock)
        self._is_live = False
        self._calls: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._identifying: str | None = None
        self._has_departed = False
        self._stopping_strays: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._orders.run())
            group.create_task(self._writer.run())
            group.create_task(self._look_forever())

    # ---- heartbeats ------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat of the minion on this machine."""
        current = self._heartbeat
        if current is None or heartbeat.minion_id != current.minion_id:
            # A delayed heartbeat of an earlier incarnation looks the same, so
            # the incarnation itself is asked first.
            if self._identifying != heartbeat.minion_id:
                self._identifying = heartbeat.minion_id
                self._spawn(self._identify(heartbeat))
            return
        if heartbeat.sequence < current.sequence:
            return
        if heartbeat.is_draining and not current.is_draining:
            decision_log.record(
                'minion_draining',
                minion=heartbeat.minion_id,
                remaining_ms=heartbeat.remaining_ms,
            )
        was_draining = current.is_draining
        self._heartbeat = heartbeat
        if was_draining != heartbeat.is_draining:
            self._writer.request()

    def on_departure(self, minion_id: str) -> None:
        """Take the word of a minion that it ends now."""
        current = self._heartbeat
        if current is None or current.minion_id != minion_id:
            return
        decision_log.record('minion_left', minion=minion_id)
        self._forget_minion()
        self._has_departed = True
        self._writer.request()

    def _on_previous_report(self, report: Report) -> None:
        """Look for the minion that an earlier process reported.

        Its lease would run out before the next heartbeat and some retries.
        """
        host, _, port = report.address.rpartition(':')
        if self._heartbeat is not None or not report.minion_id or not port:
            return
        self._spawn(
            self._identify(
                Heartbeat(
                    minion_id=report.minion_id,
                    service=report.service,
                    address=(host, int(port)),
                    sequence=0,
                    is_draining=not report.is_ready and report.is_live,
                    labels=report.labels,
                    rack=report.rack,
                    capacity=report.capacity,
                )
            )
        )

    async def _identify(self, heartbeat: Heartbeat) -> None:
        minion = self._connect(heartbeat)
        outcome = await minion.look(self._writer.token, 0, 0, 0)
        if self._identifying == heartbeat.minion_id:
            self._identifying = None
        if not isinstance(outcome, MinionState):
            decision_log.record(
                'heartbeat_ignored',
                minion=heartbeat.minion_id,
                outcome=type(outcome).__name__,
            )
            minion.close()
            return
        self._forget_minion()
        self._has_departed = False
        self._heartbeat = heartbeat
        self._minion = minion
        self._is_live = True
        # An earlier guard process may have extended the lease.
        self._lease.assume_leased_until(
            self._clock.now_ms() + self._limits.minion_lease_ms
        )
        self._lease.observe(outcome.clock_ms)
        prefix = f'{heartbeat.minion_id}/'
        for key, order in self._all_orders.items():
            if key.startswith(prefix):
                self._book.put(key.removeprefix(prefix), order)
        decision_log.record(
            'minion_registered',
            minion=heartbeat.minion_id,
            running=len(outcome.running),
        )
        self._observe(outcome)
        self._writer.request()

    def _forget_minion(self) -> None:
        for call in self._calls:
            if call is not asyncio.current_task():
                call.cancel()
        if self._minion is not None:
            self._minion.close()
        self._minion = None
        self._heartbeat = None
        self._is_live = False
        self._book = OrderBook()
        self._stopping_strays.clear()
        self._lease = MinionLease(self._clock)

    # ---- orders ----------------------------------------------------------

    def _on_orders(self, changes: tuple[RowChange, ...]) -> None:
        minion_id = self._heartbeat.minion_id if self._heartbeat else ''
        for change in changes:
            owner, _, task = change.key.partition('/')
            order = None
            if change.content is not None:
                order = decode_row(change.content, Order)
                if order is None:
                    decision_log.record('order_unreadable', key=change.key)
            if order is None:
                self._all_orders.pop(change.key, None)
            else:
                self._all_orders[change.key] = order
            if owner != minion_id:
                continue
            if order is None:
                self._book.remove(task)
            else:
                self._book.put(task, order)
        self._act()

    def _act(self) -> None:
        """Start what is ordered, stop what is not."""
        if self._minion is None:
            return
        self._changed.set()
        for entry in list(self._book.entries.values()):
            if entry.is_busy or entry.phase in {Phase.rejected, Phase.ended}:
                continue
            if entry.order.is_stopped:
                if not entry.is_stop_sent:
                    self._call(entry, self._stop_order(entry))
            elif entry.phase is Phase.new:
                self._call(entry, self._start_order(entry))
        if self._orders.age_ms < _FRESH_ORDERS_MS:
            for stray in self._book.strays():
                if stray not in self._stopping_strays:
                    self._stopping_strays.add(stray)
                    self._spawn(self._stop_stray(*stray))

    def _call(self, entry: OrderEntry, work: object) -> None:
        entry.is_busy = True
        task = self._spawn(work)
        task.add_done_callback(lambda _: _set_idle(entry))

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._calls.add(task)
        task.add_done_callback(self._on_call_done)
        return task

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            decision_log.record('call_failed', error=repr(task.exception()))

    async def _start_order(self, entry: OrderEntry) -> None:
        """Start a run, or make sure that it never starts."""
        while self._may_start(entry):
            outcome = await self._try_start(entry)
            decision_log.record(
                'start_order',
                task=entry.task,
                run=entry.order.run,
                outcome=_outcome_name(outcome),
                orders_age_ms=self._orders.age_ms,
            )
            match outcome:
                case Started():
                    entry.phase = Phase.started
                    entry.may_arrive = False
                    return
                case StartRefused(reason=RefusalReason.old):
                    await self._settle_old(entry)
                    return
                case StartRefused(reason=RefusalReason.late):
                    await self._read_clock()
                case StartRefused(reason=reason):
                    await self._close(entry, reason.value)
                    return
                case OtherIncarnation():
                    return
                case NoAnswer():
                    entry.may_arrive = True
            await asyncio.sleep(_RETRY_S)
        if entry.phase is Phase.new:
            reason = 'stopped' if entry.order.is_stopped else 'expired'
            await self._close(entry, reason)

    def _may_start(self, entry: OrderEntry) -> bool:
        heartbeat = self._heartbeat
        return (
            entry.phase is Phase.new
            and self._book.entries.get(entry.task) is entry
            and not entry.order.is_stopped
            and heartbeat is not None
            and not heartbeat.is_draining
            and self._store_clock.latest_ms() < entry.order.start_by_ms
        )

    async def _try_start(
        self, entry: OrderEntry
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        minion = self._minion
        # The lease in the call makes the minion refuse it after the last
        # moment for the start, also if this process stands still meanwhile.
        left_ms = entry.order.start_by_ms - self._store_clock.latest_ms()
        until_ms = self._lease.grant(
            min(self._clock.now_ms() + left_ms, self._granted_until_ms())
        )
        if minion is None or not until_ms:
            return Unhealthy()
        return await minion.start(
            StartRequest(
                entry.task,
                entry.order.run,
                entry.order.payload,
                entry.order.checkpoint,
                until_ms,
            ),
            self._writer.token,
        )

    async def _settle_old(self, entry: OrderEntry) -> None:
        await self._look_once(0)
        if entry.phase is Phase.new:
            self._book.reject(entry, RefusalReason.old.value)
            self._writer.request()

    async def _close(self, entry: OrderEntry, reason: str) -> None:
        """Reject an order after any start under way has become harmless."""
        while entry.may_arrive:
            outcome = await self._send_stop(entry.task, entry.order.run)
            if isinstance(outcome, Stopped):
                entry.may_arrive = False
            elif isinstance(outcome, OtherIncarnation):
                return
            else:
                await asyncio.sleep(_RETRY_S)
            await self._look_once(0)
        if entry.phase is Phase.new:
            decision_log.record(
                'order_rejected',
                task=entry.task,
                run=entry.order.run,
                reason=reason,
            )
            self._book.reject(entry, reason)
            self._writer.request()

    async def _stop_order(self, entry: OrderEntry) -> None:
        outcome = await self._send_stop(entry.task, entry.order.run)
        decision_log.record(
            'stop_order',
            task=entry.task,
            run=entry.order.run,
            outcome=_outcome_name(outcome),
        )
        if not isinstance(outcome, Stopped):
            await asyncio.sleep(_RETRY_S)
            return
        entry.is_stop_sent = True
        entry.may_arrive = False
        await self._look_once(0)
        if entry.phase is Phase.new:
            self._book.reject(entry, 'stopped')
            self._writer.request()

    async def _stop_stray(self, task: str, run: int) -> None:
        outcome = await self._send_stop(task, run)
        decision_log.record(
            'stop_unordered_run',
            task=task,
            run=run,
            outcome=_outcome_name(outcome),
        )
        await asyncio.sleep(_STRAY_PAUSE_S)
        self._stopping_strays.discard((task, run))

    async def _send_stop(
        self, task: str, run: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        if self._minion is None:
            return OtherIncarnation()
        return await self._minion.stop(task, run, self._writer.token)

    # ---- lease and state of the minion -----------------------------------

    def _granted_until_ms(self) -> int:
        """Return the local time up to which the lease may be extended."""
        return min(
            self._clock.now_ms() + self._limits.minion_lease_ms,
            self._writer.authority_local_ms(),
        )

    async def _look_forever(self) -> None:
        while True:
            if self._minion is None or not self._writer.token:
                await asyncio.sleep(_RETRY_S)
                continue
            has_unrecorded = bool(self._book.unrecorded_ends())
            if has_unrecorded:
                self._changed.clear()
                try:
                    async with asyncio.timeout(_UNRECORDED_PAUSE_S):
                        await self._changed.wait()
                except TimeoutError:
                    has_unrecorded = True
            is_answered = await self._look_once(
                0 if has_unrecorded else _LOOK_WAIT_MS
            )
            if not is_answered:
                await asyncio.sleep(_RETRY_S)

    async def _look_once(self, wait_ms: int) -> bool:
        minion = self._minion
        if minion is None:
            return False
        seen = self._book.seen_up_to()
        # Without orders from the store an end cannot be told from one that
        # still has to be recorded.
        if not self._orders.is_loaded:
            seen = 0
        until_ms = self._lease.grant(self._granted_until_ms())
        outcome = await minion.look(self._writer.token, seen, until_ms, wait_ms)
        if minion is not self._minion:
            return False
        if isinstance(outcome, MinionState):
            self._lease.observe(outcome.clock_ms)
            self._observe(outcome)
            return True
        self._on_silence(outcome)
        return False

    async def _read_clock(self) -> None:
        await self._look_once(0)

    def _observe(self, state: MinionState) -> None:
        known = {end.number for end in self._book.unrecorded_ends()}
        self._book.observe(state)
        ends = self._book.unrecorded_ends()
        fresh = [end for end in ends if end.number not in known]
        for end in fresh:
            decision_log.record(
                'run_ended', task=end.task, run=end.run, kind=end.kind.value
            )
        if fresh or not self._is_live:
            self._is_live = True
            self._writer.request()
        self._act()

    def _on_silence(
        self, outcome: OtherIncarnation | Unhealthy | NoAnswer
    ) -> None:
        if not self._is_live:
            return
        if isinstance(outcome, OtherIncarnation) or self._lease.is_expired:
            decision_log.record(
                'minion_lost',
                minion=self._heartbeat.minion_id if self._heartbeat else '',
                outcome=_outcome_name(outcome),
            )
            self._is_live = False
            self._writer.request()

    def _report(self, leased_until_ms: int) -> Report | None:
        heartbeat = self._heartbeat
        if heartbeat is None:
            # Before the first heartbeat nothing is known, and the report of
            # an earlier process stays true.
            if not self._has_departed:
                return None
            return Report('', '', False, False, leased_until_ms, 0)
        state = self._book.state
        return Report(
            minion_id=heartbeat.minion_id,
            service=heartbeat.service,
            is_ready=self._is_live and not heartbeat.is_draining,
            is_live=self._is_live,
            leased_until_ms=leased_until_ms,
            token=0,
            address='{}:{}'.format(*heartbeat.address),
            labels=heartbeat.labels,
            rack=heartbeat.rack,
            capacity=heartbeat.capacity,
            running=list(state.running) if state and self._is_live else [],
            ended=self._book.unrecorded_ends(),
            rejected=self._book.rejections(),
        )


def _set_idle(entry: OrderEntry) -> None:
    entry.is_busy = False


def _outcome_name(outcome: object) -> str:
    if isinstance(outcome, StartRefused):
        return f'refused: {outcome.reason.value}'
    if isinstance(outcome, NoAnswer):
        return f'no answer: {outcome.reason}'
    return type(outcome).__name__
