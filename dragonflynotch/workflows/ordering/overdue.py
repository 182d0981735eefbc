"""Choice of the job that has waited too long and comes before other work.

A job that is too late to be useful ranks behind all other work, so it would
never finish while new work keeps coming. Once it has waited for several times
its objective, it is overdue. One overdue job at a time comes before other work,
until it has ended, which bounds what this costs the other jobs.
"""

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.ordering.ranking import compute_objective_ms
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.progress import Job

__all__ = ('longest_overdue_job',)

_MAX_WAIT_OBJECTIVE_MULTIPLE = 6
# The objective of a short job depends on an estimate that can be far too low.
_MIN_OVERDUE_WAIT_MS = 10_000


def longest_overdue_job(jobs: JobRegistry, pool: WorkerPool) -> Job | None:
    """Return the overdue job that was accepted first, or ``None``.

    Jobs that fit nowhere are left out, and those that do not end: jobs with
    repetitions or long-running tasks.
    """
    overdue = [job for job in jobs.open_jobs() if _is_overdue(jobs, pool, job)]
    return min(overdue, key=lambda job: job.spec.accepted_ms, default=None)


def _is_overdue(jobs: JobRegistry, pool: WorkerPool, job: Job) -> bool:
    if job.spec.repetitions or any(
        step.spec.is_long_running for step in job.steps
    ):
        return False
    max_wait_ms = max(
        _MIN_OVERDUE_WAIT_MS,
        _MAX_WAIT_OBJECTIVE_MULTIPLE
        * compute_objective_ms(job, jobs.queue(job)),
    )
    if pool.now_ms - job.spec.accepted_ms <= max_wait_ms:
        return False
    service = jobs.service(job)
    return all(
        step.is_done or pool.could_run(step, service, frozenset())
        for step in job.steps
    )
