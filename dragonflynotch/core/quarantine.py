"""Evidence against workers and against jobs."""

from enum import Enum

__all__ = ('Evidence', 'Verdict')


class Verdict(Enum):
    """What a failure shows."""

    none = 'none'
    bad_worker = 'bad_worker'
    bad_job = 'bad_job'


class Evidence:
    """Failures of distinct jobs on workers.

    A worker is suspected once enough distinct jobs have failed on it. A job
    that has failed on many distinct workers is a bad job; its failures no
    longer count against any worker.

    Parameters
    ----------
    jobs_needed : int
        Distinct jobs that make a worker suspect.
    workers_needed : int
        Distinct workers that make a job a bad job.
    """

    def __init__(self, jobs_needed: int, workers_needed: int) -> None:
        """Start without evidence."""
        self._jobs_needed = jobs_needed
        self._workers_needed = workers_needed
        self._failed_on: dict[str, dict[str, None]] = {}

    def failed(
        self, job_id: str, worker_id: str, failed_workers: tuple[str, ...]
    ) -> Verdict:
        """Note a failure.

        Parameters
        ----------
        job_id : str
            Job that failed.
        worker_id : str
            Worker on which its member failed.
        failed_workers : tuple of str
            All distinct workers on which the job failed, this one included.
        """
        if len(failed_workers) >= self._workers_needed:
            self.acquit(job_id, failed_workers)
            return Verdict.bad_job
        jobs = self._failed_on.setdefault(worker_id, {})
        jobs[job_id] = None
        if len(jobs) >= self._jobs_needed:
            return Verdict.bad_worker
        return Verdict.none

    def jobs_against(self, worker_id: str) -> tuple[str, ...]:
        """Return the jobs whose failures speak against a worker."""
        return tuple(self._failed_on.get(worker_id, ()))

    def succeeded(self, worker_id: str) -> None:
        """Drop the evidence against a worker that finished a member."""
        self._failed_on.pop(worker_id, None)

    def acquit(self, job_id: str, worker_ids: tuple[str, ...]) -> None:
        """Drop the evidence that a job gave against workers."""
        for worker_id in worker_ids:
            jobs = self._failed_on.get(worker_id, {})
            jobs.pop(job_id, None)
            if not jobs:
                self._failed_on.pop(worker_id, None)
