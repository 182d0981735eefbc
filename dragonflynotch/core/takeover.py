"""Recovery of a partition's state from job records and guard reports."""

from dataclasses import replace

from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import (
    MemberReport,
    MemberState,
    OwnershipGained,
    WorkerReported,
)
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import (
    Gang,
    GangMember,
    GangPhase,
    MemberPhase,
    Outcome,
)
from dragonflynotch.core.inventory import Allocation, AllocationKind, Demand
from dragonflynotch.core.jobs import Job, JobState, Member
from dragonflynotch.core.orphaned_members import OrphanedMembers
from dragonflynotch.core.state import PartitionState

__all__ = ('Takeover',)

_FIRST_FENCE = 1
_MILLICORES_PER_CORE = 1000
_CONFIRMED_PHASES = (
    MemberPhase.prepared,
    MemberPhase.running,
    MemberPhase.finished,
)


class Takeover:
    """Recovers the state after a change of the owner.

    The job records of the earlier owner may be out of date, so a worker is
    used only after its guard has reported under the new fence. Inherited jobs
    that wait are queued only after one task lease, and once every known
    worker has reported or was removed and no unexpected member is left.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the protocol that prepares, starts and stops gangs.
    orphaned_members : OrphanedMembers
        Members at the guards that belong to no current attempt.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        orphaned_members: OrphanedMembers,
    ) -> None:
        """Start without a takeover in progress."""
        self._state = state
        self._gangs = gangs
        self._orphaned_members = orphaned_members
        self._is_lease_expired = True
        self._unverified: dict[str, None] = {}

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of earlier owners are known or have ended."""
        return (
            self._is_lease_expired
            and not self._unverified
            and not self._orphaned_members
        )

    def begin(self, event: OwnershipGained) -> None:
        """Rebuild the state from the job records.

        There is no earlier owner under the first fence, so workers need not
        report before they are used.
        """
        state = self._state
        state.reset()
        self._orphaned_members.clear()
        state.is_owner = True
        state.fence = event.fence
        self._is_lease_expired = event.fence <= _FIRST_FENCE
        self._unverified.clear()
        if not self._is_lease_expired:
            self._require_reports()
        for job in event.jobs:
            self._restore_job(job)

    def needs_verification(self, worker_id: str) -> bool:
        """Track a worker that joins; True if it must report before its use.

        A worker that has reported under this ownership and joins again, for
        example after it was silent, need not report a second time.
        """
        known = self._state.inventory.find(worker_id)
        if known is not None:
            return not known.is_verified
        if self._is_lease_expired:
            return False
        self._unverified[worker_id] = None
        return True

    def stop_waiting_for(self, worker_id: str) -> None:
        """Stop waiting for a worker whose task lease has expired."""
        self._unverified.pop(worker_id, None)
        if worker_id not in self._state.inventory:
            self._orphaned_members.remove_worker(worker_id)

    def handle_lease_expiry(self) -> None:
        """Release the members on workers that have not joined in time."""
        self._is_lease_expired = True
        for gang in tuple(self._state.gangs.values()):
            for worker_id in tuple(gang.holding_workers):
                if worker_id not in self._state.inventory:
                    self._gangs.stop(
                        gang,
                        Outcome.requeue,
                        f'worker {worker_id} did not join within the task '
                        'lease after the takeover',
                    )
                    self._gangs.release_expired_member(gang, worker_id)

    def verify(self, report: WorkerReported) -> bool:
        """Apply the first report of a guard; False if it was not the first."""
        if report.worker_id not in self._unverified:
            return False
        self._unverified.pop(report.worker_id)
        reported = {
            (member.job_id, member.attempt): member for member in report.members
        }
        for gang in self._state.gangs_on(report.worker_id):
            member = reported.get((gang.job_id, gang.attempt))
            self._confirm(gang, report.worker_id, member)
        self._state.resolve_conflicts(report.worker_id)
        self._record_attempts(report)
        worker = self._state.inventory.find(report.worker_id)
        if worker is not None:
            worker.is_verified = True
            self._state.inventory.refresh(worker)
            self._state.capacity_changed()
        return True

    def enqueue_deferred_jobs(self) -> None:
        """Queue the deferred jobs once the takeover is complete."""
        state = self._state
        if not state.inherited_jobs or not self.is_complete:
            return
        deferred_jobs = tuple(state.deferred_jobs)
        state.inherited_jobs.clear()
        state.deferred_jobs.clear()
        for job_id in deferred_jobs:
            job = state.jobs[job_id]
            highest = max(job.attempt, state.highest_attempts.get(job_id, 0))
            state.jobs[job_id] = replace(job, attempt=highest)
            state.enqueue(state.jobs[job_id])
        state.highest_attempts.clear()

    def _require_reports(self) -> None:
        self._state.timers.set(
            Deadline(DeadlineKind.takeover),
            self._state.now + self._state.policy.task_lease,
        )
        for worker in self._state.inventory:
            worker.is_verified = False
            self._unverified[worker.worker.worker_id] = None
            self._state.inventory.refresh(worker)

    def _restore_job(self, job: Job) -> None:
        self._state.jobs[job.job_id] = job
        self._state.inherited_jobs[job.job_id] = None
        if job.state is JobState.waiting or not job.members:
            self._state.enqueue(job)
            return
        gang = _gang_of_record(job)
        self._state.add_gang(gang)
        for worker_id in gang.members:
            if worker_id in self._state.inventory:
                self._state.hold_inherited(gang, worker_id)
        if job.is_cancel_requested:
            self._gangs.stop(gang, Outcome.cancel, job.detail)
        elif job.state is JobState.stopping:
            self._gangs.stop(gang, Outcome.requeue, job.detail)

    def _confirm(
        self, gang: Gang, worker_id: str, report: MemberReport | None
    ) -> None:
        state = report.state if report is not None else MemberState.stopped
        if state in {MemberState.stopped, MemberState.failed}:
            self._gangs.member_ended(
                gang,
                worker_id,
                f'was not running on {worker_id} at the takeover',
            )
            return
        if gang.phase is not GangPhase.unconfirmed:
            if state is MemberState.finished:
                self._gangs.member_finished(gang, worker_id)
            return
        if state is MemberState.finished:
            member = gang.members[worker_id]
            member.phase = MemberPhase.finished
            self._state.inventory.release(member.allocation)
        else:
            gang.members[worker_id].phase = MemberPhase[state.value]
        if gang.all_members_in(*_CONFIRMED_PHASES):
            self._resume(gang)

    def _resume(self, gang: Gang) -> None:
        if gang.all_members_in(MemberPhase.finished):
            self._gangs.conclude_if_ended(gang)
        elif gang.all_members_in(MemberPhase.running, MemberPhase.finished):
            self._gangs.adopt_running(gang)
        else:
            self._gangs.start(gang)

    def _record_attempts(self, report: WorkerReported) -> None:
        """Record attempt numbers that earlier owners used, to skip them."""
        highest = self._state.highest_attempts
        for member in report.members:
            if member.attempt > highest.get(member.job_id, 0):
                highest[member.job_id] = member.attempt


def _gang_of_record(job: Job) -> Gang:
    demand = Demand.of(job.spec)
    allocation_kind = (
        AllocationKind.lent
        if job.spec.is_checkpointable
        else AllocationKind.firm
    )
    members = {
        member.worker_id: GangMember(
            _allocation_of_record(member, demand, allocation_kind)
        )
        for member in job.members
    }
    return Gang(
        job.job_id,
        job.attempt,
        allocation_kind,
        None,
        members,
        phase=GangPhase.unconfirmed,
        started_at=job.started_at,
    )


def _allocation_of_record(
    member: Member, demand: Demand, allocation_kind: AllocationKind
) -> Allocation:
    units = max(1, len(member.accelerators))
    return Allocation(
        member.worker_id,
        member.accelerators,
        demand.millicores * units,
        demand.memory_mb * units,
        allocation_kind,
    )
