"""Choice of the job that has waited too long and comes before other work.

A job that is too late to be useful ranks behind all other work, so it would
never finish while new work keeps coming. Once it has waited for several times
its objective, it is overdue. One overdue job at a time comes before other work,
until it has ended, which bounds what this costs the other jobs. Beside a job
that may only use some of the workers, another one comes first on the others.
"""

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.ordering.ranking import compute_objective_ms
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.progress import Job

__all__ = ('find_overdue_jobs',)

_MAX_WAIT_OBJECTIVE_MULTIPLE = 6
# The objective of a short job depends on an estimate that can be far too low.
_MIN_OVERDUE_WAIT_MS = 10_000


def find_overdue_jobs(jobs: JobRegistry, pool: WorkerPool) -> set[str]:
    """Return the overdue jobs that come before other work.

    The one that was accepted first and, while that may only use some of the
    workers, also the first one that may use another worker, and so on. Jobs
    that fit nowhere are left out, and those that do not end: jobs with
    repetitions or long-running tasks.
    """
    overdue = [job for job in jobs.open_jobs() if _is_overdue(pool, job)]
    overdue.sort(key=lambda job: job.spec.accepted_ms)
    chosen: set[str] = set()
    taken: set[str] = set()
    for job in overdue:
        usable = _usable_minions(pool, job)
        if not usable <= taken:
            chosen.add(job.job_id)
            taken |= usable
    return chosen


def _usable_minions(pool: WorkerPool, job: Job) -> set[str]:
    """Return the minions that may run the next steps of a job."""
    service = job.policy.service
    return {
        worker.minion_id
        for step in job.steps
        if not step.is_done and job.is_unblocked(step)
        for worker in pool.eligible_workers(
            Demand(step, service, expected_ms=0, may_leave_data_rack=True)
        )
    }


def _is_overdue(pool: WorkerPool, job: Job) -> bool:
    if job.spec.repetitions or any(
        step.spec.is_long_running for step in job.steps
    ):
        return False
    max_wait_ms = max(
        _MIN_OVERDUE_WAIT_MS,
        _MAX_WAIT_OBJECTIVE_MULTIPLE * compute_objective_ms(job),
    )
    if pool.now_ms - job.spec.accepted_ms <= max_wait_ms:
        return False
    service = job.policy.service
    return all(
        step.is_done or pool.could_run(step, service, frozenset())
        for step in job.steps
    )
