"""Scheduler of one data centre as a state machine: events in, actions out."""

from collections.abc import Callable
from datetime import datetime
from typing import Any

from dragonflynotch.core.actions import (
    Action,
)
from dragonflynotch.core.claims import Claims
from dragonflynotch.core.deadline_handlers import DeadlineHandlers
from dragonflynotch.core.events import (
    Event,
    GuaranteesChanged,
    JobCancelled,
    JobSubmitted,
    MemberEvent,
    OwnershipGained,
    OwnershipLost,
    QuotasChanged,
    TimerFired,
    WorkerJoined,
    WorkerLost,
    WorkerReported,
)
from dragonflynotch.core.failure_tracker import FailureTracker
from dragonflynotch.core.fleet import Fleet
from dragonflynotch.core.gang_control import GangControl
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.guarantee_registry import GuaranteeRegistry
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.member_events import MemberEvents
from dragonflynotch.core.orphaned_members import OrphanedMembers
from dragonflynotch.core.placement import FragmentationAwarePlacer, Placer
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.reservations import Reservations
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.scheduler import Scheduler
from dragonflynotch.core.size_enforcement import SizeEnforcer
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.submissions import Submissions
from dragonflynotch.core.takeover import Takeover
from dragonflynotch.core.waiting import (
    WaitingJob,
    explain_claim,
    explain_reservation,
)

__all__ = ('Partition',)


