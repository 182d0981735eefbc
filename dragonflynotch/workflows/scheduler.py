"""The scheduler turns jobs, worker reports and time into orders and progress.

It does no I/O. The holder of the scheduling lease passes in the inputs and
stores the decisions. After a takeover the new holder rebuilds the scheduler
from the stored rows.
"""

from dataclasses import dataclass, field

from dragonflynotch.workflows.crash_records import confirm_crashes
from dragonflynotch.workflows.decision_log_buffer import (
    DecisionLogBuffer,
    DecisionLogEntry,
)
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.early_cancellations import EarlyCancellation
from dragonflynotch.workflows.evacuation import Evacuation, EvacuationRequests
from dragonflynotch.workflows.job_faults import JobFaults
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.ordering.idle_log import IdleLog, RoundInputs
from dragonflynotch.workflows.placement.allocations import list_allocations
from dragonflynotch.workflows.placement.placer import Placer
from dragonflynotch.workflows.placement.pool_builder import PoolBuilder
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress_segments import split_progress_key
from dragonflynotch.workflows.records import Order, ProgressRow, Report
from dragonflynotch.workflows.runs.crash_tracker import CrashTracker
from dragonflynotch.workflows.runs.departures import Departures
from dragonflynotch.workflows.runs.order_registry import OrderKey, OrderRegistry
from dragonflynotch.workflows.runs.room_refusals import RoomRefusals
from dragonflynotch.workflows.runs.run_activity import RunActivity
from dragonflynotch.workflows.runs.run_tracker import RunTracker
from dragonflynotch.workflows.runs.slow_workers import SlowWorkers
from dragonflynotch.workflows.runs.start_failures import StartFailures
from dragonflynotch.workflows.runs.supervision import Supervisor
from dragonflynotch.workflows.runs.worker_health import WorkerHealth
from dragonflynotch.workflows.scheduler_status import SchedulerStatus
from dragonflynotch.workflows.unstorable_jobs import UnstorableJobs

__all__ = ('Decisions', 'Scheduler', 'SchedulerSettings')

_ALL_MECHANISMS = Mechanisms()


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Time limits of the scheduler; times are measured by the store's clock.

    Parameters
    ----------
    start_timeout_ms : int
        How long a guard may delay the start of an ordered run before the
        order expires. This also bounds how long after a cancellation a run
        can still start.
    max_report_age_ms : int
        A worker whose last report is this old or older gets no new work.
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    off_rack_slowdown : float
        How many times longer than estimated a task may take, for instance
        on another rack than its data, before it can count as stalled.
    ended_job_retention_ms : int
        How long the state of a job is kept after its end.
    evacuation_bound_ms : int or None
        How long after the acknowledgement of an evacuation runs may still
        start in the data centre; ``None`` does not limit them.
    max_row_bytes : int
        Longest row that the store accepts.
    """

    start_timeout_ms: int = 1500
    max_report_age_ms: int = 4000
    stop_ms: int = 400
    off_rack_slowdown: float = 3
    ended_job_retention_ms: int = 240_000
    evacuation_bound_ms: int | None = None
    max_row_bytes: int = 65_536


@dataclass(frozen=True, slots=True)
class Decisions:
    """Rows to write, and entries to log once they are written."""

    # By key, which is that of the job for the first row of its progress.
    progress: dict[str, ProgressRow] = field(default_factory=dict)
    # ``None`` deletes the row of an order.
    orders: dict[OrderKey, Order | None] = field(default_factory=dict)
    expired_jobs: list[str] = field(default_factory=list)
    # Keys of the rows of their progress, of jobs that have several.
    expired_rows: dict[str, list[str]] = field(default_factory=dict)
    expired_cancellations: list[EarlyCancellation] = field(default_factory=list)
    log_entries: list[DecisionLogEntry] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether there are no rows to write."""
        return not (
            self.progress
            or self.orders
            or self.expired_jobs
            or self.expired_cancellations
        )


