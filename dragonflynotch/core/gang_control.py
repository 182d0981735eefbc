"""Gang protocol: prepare all, start all, stop all."""

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
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job, JobState, Member
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState

__all__ = ('GangControl', 'Launch')

_NO_TIME = timedelta()
_FINAL_STATE = {
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
        Accelerators on each worker; all of them are free.
    use : Use
        Right under which they are held.
    guarantee : int or None
        Guarantee that covers the job.
    """

    job: Job
    shares: Sequence[Share]
    use: Use
    guarantee: int | None = None


class GangControl:
    """Runs the gang protocol on the shared state.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Keep the state."""
        self._state = state

    def launch(self, launch: Launch) -> Gang:
        """Take the accelerators and order all members to prepare."""
        job = launch.job
        members = self._allocate(launch)
        gang = Gang(
            job.job_id,
            job.attempt + 1,
            launch.use,
            launch.guarantee,
            members,
            work_before=job.work_done,
            pending=len(members),
        )
        self._state.queue.remove(job)
        self._state.add_gang(gang)
        changed = self._state.change(
            job.job_id,
            state=JobState.starting,
            attempt=gang.attempt,
            members=tuple(_described(gang)),
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
        """Count a prepared member; start the gang after the last one."""
        member = gang.members[worker_id]
        if gang.phase is not GangPhase.preparing:
            return
        if member.phase is not MemberPhase.ordered:
            return
        member.phase = MemberPhase.prepared
        gang.pending -= 1
        if not gang.pending:
            self.start(gang)

    def start(self, gang: Gang) -> None:
        """Order all members to start; all of them are prepared."""
        gang.phase = GangPhase.starting
        gang.pending = 0
        self._state.timers.cancel(Deadline(DeadlineKind.prepare, gang.job_id))
        for worker_id, member in gang.members.items():
            if member.phase is MemberPhase.prepared:
                gang.pending += 1
                self.order_start(gang, worker_id)
        self._set_timer(
            DeadlineKind.confirm, gang, self._state.policy.start_confirmation
        )
        self._when_started(gang)

    def order_start(self, gang: Gang, worker_id: str) -> None:
        """Order one member to start."""
        self._state.emit(
            StartMember(gang.job_id, gang.attempt, worker_id, self._state.fence)
        )

    def member_started(self, gang: Gang, worker_id: str) -> None:
        """Count a started member; the gang runs after the last one."""
        member = gang.members[worker_id]
        if gang.phase is not GangPhase.starting:
            return
        if member.phase is not MemberPhase.prepared:
            return
        member.phase = MemberPhase.running
        gang.pending -= 1
        self._when_started(gang)

    def member_finished(self, gang: Gang, worker_id: str) -> None:
        """Release a member that ended with success."""
        if gang.phase in _NOT_STARTED:
            self.stop(gang, Outcome.requeue, 'a member ended before its start')
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
        """Release a member that ended without success; stop the others."""
        if not gang.members[worker_id].holds:
            return
        self.stop(gang, outcome, reason, skipped=worker_id)
        self._release(gang, worker_id, MemberPhase.released)
        self.conclude_if_ended(gang)

    def member_stopped(self, gang: Gang, worker_id: str) -> None:
        """Release a member that stopped, as ordered or by itself.

        Members end their checkpoints at different times: the first one that
        stops must not cut off the checkpoints of the others.
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
        checkpoint_limit: timedelta = _NO_TIME,
        skipped: str = '',
    ) -> None:
        """Stop all members.

        Parameters
        ----------
        gang : Gang
            The gang; may be stopping already.
        outcome : Outcome
            What happens to the job; the more final outcome wins.
        reason : str
            Why, in one sentence.
        checkpoint_limit : timedelta
            How long a checkpoint before the stop may take.
        skipped : str
            Worker whose member ended already.
        """
        is_first = gang.phase is not GangPhase.stopping
        if outcome.value > gang.outcome.value or is_first:
            gang.outcome = outcome
            gang.reason = reason
            self._state.change(
                gang.job_id, state=JobState.stopping, detail=reason
            )
        is_sooner = checkpoint_limit < gang.checkpoint_limit
        if not (is_first or is_sooner):
            return
        if gang.phase in _NOT_STARTED:
            checkpoint_limit = _NO_TIME
        gang.phase = GangPhase.stopping
        gang.checkpoint_limit = checkpoint_limit
        gang.stop_ordered_at = self._state.now
        self._cancel_timers(gang)
        self.order_stop(gang, skipped=skipped)
        self._set_timer(
            DeadlineKind.stop,
            gang,
            checkpoint_limit + self._state.policy.stop_bound,
        )

    def order_stop(self, gang: Gang, *, skipped: str = '') -> None:
        """Order all members that hold accelerators to stop."""
        for worker_id in gang.holders:
            if worker_id != skipped:
                self._state.emit(
                    StopMember(
                        gang.job_id,
                        gang.attempt,
                        worker_id,
                        self._state.fence,
                        gang.checkpoint_limit,
                    )
                )

    def stop_overdue(self, gang: Gang) -> None:
        """Repeat the stop order, now without a checkpoint."""
        gang.checkpoint_limit = _NO_TIME
        self.order_stop(gang)
        self._set_timer(DeadlineKind.stop, gang, self._state.policy.stop_bound)

    def release_silent(self, gang: Gang, worker_id: str) -> None:
        """Release a member whose task lease has expired."""
        if gang.members[worker_id].holds:
            self._release(gang, worker_id, MemberPhase.released)
            self.conclude_if_ended(gang)

    def checkpoint(self, gang: Gang) -> None:
        """Order a checkpoint of a running gang and plan the next one."""
        for worker_id in gang.holders:
            self._state.emit(
                CheckpointMember(
                    gang.job_id, gang.attempt, worker_id, self._state.fence
                )
            )
        self._plan_checkpoint(gang)

    def checkpoint_taken(self, gang: Gang, event: CheckpointTaken) -> None:
        """Note a member's part; a checkpoint counts once it is complete."""
        if gang.phase not in _STARTED:
            return
        parts = gang.checkpoints.setdefault(event.checkpoint, {})
        parts[event.worker_id] = event.work_done
        if len(parts) < len(gang.members):
            return
        gang.checkpoints.clear()
        gang.safe_at = self._state.now
        job = self._state.jobs[gang.job_id]
        work_done = min(parts.values())
        if work_done >= job.work_done:
            self._state.change(
                gang.job_id, checkpoint=event.checkpoint, work_done=work_done
            )

    def adopt_running(self, gang: Gang) -> None:
        """Continue a gang of which all members are known to run."""
        gang.phase = GangPhase.starting
        gang.pending = 0
        self._when_started(gang)

    def _allocate(self, launch: Launch) -> dict[str, GangMember]:
        demand = Demand.of(launch.job.spec)
        members = {}
        for share in launch.shares:
            worker = self._state.inventory[share.worker_id]
            allocation = worker.allocate(share.accelerators, demand, launch.use)
            self._state.inventory.refresh(worker)
            members[share.worker_id] = GangMember(allocation)
        return members

    def _when_started(self, gang: Gang) -> None:
        if gang.pending:
            return
        now = self._state.now
        gang.phase = GangPhase.running
        self._state.timers.cancel(Deadline(DeadlineKind.confirm, gang.job_id))
        job = self._state.jobs[gang.job_id]
        gang.started_at = job.started_at or now
        self._state.change(
            gang.job_id, state=JobState.running, started_at=gang.started_at
        )
        self._plan_checkpoint(gang)

    def _plan_checkpoint(self, gang: Gang) -> None:
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
        """End or requeue the job once its gang holds nothing any more."""
        if any(True for _ in gang.holders):
            return
        self._cancel_timers(gang)
        self._state.timers.cancel(Deadline(DeadlineKind.stop, gang.job_id))
        self._state.drop_gang(gang)
        if gang.is_complete:
            self._end(gang, JobState.finished)
        elif gang.outcome is Outcome.requeue:
            self._requeue(gang)
        else:
            self._end(gang, _FINAL_STATE[gang.outcome])

    def _end(self, gang: Gang, final: JobState) -> None:
        self._state.change(
            gang.job_id,
            state=final,
            ended_at=self._state.now,
            detail=gang.reason if final is not JobState.finished else '',
        )

    def _requeue(self, gang: Gang) -> None:
        job = self._state.change(
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
        for kind in _WHILE_ALIVE:
            self._state.timers.cancel(Deadline(kind, gang.job_id))


_NOT_STARTED = frozenset((GangPhase.preparing, GangPhase.unconfirmed))
_STARTED = frozenset(
    (GangPhase.starting, GangPhase.running, GangPhase.stopping)
)
_WHILE_ALIVE = (
    DeadlineKind.prepare,
    DeadlineKind.confirm,
    DeadlineKind.checkpoint,
)


def _described(gang: Gang) -> list[Member]:
    return [
        Member(worker_id, member.allocation.accelerators)
        for worker_id, member in gang.members.items()
    ]
