"""Updates jobs and orders from what guards report about runs."""

from collections.abc import Iterable

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import (
    INVALID,
    MISSING,
    NO_ROOM,
    STOPPED,
    EarlierEnd,
    EndKind,
    JobState,
    Order,
    Rejection,
    Report,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.room_refusals import RoomRefusals
from dragonflynotch.workflows.runs.start_failures import StartFailures
from dragonflynotch.workflows.runs.worker_health import WorkerHealth
from dragonflynotch.workflows.tasks import ActiveRun, Task

__all__ = ('RunTracker',)

# Rejections that say nothing about whether the worker starts other runs; one
# for want of room counts as such a refusal.
_REASONS_WITHOUT_FAULT = frozenset((INVALID, NO_ROOM, STOPPED))


class RunTracker:
    """Applies reports to jobs and orders.

    Guards repeat an entry in their reports until it has been recorded. Each
    entry is matched with its order and so takes effect only once.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        worker_health: WorkerHealth,
        room_refusals: RoomRefusals,
        start_failures: StartFailures,
        decision_log: DecisionLogBuffer,
    ) -> None:
        """Create a tracker that updates ``jobs`` and ``orders``."""
        self._jobs = jobs
        self._orders = orders
        self._worker_health = worker_health
        self._room_refusals = room_refusals
        self._start_failures = start_failures
        self._decision_log = decision_log
        # Store time of the latest report, for ages in the log.
        self._applied_ms = 0
        self._lost_runs = 0

    @property
    def lost_runs(self) -> int:
        """Runs that were recorded as lost."""
        return self._lost_runs

    def apply(self, report: Report, now_ms: int, reported_ms: int) -> None:
        """Apply the report of a guard about an incarnation.

        Parameters
        ----------
        reported_ms : int
            Store time of the report.
        """
        self._applied_ms = now_ms
        self.apply_ends(report, now_ms, reported_ms)
        for rejection in report.rejected:
            self._apply_rejection(report.minion_id, rejection, now_ms)
        for started in report.started:
            found = self._jobs.find(started.task)
            if found is not None:
                self._record_start(found[0], started.task, started.run)
        read_ms = reported_ms - report.runs_age_ms
        for running in report.running:
            self._apply_running(report.minion_id, running, read_ms)
        if not report.is_live:
            self.mark_lost(report.minion_id, 'lease_expired')

    def apply_ends(self, report: Report, now_ms: int, reported_ms: int) -> None:
        """Record the ends of runs of the incarnation in a report."""
        for end in report.ended:
            self._apply_end(report.minion_id, end, now_ms, reported_ms)

    def apply_earlier_ends(
        self,
        earlier_ends: Iterable[EarlierEnd],
        now_ms: int,
        reported_ms: int,
    ) -> None:
        """Record ends of runs of earlier incarnations.

        Must precede ``mark_lost`` for these incarnations.

        Parameters
        ----------
        reported_ms : int
            Store time of the report.
        """
        for earlier in earlier_ends:
            self._apply_end(earlier.minion_id, earlier.end, now_ms, reported_ms)

    def save_abandoned_checkpoints(
        self, abandoned: Iterable[RunningTask]
    ) -> None:
        """Save the checkpoints of runs of a previous incarnation."""
        for running in abandoned:
            found = self._jobs.find(running.task)
            if found is None:
                continue
            job, step, task = found
            self._record_start(job, running.task, running.run)
            if (
                running.checkpoint
                and step.spec.has_checkpoints
                and task.active is not None
                and task.active.run == running.run
            ):
                job.save_checkpoint(step, task, running.checkpoint)

    def restore(
        self, minion_id: str, name: str, order: Order, ordered_ms: int
    ) -> None:
        """Restore a stored order and the active run of its task.

        The progress of its job must have been restored before.
        """
        self._orders.restore((minion_id, name), order)
        found = self._jobs.find(name)
        if found is None:
            return
        job, _, task = found
        task.run = max(task.run, order.run)
        task.active = ActiveRun(
            minion_id,
            order.run,
            ordered_ms,
            is_stopping=order.is_stopped,
            progress_changed_ms=order.start_by_ms,
            is_backfill=order.is_backfill,
        )
        if job.state.is_final and job.state is not JobState.completed:
            # The end of the job was written, and maybe not this stop.
            self.order_stop(task, job.state.value, ordered_ms)

    def mark_lost(self, minion_id: str, reason: str) -> None:
        """Record all runs of an incarnation as lost.

        The runs must have ended for certain, since their tasks may start again
        at once.
        """
        for name in self._orders.tasks_of(minion_id):
            self._orders.remove((minion_id, name))
            found = self._jobs.find(name)
            if found is None:
                continue
            job, step, task = found
            if task.active is not None and task.active.minion_id == minion_id:
                active = task.active
                job.apply_end(step, task, EndKind.lapsed, '')
                self._jobs.mark_changed(job)
                self._record_lost_run(name, active, reason)

    def _record_lost_run(
        self, task: str, active: ActiveRun, reason: str
    ) -> None:
        self._lost_runs += 1
        age_ms = None
        if active.is_reported:
            age_ms = max(0, self._applied_ms - active.progress_read_ms)
        # A run that was nearly complete in an old report may have ended.
        self._decision_log.record(
            'run_lost',
            task=task,
            run=active.run,
            minion=active.minion_id,
            reason=reason,
            percent=active.percent,
            progress_age_ms=age_ms,
        )

    def order_stop(
        self, task: Task, reason: str, now_ms: int, **inputs: object
    ) -> None:
        """Order the active run of a task to stop.

        Parameters
        ----------
        now_ms : int
            Store time of the decision.
        **inputs
            Values that led to the decision, for the decision log.
        """
        active = task.active
        if active is None or active.is_stopping:
            return
        name = str(task.task_id)
        if self._orders.stop((active.minion_id, name), active.run):
            active.is_stopping = True
            active.stop_ordered_ms = now_ms
            self._decision_log.record(
                'stop_ordered',
                task=name,
                run=active.run,
                reason=reason,
                **inputs,
            )

    def _record_start(self, job: Job, task: str, run: int) -> None:
        """Record that a report shows a run, whether it is still ordered or not.

        An order is no start: a job whose orders expire, are rejected or are
        lost with their worker has not started.
        """
        if job.record_start():
            self._jobs.mark_changed(job)
            self._decision_log.record(
                'job_started', job=job.job_id, task=task, run=run
            )

    def _apply_end(
        self, minion_id: str, end: RunEnd, now_ms: int, reported_ms: int
    ) -> None:
        found = self._jobs.find(end.task)
        if found is not None:
            self._record_start(found[0], end.task, end.run)
        key = (minion_id, end.task)
        if self._orders.find(key, end.run) is None:
            return
        self._orders.remove(key)
        self._room_refusals.clear(minion_id)
        if found is None:
            return
        job, step, task = found
        if task.active is None or task.active.run != end.run:
            return
        was_done = task.is_done
        task.failed_starts = 0
        ordered_ms = task.active.ordered_ms
        self._start_failures.record_start(minion_id, ordered_ms)
        job.apply_end(step, task, end.kind, end.checkpoint)
        self._jobs.mark_changed(job)
        self._decision_log.record(
            'end_recorded',
            task=end.task,
            run=end.run,
            kind=end.kind.value,
            minion=minion_id,
            report_age_ms=now_ms - reported_ms,
        )
        if end.kind is EndKind.done:
            self._record_run_success(minion_id, ordered_ms, now_ms)
        elif end.kind is EndKind.failed and not was_done:
            self.record_run_failure(task, minion_id, ordered_ms, now_ms)

    def _record_run_success(
        self, minion_id: str, ordered_ms: int, now_ms: int
    ) -> None:
        cleared = self._worker_health.record_success(minion_id, ordered_ms)
        if cleared:
            self._decision_log.record(
                'worker_failures_cleared',
                minion=minion_id,
                failed_jobs=cleared,
                run_age_ms=now_ms - ordered_ms,
            )

    def record_run_failure(
        self, task: Task, minion_id: str, ordered_ms: int, now_ms: int
    ) -> None:
        """Record a failed or stalled run of a task on a worker.

        Further runs of the task avoid the worker for some time.

        Parameters
        ----------
        ordered_ms : int
            Store time at which the run was ordered.
        """
        task.record_failure(minion_id, now_ms)
        if self._worker_health.record_failure(
            minion_id, task.task_id.job_id, ordered_ms, now_ms
        ):
            self._decision_log.record(
                'worker_excluded',
                minion=minion_id,
                failed_jobs=self._worker_health.failed_job_count(
                    minion_id, now_ms
                ),
            )

    def _apply_rejection(
        self, minion_id: str, rejection: Rejection, now_ms: int
    ) -> None:
        key = (minion_id, rejection.task)
        order = self._orders.find(key, rejection.run)
        if order is None:
            return
        self._orders.remove(key)
        if rejection.reason == NO_ROOM:
            self._room_refusals.record(minion_id, order.resources, now_ms)
        is_fault = rejection.reason not in _REASONS_WITHOUT_FAULT
        if is_fault:
            self._start_failures.record(minion_id, now_ms)
        found = self._jobs.find(rejection.task)
        if found is None:
            return
        job, _, task = found
        if rejection.reason == MISSING:
            self._record_start(job, rejection.task, rejection.run)
        if task.active is not None and task.active.run == rejection.run:
            task.active = None
            task.failed_starts += is_fault
            self._jobs.mark_changed(job)
        self._decision_log.record(
            'start_not_run',
            task=rejection.task,
            run=rejection.run,
            reason=rejection.reason,
            minion=minion_id,
        )

    def _apply_running(
        self, minion_id: str, running: RunningTask, read_ms: int
    ) -> None:
        found = self._jobs.find(running.task)
        if found is None:
            return
        job, step, task = found
        self._record_start(job, running.task, running.run)
        active = task.active
        if active is None or not active.matches(minion_id, running.run):
            return
        if not active.is_reported:
            task.failed_starts = 0
            self._orders.confirm((minion_id, running.task))
            self._start_failures.record_start(minion_id, active.ordered_ms)
        if running.percent != active.percent or not active.is_reported:
            active.percent = running.percent
            active.progress_changed_ms = read_ms
            active.is_reported = True
            if running.percent and not active.first_percent:
                active.first_percent = running.percent
                active.first_percent_ms = read_ms
        active.progress_read_ms = read_ms
        task.pace.add(read_ms, running.percent)
        if step.spec.has_checkpoints and running.checkpoint:
            job.save_checkpoint(step, task, running.checkpoint)