class Partition:
    """Scheduler of one data centre.

    The result of ``handle`` depends only on the state, the event and the
    time. A partition makes no scheduling decision before ``OwnershipGained``,
    but tracks workers and guarantees with and without ownership. After a
    ``OwnershipGained`` with a fence above 1, a worker is used only after its
    first ``WorkerReported`` under the new fence; the caller must send
    ``WorkerLost`` for a worker whose guard cannot be reached.

    Parameters
    ----------
    data_centre : str
        Data centre of the partition.
    policy : PolicySettings or None
        Bounds and limits.
    placer : Placer or None
        Chooses the accelerators; ``FragmentationAwarePlacer`` by default.

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
        self._guarantees = GuaranteeRegistry(self._state)
        self._fleet = Fleet(self._state, self._gangs, self._guarantees)
        self._orphaned_members = OrphanedMembers(self._state)
        self._failure_tracker = FailureTracker(
            self._state, self._gangs, self._fleet
        )
        self._members = MemberEvents(
            self._state,
            self._gangs,
            self._failure_tracker,
            SizeEnforcer(self._state, self._gangs),
            self._orphaned_members,
        )
        self._takeover = Takeover(
            self._state, self._gangs, self._orphaned_members
        )
        self._claims = Claims(self._state, self._gangs, self._guarantees)
        self._run_times = RunTimes(self._state.policy.run_time_quantile)
        self._reservations = Reservations(
            self._state, self._gangs, self._claims, self._run_times
        )
        self._scheduler = Scheduler(
            self._state,
            self._gangs,
            self._guarantees,
            self._claims,
            self._reservations,
            self._run_times,
        )
        self._submissions = Submissions(
            self._state,
            self._gangs,
            self._claims,
            self._guarantees,
            self._run_times,
        )
        self._deadline_handlers = DeadlineHandlers(
            self._state,
            self._gangs,
            self._fleet,
            self._takeover,
            self._reservations,
            self._failure_tracker,
        )
        self._state.gang_end_observers.append(self._guarantees.gang_ended)
        self._state.gang_end_observers.append(self._record_run_time)
        self._state.gang_end_observers.append(self._failure_tracker.gang_ended)
        self._handlers: dict[type, Callable[[Any], None]] = {
            WorkerJoined: self._worker_joined,
            WorkerLost: self._worker_lost,
            WorkerReported: self._worker_reported,
            JobSubmitted: self._job_submitted,
            JobCancelled: self._job_cancelled,
            GuaranteesChanged: self._guarantees_changed,
            QuotasChanged: self._quotas_changed,
            OwnershipGained: self._ownership_gained,
            OwnershipLost: self._ownership_lost,
            TimerFired: _ignore_timer,
        }

    @property
    def data_centre(self) -> str:
        """Data centre of the partition."""
        return self._data_centre

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the partition."""
        return self._state.is_owner

    @property
    def fence(self) -> int:
        """Fencing token of the latest ownership; 0 before the first."""
        return self._state.fence

    @property
    def next_deadline(self) -> datetime | None:
        """Time at which ``TimerFired`` is due, or None."""
        return self._state.timers.next_deadline

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Apply an event and return the actions that follow.

        Parameters
        ----------
        event : Event
            Event to apply.
        now : datetime
            Current time with a time zone. A time before that of an earlier
            event counts as the time of that event.

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
            raise ValueError(f'now must be timezone-aware: {now!r}')
        self._state.now = max(now, self._state.now)
        if isinstance(event, MemberEvent):
            self._member_event(event)
        else:
            self._handlers[type(event)](event)
        self._deadline_handlers.run()
        if self._state.is_owner:
            self._takeover.enqueue_deferred_jobs()
            self._scheduler.run()
        return self._state.take_actions()

    def job(self, job_id: str) -> Job | None:
        """Return a job that has not reached a final state, or None."""
        return self._state.jobs.get(job_id)

    def waiting(self, now: datetime) -> tuple[WaitingJob, ...]:
        """Return why each waiting job waits, longest wait first."""
        waiting = [
            self._explain(job, now)
            for job in self._state.jobs.values()
            if job.state is JobState.waiting
        ]
        return tuple(sorted(waiting, key=_longest_wait_first))

    def _explain(self, job: Job, now: datetime) -> WaitingJob:
        claim = self._claims.find(job.job_id)
        if claim is not None:
            return explain_claim(job, claim, self._guarantees, now)
        reservation = self._reservations.current
        if reservation is not None and reservation.job_id == job.job_id:
            return explain_reservation(job, reservation, now)
        group = self._state.queue.group_of(job.job_id)
        reason = group.blocked_reason if group is not None else ''
        return WaitingJob(
            job.job_id,
            job.spec.workspace,
            now - job.submitted_at,
            reason or job.detail or 'waits for its turn',
        )

    def _record_run_time(self, gang: Gang, job: Job) -> None:
        if gang.started_at is not None and gang.is_complete:
            ran = self._state.now - gang.started_at
            self._run_times.observe(job.spec, gang.prior_work + ran)

    def _member_event(self, event: MemberEvent) -> None:
        if self._state.is_owner:
            self._members.apply(event)

    def _worker_joined(self, event: WorkerJoined) -> None:
        needs_report = self._takeover.needs_verification(event.worker.worker_id)
        self._fleet.join(event.worker, is_verified=not needs_report)

    def _worker_lost(self, event: WorkerLost) -> None:
        self._fleet.lose(event.worker_id, event.reason)

    def _worker_reported(self, event: WorkerReported) -> None:
        """Apply a report made under the current fence; ignore any other.

        A guard that reports under an older fence may still carry out orders
        of an earlier owner after the report.
        """
        if not self._state.is_owner or event.fence != self._state.fence:
            return
        is_first = self._takeover.verify(event)
        self._members.stop_orphaned_members(event)
        if not is_first:
            self._members.reconcile(event)

    def _job_submitted(self, event: JobSubmitted) -> None:
        self._submissions.submit(event.job)

    def _job_cancelled(self, event: JobCancelled) -> None:
        self._submissions.cancel(event.job_id)

    def _guarantees_changed(self, event: GuaranteesChanged) -> None:
        self._fleet.detach_gangs(self._guarantees.replace(event.guarantees))

    def _quotas_changed(self, event: QuotasChanged) -> None:
        self._state.max_accelerators = dict(event.max_accelerators)
        self._state.capacity_changed()

    def _ownership_gained(self, event: OwnershipGained) -> None:
        if event.fence > self._state.fence:
            self._claims.clear()
            self._reservations.clear()
            self._takeover.begin(event)
            self._guarantees.reset_placements()

    def _ownership_lost(self, _event: OwnershipLost) -> None:
        self._state.is_owner = False
        self._claims.clear()
        self._reservations.clear()
        self._orphaned_members.clear()
        self._state.reset()
        self._guarantees.reset_placements()


def _ignore_timer(_event: TimerFired) -> None:
    """Do nothing, because deadlines are handled after every event."""


def _longest_wait_first(waiting: WaitingJob) -> tuple[float, str]:
    return (-waiting.waited.total_seconds(), waiting.job_id)
