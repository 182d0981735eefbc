"""Scheduling partition of a data centre: events in, actions out."""

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime
from typing import Any

from dragonflynotch.core.actions import (
    Accepted,
    Action,
    AnswerSubmission,
    NeverRunnable,
    NotOwner,
)
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import (
    Event,
    GuaranteesChanged,
    JobCancelled,
    JobSubmitted,
    MemberEvent,
    OwnershipGained,
    OwnershipLost,
    TimerFired,
    WorkerJoined,
    WorkerLost,
    WorkerReported,
)
from dragonflynotch.core.feasibility import find_obstacle
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Outcome
from dragonflynotch.core.guarantee_book import GuaranteeBook
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.member_events import MemberEvents
from dragonflynotch.core.placement import FragmentationAwarePlacer, Placer
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.scheduler import Scheduler
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.takeover import Takeover
from dragonflynotch.core.waiting import WaitingJob

__all__ = ('Partition',)


class Partition:
    """Scheduler of one data centre.

    The result of ``handle`` depends only on the state, the event and the
    time. A partition decides nothing before ``OwnershipGained``; it keeps
    workers and guarantees up to date all the time. After a gain with a fence
    above 1 a worker is used only after its first ``WorkerReported`` under the
    new fence; a guard that cannot be asked must be given up by ``WorkerLost``.

    Parameters
    ----------
    data_centre : str
        Data centre of the partition.
    policy : PolicySettings or None
        Bounds and limits.
    placer : Placer or None
        Chooses the accelerators; fragmentation-aware by default.

    Examples
    --------
    >>> from datetime import UTC, datetime
    >>> partition = Partition('lautoka')
    >>> partition.handle(TimerFired(), datetime(2026, 1, 1, tzinfo=UTC))
    ()
    """

    def __init__(
        self,
        data_centre: str,
        policy: PolicySettings | None = None,
        placer: Placer | None = None,
    ) -> None:
        """Create an empty partition that is not owned."""
        self._data_centre = data_centre
        self._state = PartitionState(
            policy or PolicySettings(), placer or FragmentationAwarePlacer()
        )
        self._gangs = GangControl(self._state)
        self._book = GuaranteeBook(self._state)
        self._fleet = Fleet(self._state, self._gangs, self._book)
        self._members = MemberEvents(self._state, self._gangs, self._fleet)
        self._takeover = Takeover(self._state, self._gangs, self._fleet)
        self._scheduler = Scheduler(self._state, self._gangs, self._book)
        self._state.observers.append(self._book.gang_ended)
        self._handlers: dict[type, Callable[[Any], None]] = {
            WorkerJoined: self._worker_joined,
            WorkerLost: self._worker_lost,
            WorkerReported: self._worker_reported,
            JobSubmitted: self._job_submitted,
            JobCancelled: self._job_cancelled,
            GuaranteesChanged: self._guarantees_changed,
            OwnershipGained: self._ownership_gained,
            OwnershipLost: self._ownership_lost,
            TimerFired: _do_nothing,
        }
        self._deadline_handlers: dict[DeadlineKind, Callable[[str], None]] = {
            DeadlineKind.prepare: self._not_prepared,
            DeadlineKind.confirm: self._not_confirmed,
            DeadlineKind.stop: self._not_stopped,
            DeadlineKind.checkpoint: self._checkpoint_due,
            DeadlineKind.lease: self._lease_expired,
            DeadlineKind.cooldown: self._fleet.end_cooldown,
            DeadlineKind.takeover: self._takeover_lease_over,
        }

    @property
    def data_centre(self) -> str:
        """Data centre of the partition."""
        return self._data_centre

    @property
    def is_owner(self) -> bool:
        """Whether this process decides for the partition."""
        return self._state.is_owner

    @property
    def fence(self) -> int:
        """Fencing number of the ownership; 0 before the first."""
        return self._state.fence

    @property
    def next_deadline(self) -> datetime | None:
        """When ``TimerFired`` is due, or None."""
        return self._state.timers.next_deadline

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Apply an event and return the actions that follow.

        Parameters
        ----------
        event : Event
            What happened.
        now : datetime
            Current time, aware; must not run backwards.

        Returns
        -------
        tuple of Action
            Actions in the order in which they must be carried out.

        Raises
        ------
        ValueError
            If ``now`` has no time zone.
        """
        if now.tzinfo is None:
            raise ValueError(f'now must have a time zone: {now!r}')
        self._state.now = max(now, self._state.now)
        if isinstance(event, MemberEvent):
            self._member_event(event)
        else:
            self._handlers[type(event)](event)
        self._expire_deadlines()
        if self._state.is_owner:
            self._scheduler.run()
        return self._state.drain()

    def job(self, job_id: str) -> Job | None:
        """Return a job that is not final, or None."""
        return self._state.jobs.get(job_id)

    def waiting(self, now: datetime) -> tuple[WaitingJob, ...]:
        """Return why each waiting job waits, the longest waiting first."""
        waiting = [
            self._explain(job, now)
            for job in self._state.jobs.values()
            if job.state is JobState.waiting
        ]
        return tuple(sorted(waiting, key=_longest_wait_first))

    def _explain(self, job: Job, now: datetime) -> WaitingJob:
        group = self._state.queue.group_of(job)
        reason = group.blocked_reason if group is not None else ''
        return WaitingJob(
            job.job_id,
            job.spec.workspace,
            now - job.submitted_at,
            reason or job.detail or 'waits for its turn',
        )

    def _member_event(self, event: MemberEvent) -> None:
        if self._state.is_owner:
            self._members.apply(event)

    def _worker_joined(self, event: WorkerJoined) -> None:
        needs_report = self._takeover.needs_verification(event.worker.worker_id)
        self._fleet.join(event.worker, is_verified=not needs_report)

    def _worker_lost(self, event: WorkerLost) -> None:
        self._fleet.lose(event.worker_id, event.reason)

    def _worker_reported(self, event: WorkerReported) -> None:
        """Apply a report made under this ownership; others prove nothing."""
        if self._state.is_owner and event.fence == self._state.fence:
            self._takeover.verify(event)
            self._members.report(event)

    def _job_submitted(self, event: JobSubmitted) -> None:
        job = event.job
        verdict: Accepted | NeverRunnable | NotOwner = Accepted()
        if not self._state.is_owner:
            verdict = NotOwner()
        elif job.job_id not in self._state.jobs:
            obstacle = find_obstacle(
                job.spec, self._state.inventory, self._state.placer
            )
            if obstacle is None:
                self._state.queue.add(self._state.save(job))
            else:
                verdict = NeverRunnable(obstacle)
        self._state.emit(AnswerSubmission(job.job_id, verdict))

    def _job_cancelled(self, event: JobCancelled) -> None:
        job = self._state.jobs.get(event.job_id)
        if job is None or not self._state.is_owner:
            return
        gang = self._state.gangs.get(event.job_id)
        if gang is not None:
            self._state.jobs[job.job_id] = replace(
                job, is_cancel_requested=True
            )
            self._gangs.stop(gang, Outcome.cancel, _CANCELLED)
            return
        self._takeover.drop(job.job_id)
        self._state.queue.remove(job)
        self._state.change(
            job.job_id,
            state=JobState.cancelled,
            ended_at=self._state.now,
            detail=_CANCELLED,
        )

    def _guarantees_changed(self, event: GuaranteesChanged) -> None:
        self._fleet.unbind(self._book.replace(event.guarantees))

    def _ownership_gained(self, event: OwnershipGained) -> None:
        if event.fence > self._state.fence:
            self._takeover.gain(event)
            self._book.start_again()

    def _ownership_lost(self, _event: OwnershipLost) -> None:
        self._state.is_owner = False
        self._state.reset()
        self._book.start_again()

    def _expire_deadlines(self) -> None:
        for deadline in self._state.timers.pop_due(self._state.now):
            if isinstance(deadline, Deadline):
                self._deadline_handlers[deadline.kind](deadline.subject)

    def _not_prepared(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._gangs.stop(gang, Outcome.requeue, 'members were not prepared')

    def _not_confirmed(self, job_id: str) -> None:
        gang = self._state.gangs[job_id]
        self._gangs.stop(gang, Outcome.requeue, 'a start was not confirmed')

    def _not_stopped(self, job_id: str) -> None:
        self._gangs.stop_overdue(self._state.gangs[job_id])

    def _checkpoint_due(self, job_id: str) -> None:
        self._gangs.checkpoint(self._state.gangs[job_id])

    def _lease_expired(self, worker_id: str) -> None:
        self._fleet.lease_expired(worker_id)
        self._takeover.forget(worker_id)

    def _takeover_lease_over(self, _subject: str) -> None:
        self._takeover.lease_over()


def _do_nothing(_event: TimerFired) -> None:
    """Deadlines are handled after every event."""


def _longest_wait_first(waiting: WaitingJob) -> tuple[float, str]:
    return (-waiting.waited.total_seconds(), waiting.job_id)


_CANCELLED = 'cancelled on request'
