"""Detection of bad workers and bad jobs from failures."""

from datetime import datetime
from enum import Enum

__all__ = ('FailureHistory', 'FailureCause')


class FailureCause(Enum):
    """Presumed cause of a failure."""

    none = 'none'
    bad_worker = 'bad_worker'
    bad_job = 'bad_job'


class FailureHistory:
    """Records which jobs failed on which workers.

    A worker counts as bad once enough distinct jobs have failed on it. A job
    that has failed on enough distinct workers counts as bad itself, and its
    failures are no longer counted for any worker.

    Parameters
    ----------
    jobs_needed : int
        Number of distinct failed jobs at which a worker counts as bad.
    workers_needed : int
        Number of distinct workers at which a failing job counts as bad.
    """

    def __init__(self, jobs_needed: int, workers_needed: int) -> None:
        """Create an empty record."""
        self._jobs_needed = jobs_needed
        self._workers_needed = workers_needed
        # Time of the last failure, by worker and job.
        self._failed_jobs: dict[str, dict[str, datetime]] = {}

    def record_failure(
        self,
        job_id: str,
        worker_id: str,
        failed_workers: tuple[str, ...],
        now: datetime,
    ) -> FailureCause:
        """Record a failure and return its presumed cause.

        Parameters
        ----------
        job_id : str
            Job whose member failed.
        worker_id : str
            Worker on which the member failed.
        failed_workers : tuple of str
            All distinct workers on which the job failed, this one included.
        now : datetime
            Time of the failure.
        """
        if len(failed_workers) >= self._workers_needed:
            self._drop_failures(job_id, failed_workers)
            return FailureCause.bad_job
        jobs = self._failed_jobs.setdefault(worker_id, {})
        jobs[job_id] = now
        if len(jobs) >= self._jobs_needed:
            return FailureCause.bad_worker
        return FailureCause.none

    def failed_jobs_on(self, worker_id: str) -> tuple[str, ...]:
        """Return the jobs whose failures are counted for a worker."""
        return tuple(self._failed_jobs.get(worker_id, ()))

    def record_success(self, worker_id: str, started_at: datetime) -> None:
        """Drop the failures on a worker from before a run that succeeded.

        Later failures remain: a worker that became faulty may still complete
        the runs that it started before.
        """
        remaining = {
            job_id: failed_at
            for job_id, failed_at in self._failed_jobs.get(
                worker_id, {}
            ).items()
            if failed_at > started_at
        }
        if remaining:
            self._failed_jobs[worker_id] = remaining
        else:
            self.forget_worker(worker_id)

    def forget_worker(self, worker_id: str) -> None:
        """Drop all failures on a worker."""
        self._failed_jobs.pop(worker_id, None)

    def _drop_failures(self, job_id: str, worker_ids: tuple[str, ...]) -> None:
        """Stop counting the failures of a job on the given workers."""
        for worker_id in worker_ids:
            jobs = self._failed_jobs.get(worker_id, {})
            jobs.pop(job_id, None)
            if not jobs:
                self._failed_jobs.pop(worker_id, None)
