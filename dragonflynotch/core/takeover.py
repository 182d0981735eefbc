"""Rebuilding a partition from job records and reports of guards."""

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
from dragonflynotch.core.inventory import Allocation, Demand, Use
from dragonflynotch.core.jobs import Job, JobState, Member
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.strays import Strays

__all__ = ('Takeover',)

_FIRST_FENCE = 1
_MILLI = 1000
_CONFIRMED = (MemberPhase.prepared, MemberPhase.running, MemberPhase.finished)


class Takeover:
    """State between a gain of ownership and certainty about all workers.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Runs the gang protocol.
    strays : Strays
        Members that no attempt expects.
    """

    def __init__(
        self, state: PartitionState, gangs: GangControl, strays: Strays
    ) -> None:
        """Keep the parts."""
        self._state = state
        self._gangs = gangs
        self._strays = strays
        self._is_lease_over = True
        self._unverified: dict[str, None] = {}

    @property
    def is_settled(self) -> bool:
        """Whether no task of an earlier owner can be unknown any more."""
        return self._is_lease_over and not self._unverified and not self._strays

    def gain(self, event: OwnershipGained) -> None:
        """Rebuild the state from the job records.

        The first fence has no earlier owner, so nothing needs to be verified.
        """
        state = self._state
        state.reset()
        self._strays.clear()
        state.is_owner = True
        state.fence = event.fence
        self._is_lease_over = event.fence <= _FIRST_FENCE
        self._unverified.clear()
        if not self._is_lease_over:
            self._distrust_workers()
        for job in event.jobs:
            self._inherit(job)

    def needs_verification(self, worker_id: str) -> bool:
        """Note a worker that joins; True if it must report first.

        A worker that has reported under this ownership and joins again, for
        example after a silence, need not do so a second time.
        """
        known = self._state.inventory.find(worker_id)
        if known is not None:
            return not known.is_verified
        if self._is_lease_over:
            return False
        self._unverified[worker_id] = None
        return True

    def forget(self, worker_id: str) -> None:
        """Wait no longer for a worker, because its lease has expired."""
        self._unverified.pop(worker_id, None)
        if worker_id not in self._state.inventory:
            self._strays.worker_removed(worker_id)

    def lease_over(self) -> None:
        """Give up the members of workers that were never heard."""
        self._is_lease_over = True
        for gang in tuple(self._state.gangs.values()):
            for worker_id in tuple(gang.holders):
                if worker_id not in self._state.inventory:
                    self._gangs.stop(
                        gang,
                        Outcome.requeue,
                        f'worker {worker_id} is silent since the takeover',
                    )
                    self._gangs.release_silent(gang, worker_id)

    def verify(self, report: WorkerReported) -> bool:
        """Take over what a guard holds; True if it was its first report."""
        if report.worker_id not in self._unverified:
            return False
        self._unverified.pop(report.worker_id)
        listed = {
            (member.job_id, member.attempt): member for member in report.members
        }
        for gang in self._state.gangs_on(report.worker_id):
            member = listed.get((gang.job_id, gang.attempt))
            self._confirm(gang, report.worker_id, member)
        self._state.settle_disputes(report.worker_id)
        self._note_attempts(report)
        worker = self._state.inventory.find(report.worker_id)
        if worker is not None:
            worker.is_verified = True
            self._state.inventory.refresh(worker)
            self._state.capacity_changed()
        return True

    def release_inherited(self) -> None:
        """Let the inherited jobs start once no old task can be unknown."""
        state = self._state
        if not state.inherited or not self.is_settled:
            return
        held_back = tuple(state.held_back)
        state.inherited.clear()
        state.held_back.clear()
        for job_id in held_back:
            job = state.jobs[job_id]
            floor = max(job.attempt, state.attempt_floor.get(job_id, 0))
            state.jobs[job_id] = replace(job, attempt=floor)
            state.enqueue(state.jobs[job_id])
        state.attempt_floor.clear()

    def _distrust_workers(self) -> None:
        self._state.timers.set(
            Deadline(DeadlineKind.takeover),
            self._state.now + self._state.policy.task_lease,
        )
        for worker in self._state.inventory:
            worker.is_verified = False
            self._unverified[worker.worker.worker_id] = None
            self._state.inventory.refresh(worker)

    def _inherit(self, job: Job) -> None:
        self._state.jobs[job.job_id] = job
        self._state.inherited[job.job_id] = None
        if job.state is JobState.waiting or not job.members:
            self._state.enqueue(job)
            return
        gang = _rebuilt_gang(job)
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
                gang, worker_id, f'not running on {worker_id} at the takeover'
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
        if gang.all_in(*_CONFIRMED):
            self._continue(gang)

    def _continue(self, gang: Gang) -> None:
        if gang.all_in(MemberPhase.finished):
            self._gangs.conclude_if_ended(gang)
        elif gang.all_in(MemberPhase.running, MemberPhase.finished):
            self._gangs.adopt_running(gang)
        else:
            self._gangs.start(gang)

    def _note_attempts(self, report: WorkerReported) -> None:
        """Never use again an attempt number that an old owner has used."""
        floor = self._state.attempt_floor
        for member in report.members:
            if member.attempt > floor.get(member.job_id, 0):
                floor[member.job_id] = member.attempt


def _rebuilt_gang(job: Job) -> Gang:
    demand = Demand.of(job.spec)
    use = Use.lent if job.spec.is_checkpointable else Use.firm
    members = {
        member.worker_id: GangMember(_rebuilt(member, demand, use))
        for member in job.members
    }
    return Gang(
        job.job_id,
        job.attempt,
        use,
        None,
        members,
        phase=GangPhase.unconfirmed,
        started_at=job.started_at,
    )


def _rebuilt(member: Member, demand: Demand, use: Use) -> Allocation:
    units = max(1, len(member.accelerators))
    return Allocation(
        member.worker_id,
        member.accelerators,
        demand.millicores * units,
        demand.memory_mb * units,
        use,
    )