class Scheduler:
    """Decides which task runs where.

    Parameters
    ----------
    settings : SchedulerSettings
        Time limits.
    mechanisms : Mechanisms, optional
        Parts of the policy to use, for experiments; by default, all of them.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        mechanisms: Mechanisms = _ALL_MECHANISMS,
    ) -> None:
        """Create a scheduler without jobs."""
        self._settings = settings
        self._mechanisms = mechanisms
        self._jobs = JobRegistry()
        self._orders = OrderRegistry()
        self._workers: dict[str, Worker] = {}
        self._worker_health = WorkerHealth()
        self._room_refusals = RoomRefusals()
        start_failures = StartFailures()
        self._decision_log = DecisionLogBuffer()
        self._tracker = RunTracker(
            self._jobs,
            self._orders,
            self._worker_health,
            self._room_refusals,
            start_failures,
            self._decision_log,
        )
        self._crash_tracker = CrashTracker(self._jobs, self._decision_log)
        self._faults = JobFaults(self._jobs, self._decision_log)
        self._supervisor = Supervisor(
            self._jobs,
            self._tracker,
            self._decision_log,
            settings.off_rack_slowdown,
            stops_stalled=mechanisms.stops_stalled,
        )
        self._evacuation = Evacuation(
            self._jobs,
            self._orders,
            self._tracker,
            self._decision_log,
            settings.evacuation_bound_ms,
        )
        self._pool_builder = PoolBuilder(
            self._orders,
            self._evacuation,
            self._worker_health,
            self._room_refusals,
            start_failures,
            mechanisms,
        )
        self._idle_log = IdleLog(self._jobs, self._orders, self._decision_log)
        self._placer = Placer(
            self._jobs,
            self._orders,
            self._tracker,
            self._decision_log,
            self._idle_log,
            settings.start_timeout_ms,
            settings.stop_ms,
            mechanisms,
        )
        self._unstorable = UnstorableJobs(
            self._jobs, self._orders, self._tracker, self._decision_log
        )
        self._slow_workers = SlowWorkers(self._jobs)
        self._departures = Departures(
            self._jobs,
            self._orders,
            self._tracker,
            self._decision_log,
            settings.stop_ms,
        )

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by the node of their guard."""
        return self._workers

    @property
    def status(self) -> SchedulerStatus:
        """Figures for metrics."""
        return SchedulerStatus(
            self._evacuation.run_counts,
            self._departures.departure_stops,
            sum(
                worker.leaves_at_ms is not None
                for worker in self._workers.values()
            ),
            self._jobs.count_suspects(),
            self._tracker.lost_runs,
            self._idle_log.idle_counts,
            self._idle_log.capacity_use,
            self._unstorable.failed_jobs,
            self._faults.count,
        )

    def apply_deployment(self, deployment: Deployment) -> None:
        """Use this version of the configuration from now on."""
        is_new = deployment.version != self._jobs.deployment.version
        changed = self._jobs.apply_deployment(deployment)
        if is_new:
            self._decision_log.record(
                'queues_applied',
                version=deployment.version,
                changed_jobs=changed,
                missing_queues=self._jobs.missing_queues(),
            )

    def apply_settings(self, settings: SchedulerSettings) -> None:
        """Use these settings from now on."""
        self._settings = settings
        self._supervisor.max_slowdown = settings.off_rack_slowdown
        self._placer.start_timeout_ms = settings.start_timeout_ms
        self._placer.apply_stop_ms(settings.stop_ms)
        self._evacuation.bound_ms = settings.evacuation_bound_ms
        self._departures.stop_ms = settings.stop_ms

    def apply_evacuations(self, requests: EvacuationRequests) -> None:
        """Use these requests of the operator from now on."""
        self._evacuation.apply(requests)

    def put_job(self, job_id: str, spec: JobSpec) -> None:
        """Add an accepted job."""
        self._jobs.put(job_id, spec)

    def restore_progress(self, key: str, row: ProgressRow) -> None:
        """Restore a stored row of progress after a takeover.

        The rows of a job may come in any order.
        """
        job_and_start = split_progress_key(key)
        if job_and_start is None:
            return
        job_id, start = job_and_start
        self._jobs.restore(job_id, row, start)
        for task in row.tasks:
            for minion_id, at_ms in task.failed_on.items():
                self._worker_health.restore_failure(minion_id, job_id, at_ms)

    def restore_order(self, minion_id: str, task: str, order: Order) -> None:
        """Restore a stored order after a takeover."""
        self._tracker.restore(
            minion_id,
            task,
            order,
            order.start_by_ms - self._settings.start_timeout_ms,
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job.

        A job that is not known yet will not start when it is added later.
        """
        if self._jobs.cancel(job_id):
            self._decision_log.record('job_cancelled', job=job_id)

    def cancel_early(self, cancellation: EarlyCancellation) -> None:
        """Cancel a job whose submission may still be under way."""
        if self._jobs.cancel_early(cancellation):
            self._decision_log.record(
                'job_cancelled', job=cancellation.job_id, is_early=True
            )

    def fail_unstorable(self, job_id: str, row: str, now_ms: int) -> None:
        """End a job of which the store refuses a row for good.

        Its new orders have not been written.

        Parameters
        ----------
        row : str
            Key of the row.
        """
        self._unstorable.fail(job_id, row, now_ms)

    def apply_report(
        self, node: str, report: Report, version: int, now_ms: int
    ) -> None:
        """Apply a report that the guard on a node has just written."""
        self._apply_report(node, report, version, now_ms, now_ms)

    def apply_ends(self, report: Report, now_ms: int) -> None:
        """Apply only the ends in a report that has not been stored."""
        self._tracker.apply_earlier_ends(report.earlier_ends, now_ms, now_ms)
        self._tracker.apply_ends(report, now_ms, now_ms)

    def restore_report(
        self, node: str, report: Report, version: int, now_ms: int
    ) -> None:
        """Apply the stored report of a guard after a takeover.

        Its age counts from when it was built, so that a worker that has been
        silent does not count as present anew after each takeover.
        """
        reported_ms = min(report.built_ms or now_ms, now_ms)
        self._apply_report(node, report, version, now_ms, reported_ms)

    def _apply_report(
        self,
        node: str,
        report: Report,
        version: int,
        now_ms: int,
        reported_ms: int,
    ) -> None:
        worker = self._workers.get(node)
        previous = '' if worker is None else worker.minion_id
        self._workers[node] = Worker(node, report, version, reported_ms)
        self._crash_tracker.apply(node, report.crashes)
        self._tracker.save_abandoned_checkpoints(report.abandoned)
        self._tracker.apply_earlier_ends(
            report.earlier_ends, now_ms, reported_ms
        )
        if previous and previous != report.minion_id:
            self._tracker.mark_lost(previous, 'incarnation_replaced')
        if report.minion_id:
            self._tracker.apply(report, now_ms, reported_ms)
        if worker is not None and worker.report.capacity != report.capacity:
            self._room_refusals.clear(report.minion_id)

    def remove_lost_node(
        self,
        node: str,
        reason: str = 'guard_lost',
        *,
        has_minion_ended: bool = False,
    ) -> None:
        """Remove a node whose guard has lost its authority or its minion.

        Its runs are recorded as lost, with ``reason`` in the log.

        Parameters
        ----------
        has_minion_ended : bool
            Whether the minion has ended for certain. A crash of it that its
            guard suspects then counts for its runs.
        """
        worker = self._workers.pop(node, None)
        if worker is not None and worker.minion_id:
            if has_minion_ended:
                self._crash_tracker.apply(
                    node,
                    confirm_crashes(worker.report.crashes, worker.minion_id),
                )
            self._tracker.mark_lost(worker.minion_id, reason)

    def remove_unknown_orders(self) -> None:
        """Record runs as lost if no guard reports their incarnation."""
        known = {worker.minion_id for worker in self._workers.values()}
        for minion_id in self._orders.minion_ids() - known:
            self._tracker.mark_lost(minion_id, 'incarnation_unknown')

    def decide(self, now_ms: int, wall_ms: int, write_ms: int = 0) -> Decisions:
        """Return the decisions for the current state.

        Parameters
        ----------
        now_ms : int
            Current time of the store's clock.
        wall_ms : int
            Current Unix time, for jobs with a due time.
        write_ms : int
            How long the last write to the store took. With a slow store,
            orders get more time before they expire.
        """
        while True:
            try:
                return self._decide(now_ms, wall_ms, write_ms)
            except Exception as error:
                # Each error sets one more job aside.
                if not self._faults.set_aside_cause(error):
                    raise

    def _decide(self, now_ms: int, wall_ms: int, write_ms: int) -> Decisions:
        self._crash_tracker.review()
        self._evacuation.review(self._workers.values(), now_ms)
        pool = self._pool_builder.build(
            self._workers.values(), self._settings.max_report_age_ms, now_ms
        )
        if self._mechanisms.avoids_slow_workers:
            pool.slow_minions = self._slow_workers.update(now_ms)
        self._supervisor.review(now_ms, set(pool.free))
        # Listed after the review, which may order runs to stop. Such runs
        # keep their resources until their end is reported.
        allocations = list_allocations(
            self._jobs, self._orders, now_ms, self._settings.stop_ms
        )
        latest_start_ms = self._evacuation.latest_start_ms(now_ms, write_ms)
        self._idle_log.begin_round(now_ms)
        self._placer.place(
            pool,
            allocations,
            RunActivity(
                self._workers.values(),
                self._orders,
                now_ms,
                self._settings.max_report_age_ms,
            ),
            wall_ms,
            write_ms,
            latest_start_ms,
        )
        for minion_id in pool.trials.started:
            self._worker_health.record_trial(minion_id, now_ms)
        if self._mechanisms.moves_departing:
            self._departures.review(
                pool,
                self._workers.values(),
                write_ms,
                may_start=latest_start_ms is not None,
            )
        self._idle_log.review(
            RoundInputs(
                pool,
                self._workers.values(),
                wall_ms,
                self._settings.max_report_age_ms,
                may_start=(
                    latest_start_ms is not None and latest_start_ms > now_ms
                ),
            )
        )
        expired = self._jobs.remove_expired(
            now_ms - self._settings.ended_job_retention_ms
        )
        return Decisions(
            self._jobs.take_changes(self._settings.max_row_bytes),
            self._orders.take_changes(),
            list(expired),
            {job_id: keys for job_id, keys in expired.items() if len(keys) > 1},
            self._jobs.take_expired_cancellations(
                now_ms, self._settings.ended_job_retention_ms
            ),
            self._decision_log.take(),
        )

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return self._jobs.waiting_by_queue()
