"""Choice of the job that has waited too long and comes before other work.

A job that is too late to be useful ranks behind all other work, so it would
never finish while new work keeps coming. Once it has waited for several times
its objective, it is overdue. One overdue job at a time comes before other work,
until it has ended, which bounds what this costs the other jobs.

After a flood by one workspace, many of its jobs are overdue and were accepted
before those of the others. The workspaces therefore take turns: between two
jobs of one workspace there is one of each other workspace that has an overdue
job. With W such workspaces, the longest overdue job of each waits for at most
W - 1 others, however many are overdue, and the n-th of one for n x W - 1.
"""

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.ordering.ranking import compute_objective_ms
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.progress import Job

__all__ = ('OverdueTurns',)

_MAX_WAIT_OBJECTIVE_MULTIPLE = 6
# The objective of a short job depends on an estimate that can be far too low.
_MIN_OVERDUE_WAIT_MS = 10_000


class OverdueTurns:
    """Chooses the overdue job that comes before other work.

    The turns begin anew with each leader.
    """

    def __init__(self) -> None:
        """Create turns of which none has been taken."""
        self._job_id = ''
        # Number of the last turn of each workspace.
        self._last_turns: dict[str, int] = {}
        self._turn = 0

    def choose(self, jobs: JobRegistry, pool: WorkerPool) -> Job | None:
        """Return the overdue job whose turn it is, or ``None``.

        A job keeps its turn while it is overdue and open. The next turn goes to
        the workspace that has waited longest for one, and there to the job that
        was accepted first. Jobs that fit nowhere are left out, and those that
        do not end: jobs with repetitions or long-running tasks.
        """
        overdue = [
            job for job in jobs.open_jobs() if _is_overdue(jobs, pool, job)
        ]
        for job in overdue:
            if job.job_id == self._job_id:
                return job
        chosen = min(overdue, key=self._rank, default=None)
        if chosen is None:
            self._job_id = ''
            self._last_turns.clear()
            return None
        self._turn += 1
        self._job_id = chosen.job_id
        self._last_turns[chosen.spec.workspace] = self._turn
        return chosen

    def _rank(self, job: Job) -> tuple[int, int]:
        return (
            self._last_turns.get(job.spec.workspace, 0),
            job.spec.accepted_ms,
        )


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
