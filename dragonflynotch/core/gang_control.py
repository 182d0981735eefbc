"""Gang protocol: all members are prepared, then started, then stopped."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.actions import (
    CheckpointMember,
    PrepareMember,
    StartMember,
    StopMember,
)
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import CheckpointTaken
from dragonflynotch.core.gangs import (
    Gang,
    GangMember,
    GangPhase,
    MemberPhase,
    Outcome,
)
from dragonflynotch.core.inventory import AllocationKind, Demand
from dragonflynotch.core.jobs import Job, JobState, Member
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState

__all__ = ('GangControl', 'Launch')

_NO_CHECKPOINT = timedelta()
_FINAL_STATES = {
    Outcome.fail: JobState.failed,
    Outcome.cancel: JobState.cancelled,
}


@dataclass(frozen=True, slots=True)
class Launch:
    """Decision to run a waiting job.

    Parameters
    ----------
    job : Job
        The waiting job.
    shares : sequence of Share
        Accelerators to take on each worker; all of them are free.
    allocation_kind : AllocationKind
        Whether they are held as guaranteed, firm or lent.
    guarantee_id : int or None
        Identifier of the guarantee that the job runs on, or None.
    """

    job: Job
    shares: Sequence[Share]
    allocation_kind: AllocationKind
    guarantee_id: int | None = None


class GangControl:
    """Runs the gang protocol on the state of a partition.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Store the state."""
        self._state = state

    def launch(self, launch: Launch) -> Gang:
        """Allocate the accelerators and order all members to prepare."""
        job = launch.job
        members = self._allocate(launch)
        gang = Gang(
            job.job_id,
            job.attempt + 1,
            launch.allocation_kind,
            launch.guarantee_id,
            members,
            prior_work=job.work_done,
            awaited_members=len(members),
        )
        self._state.queue.remove(job)
        self._state.add_gang(gang)
        changed = self._state.update_job(
            job.job_id,
            state=JobState.starting,
            attempt=gang.attempt,
            members=tuple(_member_records(gang)),
            started_at=None,
            detail='',
        )
        for member in changed.members:
            self._state.emit(
                PrepareMember(
                    job.job_id,
                    gang.attempt,
                    member.worker_id,
                    self._state.fence,
                    member,
                    job.spec,
                    job.checkpoint,
                )
            )
        self._set_timer(
            DeadlineKind.prepare, gang, self._state.policy.prepare_timeout
        )
        return gang

    def member_prepared(self, gang: Gang, worker_id: str) -> None:
        """Record that a member is prepared; start the gang after the last."""
        member = gang.members[worker_id]
        if gang.phase is not GangPhase.preparing:
            return
        if member.phase is not MemberPhase.ordered:
            return
        member.phase = MemberPhase.prepared
        gang.awaited_members -= 1
        if not gang.awaited_members:
            self.start(gang)

    def start(self, gang: Gang) -> None:
        """Order all members to start, after all of them were prepared."""
        gang.phase = GangPhase.starting
        gang.awaited_members = 0
        self._state.timers.cancel(Deadline(DeadlineKind.prepare, gang.job_id))
        for worker_id, member in gang.members.items():
            if member.phase is MemberPhase.prepared:
                gang.awaited_members += 1
                self.order_start(gang, worker_id)
        self._set_timer(
            DeadlineKind.confirm, gang, self._state.policy.start_confirmation
        )
        self._run_if_started(gang)

    def order_start(self, gang: Gang, worker_id: str) -> None:
        """Order one member to start."""
        self._state.emit(
            StartMember(gang.job_id, gang.attempt, worker_id, self._state.fence)
        )

    def member_started(self, gang: Gang, worker_id: str) -> None:
        """Record that a member started; the gang runs after the last."""
        member = gang.members[worker_id]
        if gang.phase is not GangPhase.starting:
            return
        if member.phase is not MemberPhase.prepared:
            return
        member.phase = MemberPhase.running
        gang.awaited_members -= 1
        self._run_if_started(gang)

    def member_finished(self, gang: Gang, worker_id: str) -> None:
        """Release a member that ended with success."""
        if gang.phase in _NOT_STARTED:
            self.stop(
                gang,
                Outcome.requeue,
                'a member finished before it was ordered to start',
            )
        member = gang.members[worker_id]
        if not member.holds:
            return
        if member.phase is MemberPhase.prepared:
            self.member_started(gang, worker_id)
        self._release(gang, worker_id, MemberPhase.finished)
        self.conclude_if_ended(gang)

    def member_ended(
        self,
        gang: Gang,
        worker_id: str,
        reason: str,
        outcome: Outcome = Outcome.requeue,
    ) -> None:
        """Release a member that ended without success and stop the others."""
        if not gang.members[worker_id].holds:
            return
        self.stop(gang, outcome, reason, ended_worker=worker_id)
        self._release(gang, worker_id, MemberPhase.released)
        self.conclude_if_ended(gang)

    def member_stopped(self, gang: Gang, worker_id: str) -> None:
        """Release a member that stopped, by order or on its own.

        Members end their checkpoints at different times, so the first member
        that stops must not shorten the checkpoints of the others.
        """
        if gang.phase is not GangPhase.stopping:
            reason = f'stopped by worker {worker_id}'
            self.member_ended(gang, worker_id, reason)
        elif gang.members[worker_id].holds:
            self._release(gang, worker_id, MemberPhase.released)
            self.conclude_if_ended(gang)

    def stop(
        self,
        gang: Gang,
        outcome: Outcome,
        reason: str,
        *,
        checkpoint_limit: timedelta = _NO_CHECKPOINT,
        ended_worker: str = '',
    ) -> None:
        """Stop all members, with an optional checkpoint before.

        Parameters
        ----------
        gang : Gang
            The gang; it may already be stopping.
        outcome : Outcome
            What happens to the job; the highest outcome requested applies.
        reason : str
            Why the gang is stopped, in one sentence.
        checkpoint_limit : timedelta
            How long a checkpoint before the stop may take; zero for none.
        ended_worker : str
            Worker whose member has already ended and gets no stop order.
        """
        is_first = gang.phase is not GangPhase.stopping
        if outcome.value > gang.outcome.value or is_first:
            gang.outcome = outcome
            gang.reason = reason
            self._state.update_job(
                gang.job_id, state=JobState.stopping, detail=reason
            )
        is_shorter = checkpoint_limit < gang.checkpoint_limit
        if not (is_first or is_shorter):
            return
        if gang.phase in _NOT_STARTED:
            checkpoint_limit = _NO_CHECKPOINT
        gang.phase = GangPhase.stopping
        gang.checkpoint_limit = checkpoint_limit
        gang.stop_ordered_at = self._state.now
        self._cancel_timers(gang)
        self.order_stop(gang, ended_worker=ended_worker)
        self._set_timer(
            DeadlineKind.stop,
            gang,
            checkpoint_limit + self._state.policy.stop_bound,
        )

    def order_stop(self, gang: Gang, *, ended_worker: str = '') -> None:
        """Order all members that still hold resources to stop."""
        for worker_id in gang.holding_workers:
            if worker_id != ended_worker:
                self._state.emit(
                    StopMember(
                        gang.job_id,
                        gang.attempt,
                        worker_id,
                        self._state.fence,
                        gang.checkpoint_limit,
                    )
                )

    def repeat_stop(self, gang: Gang) -> None:
        """Repeat an overdue stop order, now without a checkpoint."""
        gang.checkpoint_limit = _NO_CHECKPOINT
        self.order_stop(gang)
        self._set_timer(DeadlineKind.stop, gang, self._state.policy.stop_bound)

    def release_expired_member(self, gang: Gang, worker_id: str) -> None:
        """Release a member whose task lease has expired."""
        if gang.members[worker_id].holds:
            self._release(gang, worker_id, MemberPhase.released)
            self.conclude_if_ended(gang)

    def checkpoint(self, gang: Gang) -> None:
        """Order a checkpoint of a running gang and schedule the next one."""
        for worker_id in gang.holding_workers:
            self._state.emit(
                CheckpointMember(
                    gang.job_id, gang.attempt, worker_id, self._state.fence
                )
            )
        self._schedule_checkpoint(gang)

    def checkpoint_taken(self, gang: Gang, event: CheckpointTaken) -> None:
        """Record a member's checkpoint; it is used once all members have it."""
        if gang.phase not in _STARTED:
            return
        parts = gang.checkpoints.setdefault(event.checkpoint, {})
        parts[event.worker_id] = event.work_done
        if len(parts) < len(gang.members):
            return
        gang.checkpoints.clear()
        gang.last_checkpoint_at = self._state.now
        job = self._state.jobs[gang.job_id]
        work_done = min(parts.values())
        if work_done >= job.work_done:
            self._state.update_job(
                gang.job_id, checkpoint=event.checkpoint, work_done=work_done
            )

    def adopt_running(self, gang: Gang) -> None:
        """Continue a gang after a takeover, with all its members started."""
        gang.phase = GangPhase.starting
        gang.awaited_members = 0
        self._run_if_started(gang)

    def _allocate(self, launch: Launch) -> dict[str, GangMember]:
        demand = Demand.of(launch.job.spec)
        members = {}
        for share in launch.shares:
            worker = self._state.inventory[share.worker_id]
            allocation = worker.allocate(
                share.accelerators, demand, launch.allocation_kind
            )
            self._state.inventory.refresh(worker)
            members[share.worker_id] = GangMember(allocation)
        return members

    def _run_if_started(self, gang: Gang) -> None:
        if gang.awaited_members:
            return
        now = self._state.now
        gang.phase = GangPhase.running
        self._state.timers.cancel(Deadline(DeadlineKind.confirm, gang.job_id))
        job = self._state.jobs[gang.job_id]
        gang.started_at = job.started_at or now
        self._state.update_job(
            gang.job_id, state=JobState.running, started_at=gang.started_at
        )
        self._schedule_checkpoint(gang)

    def _schedule_checkpoint(self, gang: Gang) -> None:
        if self._state.jobs[gang.job_id].spec.is_checkpointable:
            self._set_timer(
                DeadlineKind.checkpoint,
                gang,
                self._state.policy.checkpoint_interval,
            )

    def _release(self, gang: Gang, worker_id: str, phase: MemberPhase) -> None:
        member = gang.members[worker_id]
        member.phase = phase
        self._state.inventory.release(member.allocation)
        self._state.capacity_changed()

    def conclude_if_ended(self, gang: Gang) -> None:
        """End or requeue the job once its gang holds no resources."""
        if any(True for _ in gang.holding_workers):
            return
        self._cancel_timers(gang)
        self._state.timers.cancel(Deadline(DeadlineKind.stop, gang.job_id))
        self._state.remove_gang(gang)
        if gang.is_complete:
            self._end(gang, JobState.finished)
        elif gang.outcome is Outcome.requeue:
            self._requeue(gang)
        else:
            self._end(gang, _FINAL_STATES[gang.outcome])

    def _end(self, gang: Gang, final_state: JobState) -> None:
        self._state.update_job(
            gang.job_id,
            state=final_state,
            ended_at=self._state.now,
            detail=gang.reason if final_state is not JobState.finished else '',
        )

    def _requeue(self, gang: Gang) -> None:
        job = self._state.update_job(
            gang.job_id,
            state=JobState.waiting,
            members=(),
            started_at=None,
            detail=gang.reason,
        )
        if gang.retry_after:
            self._set_timer(DeadlineKind.retry, gang, gang.retry_after)
        else:
            self._state.enqueue(job)

    def _set_timer(
        self, kind: DeadlineKind, gang: Gang, delay: timedelta
    ) -> None:
        self._state.timers.set(
            Deadline(kind, gang.job_id), self._state.now + delay
        )

    def _cancel_timers(self, gang: Gang) -> None:
        for kind in _BEFORE_STOP:
            self._state.timers.cancel(Deadline(kind, gang.job_id))


_NOT_STARTED = frozenset((GangPhase.preparing, GangPhase.unconfirmed))
_STARTED = frozenset(
    (GangPhase.starting, GangPhase.running, GangPhase.stopping)
)
_BEFORE_STOP = (
    DeadlineKind.prepare,
    DeadlineKind.confirm,
    DeadlineKind.checkpoint,
)


def _member_records(gang: Gang) -> list[Member]:
    return [
        Member(worker_id, member.allocation.accelerators)
        for worker_id, member in gang.members.items()
    ]
