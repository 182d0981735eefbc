"""Quarantine of workers on which jobs fail, and failure of jobs.

A worker is quarantined once enough distinct jobs have failed on it. A job fails
for good once it has failed on enough distinct workers, or too often.
"""

from dataclasses import replace
from datetime import timedelta

from dragonflynotch.core.actions import QuarantineWorker, ReadmitWorker
from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import WORKER_RESTARTED
from dragonflynotch.core.feasibility import find_obstacle
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang, GangPhase, MemberPhase, Outcome
from dragonflynotch.core.jobs import Job, JobSpec
from dragonflynotch.core.quarantine import FailureCause, FailureHistory
from dragonflynotch.core.state import PartitionState

__all__ = ('FailureTracker',)

# A member that started less than this long before the restart of its worker
# may have caused it.
_RECENT_START = timedelta(seconds=10)


class FailureTracker:
    """Records failures, quarantines workers and fails jobs.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    fleet : Fleet
        Workers of the partition.
    """

    def __init__(
        self, state: PartitionState, gangs: GangControl, fleet: Fleet
    ) -> None:
        """Start without failures."""
        self._state = state
        self._gangs = gangs
        self._fleet = fleet
        self._failure_history = FailureHistory(
            state.policy.quarantine_min_jobs, state.policy.bad_job_min_workers
        )

    def member_failed(self, gang: Gang, worker_id: str, reason: str) -> None:
        """Stop the gang of a failed member and record the failure.

        A failure while the gang is stopping is a consequence of the stop and
        counts neither against the job nor against the worker.
        """
        detail = f'failed on {worker_id}: {reason}'
        if gang.phase is GangPhase.stopping:
            self._gangs.member_ended(gang, worker_id, detail)
            return
        if reason == WORKER_RESTARTED and not self._has_just_started(gang):
            # The restart ends all members on the worker; those that started
            # last are its likely cause.
            self._gangs.member_ended(gang, worker_id, detail)
            return
        job = self._record_failure(gang, worker_id)
        cause = self._failure_history.record_failure(
            gang.job_id, worker_id, job.failed_workers, self._state.now
        )
        outcome = Outcome.requeue
        if cause is FailureCause.bad_job:
            outcome = Outcome.fail
            detail = (
                f'failed on {len(job.failed_workers)} distinct workers; last '
                f'{detail}'
            )
        elif job.failures >= self._state.policy.max_failures:
            outcome = Outcome.fail
            detail = f'failed {job.failures} times; last {detail}'
        gang.retry_after = self._state.policy.retry_after(job.failures)
        self._gangs.member_ended(gang, worker_id, detail, outcome)
        if cause is FailureCause.bad_worker:
            self._quarantine(worker_id)

    def order_failed(self, gang: Gang, worker_id: str) -> None:
        """Record that a worker did not carry out an order to prepare or start.

        This does not count against the job, because its task did not run.
        """
        self._fleet.start_cooldown(worker_id)
        if worker_id in self._state.inventory:
            cause = self._failure_history.record_failure(
                gang.job_id, worker_id, (), self._state.now
            )
            if cause is FailureCause.bad_worker:
                self._quarantine(worker_id)

    def record_late_orders(self, gang: Gang) -> None:
        """Record the workers that did not confirm an order in time."""
        overdue_phase = MemberPhase.ordered
        if gang.phase is GangPhase.starting:
            overdue_phase = MemberPhase.prepared
        for worker_id, member in gang.members.items():
            if member.phase is overdue_phase:
                self.order_failed(gang, worker_id)

    def gang_ended(self, gang: Gang, _job: Job) -> None:
        """Clear earlier failures on the workers of a gang that completed."""
        if gang.is_complete and gang.started_at is not None:
            for worker_id in gang.members:
                self._failure_history.record_success(worker_id, gang.started_at)

    def readmit(self, worker_id: str) -> None:
        """End the quarantine of a worker, so that it receives work again."""
        worker = self._state.inventory.find(worker_id)
        if worker is not None and worker.is_quarantined:
            self._failure_history.forget_worker(worker_id)
            self._state.emit(ReadmitWorker(worker_id))
            self._fleet.end_quarantine(worker)

    def end_avoidance(self, job_id: str) -> None:
        """Let a job be placed again on the workers on which it failed."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            self._state.set_avoided_workers(job, frozenset())

    def _has_just_started(self, gang: Gang) -> bool:
        return (
            gang.started_at is None
            or self._state.now - gang.started_at < _RECENT_START
        )

    def _record_failure(self, gang: Gang, worker_id: str) -> Job:
        job = self._state.jobs[gang.job_id]
        failed_on = dict.fromkeys((*job.failed_workers, worker_id))
        updated = replace(
            job, failed_workers=tuple(failed_on), failures=job.failures + 1
        )
        self._state.jobs[gang.job_id] = updated
        avoided = frozenset(failed_on)
        if not self._can_avoid(job.spec, avoided):
            avoided = frozenset()
        self._avoid_workers(updated, avoided)
        return updated

    def _avoid_workers(self, job: Job, worker_ids: frozenset[str]) -> None:
        """Avoid workers for some time from the next retry of a job on."""
        self._state.set_avoided_workers(job, worker_ids)
        policy = self._state.policy
        self._state.timers.set(
            Deadline(DeadlineKind.avoidance, job.job_id),
            self._state.now
            + policy.retry_after(job.failures)
            + policy.avoidance_period,
        )

    def _can_avoid(self, spec: JobSpec, avoided: frozenset[str]) -> bool:
        """Return whether a job could run without the workers to avoid.

        A job that cannot be checkpointed may not borrow accelerators, so only
        those outside of guarantees count for it.
        """
        if find_obstacle(spec, self._state, avoided) is not None:
            return False
        if spec.is_checkpointable or not spec.shape.accelerators:
            return True
        not_guaranteed = CapacityMap()
        for worker in self._state.inventory:
            worker_id = worker.worker.worker_id
            if worker_id not in avoided:
                usable = worker.worker.accelerators - worker.guaranteed
                not_guaranteed.set(worker.rack, worker_id, max(0, usable))
        return bool(
            self._state.placer.place(spec.shape, not_guaranteed, _unlimited)
        )

    def _clear_failures_on(self, job_id: str, worker_id: str) -> None:
        """Remove the failure on a bad worker from the record of a job."""
        job = self._state.jobs.get(job_id)
        if job is not None:
            others = tuple(
                name for name in job.failed_workers if name != worker_id
            )
            cleared = replace(job, failed_workers=others, failures=len(others))
            self._state.jobs[job_id] = cleared
            avoided = self._state.avoided_workers.get(job_id, frozenset())
            self._state.set_avoided_workers(cleared, avoided - {worker_id})

    def _quarantine(self, worker_id: str) -> None:
        """Quarantine a worker, unless too many are in quarantine already.

        Its failures no longer count against the jobs, even if the cap prevents
        the quarantine.
        """
        worker = self._state.inventory.find(worker_id)
        if worker is None or worker.is_quarantined:
            return
        for job_id in self._failure_history.failed_jobs_on(worker_id):
            self._clear_failures_on(job_id, worker_id)
        quarantined = sum(
            state.is_quarantined for state in self._state.inventory
        )
        cap = self._state.policy.max_quarantined_fraction * len(
            self._state.inventory
        )
        if quarantined + 1 > cap:
            return
        self._state.emit(
            QuarantineWorker(
                worker_id,
                f'{self._state.policy.quarantine_min_jobs} distinct jobs '
                f'failed on it',
            )
        )
        self._state.timers.set(
            Deadline(DeadlineKind.readmission, worker_id),
            self._state.now + self._state.policy.quarantine_period,
        )
        self._fleet.quarantine(worker)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
