"""Scheduling on the rows of the store while this node holds the lease."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.decision_writer import DecisionWriter
from dragonflynotch.control.leader_load import LeaderLoad
from dragonflynotch.control.leader_pace import RoundPace
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.loss_detector import (
    LossCounts,
    LossDetector,
    LostMachine,
)
from dragonflynotch.control.lost_guards import LostGuards
from dragonflynotch.control.machines import (
    MachineDirectory,
    NoMachineDirectory,
)
from dragonflynotch.control.replica_freshness import (
    ReplicaFreshness,
    are_operator_rows_recent,
)
from dragonflynotch.control.rows import (
    ORDER_TABLES,
    PROGRESS,
    REPORTS,
    SUBMISSIONS,
    RowChange,
    RowStore,
)
from dragonflynotch.control.scheduler_rows import SchedulerRows
from dragonflynotch.control.table_reader import TableReader
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.evacuation import EvacuationRequests
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.scheduler import (
    Decisions,
    Scheduler,
    SchedulerSettings,
)
from dragonflynotch.workflows.scheduler_status import SchedulerStatus
from dragonflynotch.workflows.waiting_counts import WaitingCounts

__all__ = ('LeaderContext', 'LeaderTerm')

# Longest wait for changes in one call of a change feed. A response without
# changes counts as current when its call was sent, so an idle replica is up to
# two such waits old, which has to stay below the limit on its age.
_FEED_TIMEOUT = timedelta(milliseconds=500)
# Changes that arrive within this time are scheduled in one round.
_BATCH_WINDOW_S = 0.008
# A round runs at least this often: deadlines pass without a change of a row.
_ROUND_INTERVAL = timedelta(milliseconds=250)
# The lease row is rewritten at least this often.
_RENEWAL_INTERVAL_MS = 600
# Covers clock differences and response delays.
_AUTHORITY_MARGIN_MS = 500
_MS_PER_S = 1000
# Reason in the log for runs whose minion the list of machines lacks.
_MACHINE_LOST = 'machine_lost'


def _ignore_duration(_: float) -> None:
    """Discard the duration; used if no metric is given."""


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """What a node needs to schedule.

    Parameters
    ----------
    store : RowStore
        Store with jobs, reports and orders.
    store_clock : StoreClock
        Bounds on the time of the store.
    clock : SteadyClock
        Clock of this process.
    leadership : Leadership
        Scheduling lease.
    deployment : callable
        Returns the configuration in force, or ``None`` before the first.
    record_round : callable
        Receives the duration of the decisions of each round, in seconds.
    evacuations : callable
        Returns the evacuations that the operator requests, or ``None`` before
        the operator's rows have been read.
    record_load : callable
        Receives the duration of each completed load, in seconds.
    machines : MachineDirectory
        List of the machines; none by default.
    losses : LossCounts
        Counts lost machines.
    """

    store: RowStore
    store_clock: StoreClock
    clock: SteadyClock
    leadership: Leadership
    deployment: Callable[[], Deployment | None]
    record_round: Callable[[float], None]
    evacuations: Callable[[], EvacuationRequests | None]
    record_load: Callable[[float], None] = _ignore_duration
    machines: MachineDirectory = field(default_factory=NoMachineDirectory)
    losses: LossCounts = field(default_factory=LossCounts)


class LeaderTerm:
    """Scheduling from the claim of the lease until it is lost.

    Parameters
    ----------
    context : LeaderContext
        What the node schedules with.
    settings : SchedulerSettings
        Limits of the scheduler.
    """

    def __init__(
        self, context: LeaderContext, settings: SchedulerSettings
    ) -> None:
        """Create the term; ``run`` starts it."""
        self._store_clock = context.store_clock
        self._clock = context.clock
        self._leadership = context.leadership
        self._deployment = context.deployment
        self._store = context.store
        self._record_round = context.record_round
        self._evacuations = context.evacuations
        self._record_load = context.record_load
        self._scheduler = Scheduler(settings)
        self._rows = SchedulerRows(self._scheduler, self._store_now_ms)
        self._evacuation_bound_ms = settings.evacuation_bound_ms
        self._submissions = TableWatch(
            context.store,
            SUBMISSIONS,
            self._on_submissions,
            context.clock,
            _FEED_TIMEOUT,
        )
        self._reports = TableWatch(
            context.store,
            REPORTS,
            self._on_reports,
            context.clock,
            _FEED_TIMEOUT,
        )
        self._rows_changed = asyncio.Event()
        self._lost_guards = LostGuards(context.store, self._rows_changed.set)
        # Machines whose loss is known and whose runs are still held, by node.
        self._lost_machines: dict[str, LostMachine] = {}
        self._writer = DecisionWriter(
            context.store, context.leadership, context.clock
        )
        self._pace = RoundPace(context.leadership.handovers)
        # End of the last round that was judged, without its writes.
        self._paced_ms = context.clock.now_ms()
        self._freshness = ReplicaFreshness(self._submissions, self._reports)
        self._loss_detector = LossDetector(
            context.machines,
            context.clock,
            context.losses,
            self._rows_changed.set,
        )

    @property
    def status(self) -> SchedulerStatus:
        """Figures of the scheduler for metrics."""
        return self._scheduler.status

    def apply_settings(self, settings: SchedulerSettings) -> None:
        """Use these settings from the next round of decisions on."""
        self._scheduler.apply_settings(settings)
        self._evacuation_bound_ms = settings.evacuation_bound_ms

    def receive_ends(self, report: Report) -> bool:
        """Apply the ends in a report that its guard could not write.

        Returns
        -------
        bool
            ``False`` while the rows are being loaded. The guard repeats the
            ends until their orders are gone.
        """
        if self._rows.is_loading:
            return False
        self._scheduler.apply_ends(report, self._store_now_ms())
        self._rows_changed.set()
        return True

    async def run(self) -> None:
        """Load all rows and schedule until the lease is lost."""
        await self._load()
        watches = [
            asyncio.create_task(self._submissions.run()),
            asyncio.create_task(self._reports.run()),
        ]
        try:
            while not any(watch.done() for watch in watches):
                await self._run_round()
                await self._wait_for_changes()
            # A watch only ends by an error, which ends the term.
            await asyncio.gather(*watches)
        finally:
            for watch in watches:
                watch.cancel()
            self._cancel_calls()

    def _cancel_calls(self) -> None:
        self._lost_guards.cancel()
        self._loss_detector.close()

    async def _load(self) -> None:
        progress_reader = TableReader(self._store, (PROGRESS,), self._clock)
        orders_reader = TableReader(self._store, ORDER_TABLES, self._clock)
        load = LeaderLoad(
            self._leadership,
            self._clock,
            (
                progress_reader.read,
                orders_reader.read,
                self._submissions.load,
                self._reports.load,
            ),
        )
        self._record_load(await load.run())
        self._paced_ms = self._clock.now_ms()
        # All pages are there, so these calls return without a request.
        progress = await progress_reader.read()
        orders = await orders_reader.read()
        reports = self._rows.finish_loading(progress.rows, orders.rows)
        decision_log.record(
            'scheduling_started',
            epoch=self._leadership.epoch,
            orders=len(orders.rows),
            reports=reports,
        )

    def _store_now_ms(self) -> int:
        return self._store_clock.earliest_ms()

    # ---- changes of rows -------------------------------------------------

    def _on_submissions(self, changes: tuple[RowChange, ...]) -> None:
        self._rows.apply_submissions(changes)
        self._rows_changed.set()

    def _on_reports(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            if change.content is not None:
                self._loss_detector.record_report(change.key)
            self._rows.apply_report(change)
        self._rows_changed.set()

    # ---- scheduling rounds -----------------------------------------------

    async def _wait_for_changes(self) -> None:
        try:
            async with asyncio.timeout(_ROUND_INTERVAL.total_seconds()):
                await self._rows_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(_BATCH_WINDOW_S)
        self._rows_changed.clear()

    async def _run_round(self) -> None:
        self._remove_lost_guards()
        self._expire_lost_guards()
        self._find_lost_machines()
        deployment = self._deployment()
        if deployment is not None:
            self._scheduler.apply_deployment(deployment)
        evacuations = self._evacuations()
        decisions = Decisions()
        started_ms = self._clock.now_ms()
        are_fresh = self._freshness.check(
            self._writer.duration_ms, self._leadership.epoch
        )
        # Before the operator's rows are known, a run could be started in a
        # data centre that is evacuated.
        if are_fresh and evacuations is not None:
            self._scheduler.apply_evacuations(evacuations)
            decisions = self._decide()
        self._check_pace(
            started_ms,
            could_decide=are_fresh
            and are_operator_rows_recent(
                evacuations, self._store_now_ms(), self._evacuation_bound_ms
            ),
        )
        is_renewal_due = (
            self._clock.now_ms() - self._writer.written_ms
            > _RENEWAL_INTERVAL_MS
        )
        if not decisions.is_empty or is_renewal_due:
            refused = await self._writer.write(
                decisions, self._count_waiting() if are_fresh else None
            )
            for job in refused:
                self._scheduler.fail_unstorable(
                    job.job_id, job.row, self._store_now_ms()
                )
        for entry in decisions.log_entries:
            decision_log.record(
                entry.event, epoch=self._leadership.epoch, **entry.fields
            )

    def _count_waiting(self) -> WaitingCounts:
        return WaitingCounts(
            self._store_now_ms(), self._scheduler.waiting_by_queue()
        )

    def _decide(self) -> Decisions:
        started_ms = self._clock.now_ms()
        decisions = self._scheduler.decide(
            self._store_now_ms(),
            int(time.time() * _MS_PER_S),
            self._writer.duration_ms,
        )
        self._record_round((self._clock.now_ms() - started_ms) / _MS_PER_S)
        return decisions

    def _check_pace(self, started_ms: int, *, could_decide: bool) -> None:
        """Raise ``CannotKeepUpError`` if rounds have been late for too long."""
        now_ms = self._clock.now_ms()
        previous_ms = max(self._paced_ms, self._writer.written_ms)
        self._paced_ms = now_ms
        self._pace.record_round(
            now_ms - previous_ms,
            now_ms - started_ms,
            self._writer.duration_ms,
            could_decide=could_decide,
        )
        if self._pace.is_settled:
            self._leadership.settle()

    def _remove_lost_guards(self) -> None:
        """Discard the runs of guards whose reports have been replaced."""
        for node, worker in self._lost_guards.take_voided().items():
            reason = self._record_loss(node, worker)
            # A guard that is back may have written a newer report meanwhile.
            if self._scheduler.workers.get(node) is worker:
                self._scheduler.remove_lost_node(
                    node, reason, has_minion_ended=reason == _MACHINE_LOST
                )

    def _record_loss(self, node: str, worker: Worker) -> str:
        """Log why the report of a guard was replaced, and return the reason."""
        lost = self._lost_machines.pop(node, None)
        if lost is not None and lost.worker is worker:
            self._loss_detector.record_loss(lost)
            return _MACHINE_LOST
        decision_log.record('guard_lost', guard=node, minion=worker.minion_id)
        return 'guard_lost'

    def _expire_lost_guards(self) -> None:
        """Give up the guards whose authority has ended."""
        now_ms = self._store_now_ms()
        for node, worker in list(self._scheduler.workers.items()):
            end_ms = worker.report.authority_end_ms + _AUTHORITY_MARGIN_MS
            if now_ms >= end_ms and worker.minion_id:
                self._lost_guards.void(node, worker)

    def _find_lost_machines(self) -> None:
        """Give up the guards whose minions have ended with their machines."""
        lost_machines = self._loss_detector.find_lost(
            self._scheduler.workers.values(), self._reports.confirmed_age_ms
        )
        for lost in lost_machines:
            node = lost.worker.node
            self._lost_machines[node] = lost
            self._lost_guards.void(node, lost.worker, has_minion_ended=True)
