"""The scheduler: jobs, reports and time in, orders and progress out.

It has no input or output of its own. A holder of the scheduling lease feeds
it and writes what it decides; after a takeover the next holder builds it anew
from the stored rows.
"""

from dataclasses import dataclass, field

from dragonflynotch.workflows.decision_lines import (
    DecisionLine,
    DecisionLines,
)
from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.evidence import WorkerEvidence
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.occupation import list_occupations
from dragonflynotch.workflows.order_ledger import OrderKey, OrderLedger
from dragonflynotch.workflows.placement import Room
from dragonflynotch.workflows.placer import Placer
from dragonflynotch.workflows.records import Order, ProgressRow, Report
from dragonflynotch.workflows.run_tracker import RunTracker
from dragonflynotch.workflows.supervision import Supervisor
from dragonflynotch.workflows.workers import Worker

__all__ = ('Decisions', 'Scheduler', 'SchedulerSettings')


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds of the scheduler, in milliseconds of the store's clock.

    Parameters
    ----------
    start_window_ms : int
        How long an order may wait at its guard before it expires. It bounds
        how late a start can follow a cancellation.
    report_limit_ms : int
        Age of a report above which its worker gets no new work.
    stop_ms : int
        Longest time that a stop takes.
    far_factor : float
        How much slower a task is away from its rack.
    keep_ended_ms : int
        How long the state of an ended job is kept.
    """

    start_window_ms: int = 1500
    report_limit_ms: int = 4000
    stop_ms: int = 400
    far_factor: float = 3
    keep_ended_ms: int = 240_000


@dataclass(frozen=True, slots=True)
class Decisions:
    """What has to be written, and what to log after that."""

    progress: dict[str, ProgressRow] = field(default_factory=dict)
    # ``None`` removes an order.
    orders: dict[OrderKey, Order | None] = field(default_factory=dict)
    forgotten_jobs: list[str] = field(default_factory=list)
    lines: list[DecisionLine] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to be written."""
        return not (self.progress or self.orders or self.forgotten_jobs)


class Scheduler:
    """Decides which task runs where."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Create a scheduler without jobs."""
        self._settings = settings
        self._jobs = JobRegistry()
        self._orders = OrderLedger()
        self._workers: dict[str, Worker] = {}
        self._evidence = WorkerEvidence()
        self._lines = DecisionLines()
        self._tracker = RunTracker(
            self._jobs, self._orders, self._evidence, self._lines
        )
        self._supervisor = Supervisor(
            self._jobs, self._tracker, self._lines, settings.far_factor
        )
        self._placer = Placer(
            self._jobs,
            self._orders,
            self._tracker,
            self._lines,
            settings.start_window_ms,
        )

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by node."""
        return self._workers

    def apply_deployment(self, deployment: Deployment) -> None:
        """Take a version of the configuration."""
        self._jobs.deployment = deployment

    def put_job(self, job_id: str, spec: JobSpec) -> None:
        """Add an accepted job."""
        self._jobs.put(job_id, spec)

    def restore_progress(self, job_id: str, row: ProgressRow) -> None:
        """Take stored progress after a takeover."""
        self._jobs.restore(job_id, row)

    def restore_order(self, minion_id: str, task: str, order: Order) -> None:
        """Take a stored order after a takeover."""
        self._tracker.restore(
            minion_id,
            task,
            order,
            order.start_by_ms - self._settings.start_window_ms,
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job; known or not, it will not start any more."""
        if self._jobs.cancel(job_id):
            self._lines.record('job_cancelled', job=job_id)

    def report(
        self, node: str, report: Report, version: int, now_ms: int
    ) -> None:
        """Take the report of a guard."""
        worker = self._workers.get(node)
        previous = '' if worker is None else worker.minion_id
        self._workers[node] = Worker(node, report, version, now_ms)
        self._tracker.save_abandoned(report.abandoned)
        if previous and previous != report.minion_id:
            self._tracker.void(previous, 'incarnation_replaced')
        if report.minion_id:
            self._tracker.apply(report, now_ms)

    def void_node(self, node: str) -> None:
        """Give up the runs of a guard whose authority has ended."""
        worker = self._workers.pop(node, None)
        if worker is not None and worker.minion_id:
            self._tracker.void(worker.minion_id, 'guard_lost')

    def void_unknown_orders(self) -> None:
        """Give up orders of incarnations that no guard reports any more."""
        known = {worker.minion_id for worker in self._workers.values()}
        for minion_id in self._orders.minions() - known:
            self._tracker.void(minion_id, 'incarnation_unknown')

    def decide(self, now_ms: int, wall_ms: int, write_ms: int = 0) -> Decisions:
        """Return what to write now.

        Parameters
        ----------
        now_ms : int
            Time of the store.
        wall_ms : int
            Time since 1970, for jobs with a due time.
        write_ms : int
            How long the last write took. Orders of a slow store wait longer.
        """
        room = self._room(now_ms)
        self._supervisor.review(now_ms, set(room.free))
        # The review may have stopped runs; they hold their room until the
        # stop is reported.
        occupations = list_occupations(
            self._jobs, self._orders, now_ms, self._settings.stop_ms
        )
        self._placer.place(room, occupations, wall_ms, write_ms)
        return Decisions(
            self._jobs.take_changes(),
            self._orders.take_changes(),
            self._jobs.forget_ended(now_ms - self._settings.keep_ended_ms),
            self._lines.take(),
        )

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the accepted jobs without a started task."""
        return self._jobs.waiting_by_queue()

    def _room(self, now_ms: int) -> Room:
        """Return the free resources of the workers that may be used."""
        workers = {
            worker.minion_id: worker
            for worker in self._workers.values()
            if worker.minion_id
            and worker.report.is_ready
            and now_ms - worker.reported_ms < self._settings.report_limit_ms
        }
        free = {
            minion_id: worker.report.resources
            for minion_id, worker in workers.items()
        }
        for (holder, _), order in self._orders:
            if holder in free:
                free[holder] -= order.resources
        excluded = self._evidence.excluded(list(workers), now_ms)
        return Room(
            {
                minion_id: worker
                for minion_id, worker in workers.items()
                if minion_id not in excluded
            },
            free,
            now_ms,
            {
                minion_id: self._evidence.suspicion(minion_id)
                for minion_id in workers
            },
        )
