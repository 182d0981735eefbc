"""Registry of jobs and of their changes since the last write."""

from collections import Counter
from itertools import chain

from dragonflynotch.workflows.deployment import Deployment
from dragonflynotch.workflows.early_cancellations import (
    EarlyCancellation,
    EarlyCancellations,
)
from dragonflynotch.workflows.jobs import JobSpec, parse_task_id
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.records import JobState, ProgressRow
from dragonflynotch.workflows.tasks import Task

__all__ = ('FoundTask', 'JobRegistry')

FoundTask = tuple[Job, Step, Task]


class JobRegistry:
    """Jobs by identifier, with the configuration that applies to them."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._deployment = Deployment(0)
        # By the name of the queue.
        self._policies: dict[str, QueuePolicy] = {}
        self._jobs: dict[str, Job] = {}
        self._open: dict[str, Job] = {}
        # Open jobs about which nothing more is decided.
        self._set_aside: dict[str, Job] = {}
        self._cancelled: set[str] = set()
        self._early_cancellations = EarlyCancellations()
        self._changed: set[str] = set()
        # Rows of jobs that are no longer in ``_changed``.
        self._changed_rows: dict[str, ProgressRow] = {}

    @property
    def deployment(self) -> Deployment:
        """Configuration in force."""
        return self._deployment

    def apply_deployment(self, deployment: Deployment) -> int:
        """Use this version of the configuration from now on.

        Jobs whose queue it lacks keep what the queue has set for them.

        Returns
        -------
        int
            Number of open jobs for which the values of their queue changed.
        """
        if deployment is self._deployment:
            return 0
        self._deployment = deployment
        self._policies = {
            name: queue.policy(deployment.version)
            for name, queue in deployment.queues.items()
        }
        return sum(self._update_policy(job) for job in self._open.values())

    def missing_queues(self) -> list[str]:
        """Return the queues of open jobs that the configuration lacks."""
        used = {job.spec.queue for job in self._open.values()}
        return sorted(used - self._policies.keys())

    def _update_policy(self, job: Job) -> bool:
        policy = self._policies.get(job.spec.queue)
        if policy is None or not job.apply_policy(policy):
            return False
        # A holder that takes over may find a configuration without the queue.
        self.mark_changed(job)
        return True

    def put(self, job_id: str, spec: JobSpec) -> None:
        """Add an accepted job."""
        if job_id not in self._jobs:
            job = Job(job_id, spec)
            self._update_policy(job)
            self._jobs[job_id] = job
            self._open[job_id] = job
            if self._early_cancellations.apply_to(job_id, spec):
                self.cancel(job_id)

    def restore(self, job_id: str, row: ProgressRow, start: int = 0) -> None:
        """Restore a row of the stored progress, see ``Job.restore``."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.restore(row, start)
        if job.state.is_final:
            self._open.pop(job_id, None)
        elif not start:
            self._update_policy(job)

    def get(self, job_id: str) -> Job | None:
        """Return a job, or ``None`` if it is not known."""
        return self._jobs.get(job_id)

    def cancel(self, job_id: str) -> bool:
        """Mark a job as cancelled.

        A job that is not known yet is marked too, since a cancellation can
        arrive before the job.

        Returns
        -------
        bool
            Whether the job is open and was not cancelled before.
        """
        is_new = job_id not in self._cancelled
        self._cancelled.add(job_id)
        job = self._jobs.get(job_id)
        if job is not None and not job.state.is_final:
            self._set_aside.pop(job_id, None)
            self._open[job_id] = job
        return is_new and job_id in self._open

    def cancel_early(self, cancellation: EarlyCancellation) -> bool:
        """Cancel a job that may arrive later, if its caller may do so.

        Returns
        -------
        bool
            Whether the job is there, is open and was not cancelled before.
        """
        self._early_cancellations.add(cancellation)
        job = self._jobs.get(cancellation.job_id)
        if job is None or not cancellation.applies_to(job.spec):
            return False
        return self.cancel(job.job_id)

    def take_expired_cancellations(
        self, now_ms: int, retention_ms: int
    ) -> list[EarlyCancellation]:
        """Return the early cancellations whose rows are to be deleted."""
        return self._early_cancellations.take_expired(
            now_ms, retention_ms, self._jobs
        )

    def is_cancelled(self, job: Job) -> bool:
        """Return whether a caller cancelled the job."""
        return job.job_id in self._cancelled

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have not ended."""
        return list(self._open.values())

    def has_suspects(self) -> bool:
        """Return whether any task of an open job may have crashed a minion."""
        return any(job.has_suspects for job in self._open.values())

    def count_suspects(self) -> int:
        """Return how many tasks of open jobs may have crashed a minion."""
        return sum(
            bool(task.crashes)
            for job in self._open.values()
            if job.has_suspects
            for task in job.tasks()
        )

    def find(self, name: str) -> FoundTask | None:
        """Return the task with this identifier, with its job and step."""
        task_id = parse_task_id(name)
        if task_id is None:
            return None
        job = self._jobs.get(task_id.job_id)
        found = None if job is None else job.find(task_id)
        if job is None or found is None:
            return None
        return (job, *found)

    def mark_changed(self, job: Job) -> None:
        """Mark the progress of the job to be written."""
        self._changed.add(job.job_id)

    def set_aside(self, job: Job, reason: str) -> bool:
        """Decide nothing more about an open job; its callers are told why.

        Returns
        -------
        bool
            Whether the job was open.
        """
        was_open = self._open.pop(job.job_id, None) is not None
        job.reason = reason
        self._changed.discard(job.job_id)
        if was_open:
            self._set_aside[job.job_id] = job
            self.mark_changed(job)
        return was_open

    def end(
        self, job: Job, state: JobState, now_ms: int, reason: str = ''
    ) -> None:
        """Record the end of a job, with the reason if it failed."""
        self._open.pop(job.job_id, None)
        self._set_aside.pop(job.job_id, None)
        job.end(state, now_ms, reason)
        self.mark_changed(job)

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue.

        Jobs that are set aside are counted, and jobs with repetitions are not.
        """
        return dict(
            Counter(
                job.spec.queue
                for job in chain(self._open.values(), self._set_aside.values())
                if not job.has_started and not job.spec.repetitions
            )
        )

    def urgent_accelerator_demand(self) -> Counter[str]:
        """Return the accelerators that urgent open jobs need, by workspace.

        Each job counts with the step that needs most.
        """
        demand: Counter[str] = Counter()
        for job in self._open.values():
            if job.policy.priority == 0:
                demand[job.spec.workspace] += max(
                    step.accelerators * step.count for step in job.spec.steps
                )
        return demand

    def remove_expired(self, before_ms: int) -> dict[str, list[str]]:
        """Remove jobs that ended before a time.

        Jobs with active runs are kept.

        Returns
        -------
        dict of str to list of str
            Keys of the rows of their progress, by job.
        """
        expired = [
            job_id
            for job_id, job in self._jobs.items()
            if job.state.is_final
            and job.ended_ms < before_ms
            and not any(task.active for task in job.tasks())
        ]
        keys = {job_id: self._jobs[job_id].progress_keys for job_id in expired}
        for job_id in expired:
            del self._jobs[job_id]
            self._cancelled.discard(job_id)
        return keys

    def take_changes(self, max_row_bytes: int) -> dict[str, ProgressRow]:
        """Return the rows of progress that changed since the last call.

        Parameters
        ----------
        max_row_bytes : int
            Longest row that the store accepts.
        """
        for job_id in list(self._changed):
            job = self._jobs.get(job_id)
            if job is not None:
                self._changed_rows.update(job.take_progress(max_row_bytes))
            self._changed.discard(job_id)
        rows = self._changed_rows
        self._changed_rows = {}
        return rows
