"""Ends jobs of which the store refuses a row for good."""

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import JobState
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.run_tracker import RunTracker
from dragonflynotch.workflows.tasks import Task

__all__ = ('UnstorableJobs',)


class UnstorableJobs:
    """Fails jobs that cannot go on, so that all others can.

    The failed state is stored without the progress of the tasks. The next
    holder of the lease therefore does not try to store it again.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
    ) -> None:
        """Create the handler; no job has been ended."""
        self._jobs = jobs
        self._orders = orders
        self._tracker = tracker
        self._decision_log = decision_log
        self._failed_jobs = 0

    @property
    def failed_jobs(self) -> int:
        """Number of jobs that were ended."""
        return self._failed_jobs

    def fail(self, job_id: str, row: str, now_ms: int) -> None:
        """End a job; its runs at work are stopped.

        Parameters
        ----------
        row : str
            Key of the row that was refused.
        """
        job = self._jobs.get(job_id)
        if job is None or job.is_unstorable:
            # The row of its final state is refused too.
            return
        self._failed_jobs += 1
        job.is_unstorable = True
        reason = f'row {row} of the job cannot be stored'
        self._decision_log.record('job_unstorable', job=job_id, reason=reason)
        self._end_runs(job, now_ms)
        if job.state.is_final:
            self._jobs.mark_changed(job)
        else:
            self._jobs.end(job, JobState.failed, now_ms, reason)

    def _end_runs(self, job: Job, now_ms: int) -> None:
        for task in job.tasks():
            if task.active is None:
                continue
            if task.active.is_reported:
                self._tracker.order_stop(task, 'unstorable', now_ms)
            else:
                self._remove_order(task)

    def _remove_order(self, task: Task) -> None:
        """Remove an order of which no report shows that it was written.

        The guard stops a run whose order is gone.
        """
        if task.active is not None:
            self._orders.remove((task.active.minion_id, str(task.task_id)))
            task.active = None
