"""Submission and cancellation of jobs."""

from dataclasses import replace

from dragonflynotch.core.actions import (
    Accepted,
    AnswerSubmission,
    NeverRunnable,
    NotOwner,
)
from dragonflynotch.core.claims import Claims
from dragonflynotch.core.feasibility import find_obstacle
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Outcome
from dragonflynotch.core.guarantee_registry import GuaranteeRegistry
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.lending import find_lending_obstacle
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('Submissions',)

_CANCELLED_DETAIL = 'cancelled on request'


class Submissions:
    """Accepts, refuses and cancels jobs.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Stops the gangs of cancelled jobs.
    claims : Claims
        Accelerators being freed for waiting jobs.
    guarantees : GuaranteeRegistry
        Guarantees of the data centre.
    run_times : RunTimes
        Estimates of run times from earlier runs.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        claims: Claims,
        guarantees: GuaranteeRegistry,
        run_times: RunTimes,
    ) -> None:
        """Keep references to the components."""
        self._state = state
        self._gangs = gangs
        self._claims = claims
        self._guarantees = guarantees
        self._run_times = run_times

    def submit(self, job: Job) -> None:
        """Answer a submission; a repeated one adds no second job."""
        self._state.emit(
            AnswerSubmission(job.job_id, self._accept_or_refuse(job))
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job, after its gang has stopped if it has one."""
        job = self._state.jobs.get(job_id)
        if job is None or not self._state.is_owner:
            return
        gang = self._state.gangs.get(job_id)
        if gang is not None:
            self._state.jobs[job_id] = replace(job, is_cancel_requested=True)
            self._gangs.stop(gang, Outcome.cancel, _CANCELLED_DETAIL)
            return
        self._state.deferred_jobs.pop(job_id, None)
        self._claims.drop(job_id)
        self._state.queue.remove(job)
        self._state.update_job(
            job_id,
            state=JobState.cancelled,
            ended_at=self._state.now,
            detail=_CANCELLED_DETAIL,
        )

    def _accept_or_refuse(
        self, job: Job
    ) -> Accepted | NeverRunnable | NotOwner:
        if not self._state.is_owner:
            return NotOwner()
        if job.job_id in self._state.jobs:
            return Accepted()
        obstacle = find_obstacle(
            job.spec, self._state
        ) or find_lending_obstacle(
            job.spec, self._state, self._guarantees, self._run_times
        )
        if obstacle is not None:
            return NeverRunnable(obstacle)
        waiting = replace(job, state=JobState.waiting)
        self._state.enqueue(self._state.save_job(waiting))
        return Accepted()
