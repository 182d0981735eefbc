"""Urgency of steps in one round, with what depends on all jobs."""

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.ordering.blocking_repeats import BlockingRepeats
from dragonflynotch.workflows.ordering.overdue import find_overdue_jobs
from dragonflynotch.workflows.ordering.ranking import Urgency, compute_urgency
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.progress import Job, Step

__all__ = ('StepRanking',)


class StepRanking:
    """Computes the urgency of steps at the time of a round.

    Parameters
    ----------
    pool : WorkerPool
        Workers of the round.
    repeats : BlockingRepeats
        Steps whose repeats of lost runs come first.
    mechanisms : Mechanisms
        Parts of the policy to use.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        pool: WorkerPool,
        repeats: BlockingRepeats,
        mechanisms: Mechanisms,
    ) -> None:
        """Find the overdue jobs and the demand of the urgent queues."""
        self._jobs = jobs
        self._now_ms = pool.now_ms
        self._repeats = repeats
        self._mechanisms = mechanisms
        self._urgent_demand = jobs.urgent_accelerator_demand()
        self._overdue_jobs: set[str] = set()
        if mechanisms.prefers_overdue:
            self._overdue_jobs = find_overdue_jobs(jobs, pool)

    def urgency(self, job: Job, step: Step) -> Urgency:
        """Return the urgency of a step, whether it waits or runs."""
        return compute_urgency(
            job,
            step,
            self._now_ms,
            is_guaranteed=self._is_guaranteed(job),
            is_overdue=job.job_id in self._overdue_jobs,
            is_blocking_repeat=step.step_id in self._repeats,
            by_work_left=self._mechanisms.orders_by_work_left,
        )

    def _is_guaranteed(self, job: Job) -> bool:
        """Return whether the guarantee of its workspace covers the job.

        It covers the jobs of the most urgent queues while these together need
        no more accelerators than are guaranteed.
        """
        name = job.spec.workspace
        workspace = self._jobs.deployment.workspaces.get(name)
        return (
            workspace is not None
            and job.policy.priority == 0
            and self._urgent_demand[name] <= workspace.guaranteed_accelerators
        )
