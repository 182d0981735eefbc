"""Reservation of accelerators for the longest-waiting job."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.claims import Claims
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.forecast import ExpectedPlacement, Forecast
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantees import Placement
from dragonflynotch.core.inventory import AllocationKind, Demand
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('Reservation', 'Reservations')

# In a shorter window, a stop and a restart cost more than the run gains.
_MIN_WINDOW = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Accelerators reserved for one waiting job.

    Parameters
    ----------
    job_id : str
        The waiting job.
    shares : tuple of Share
        Reserved accelerators.
    allocation_kind : AllocationKind
        Whether the job will hold them as firm or as lent.
    start_at : datetime
        When the gangs that hold them now are expected to have ended. Those
        that still run and can be checkpointed are stopped at this time.
    start_by : datetime
        Upper bound of the start of the job.
    reserved_at : datetime
        When the accelerators were reserved.
    ending_jobs : frozenset of str
        Jobs whose gangs are expected to have ended, or may be preempted, by
        ``start_at``.
    """

    job_id: str
    shares: Placement
    allocation_kind: AllocationKind
    start_at: datetime
    start_by: datetime
    reserved_at: datetime
    ending_jobs: frozenset[str]


class Reservations:
    """Reserves accelerators for the longest-waiting job, one job at a time.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Launches gangs.
    claims : Claims
        Frees the reserved accelerators at the expected start.
    run_times : RunTimes
        Run-time estimates learned from finished jobs.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        claims: Claims,
        run_times: RunTimes,
    ) -> None:
        """Start without a reservation."""
        self._state = state
        self._gangs = gangs
        self._claims = claims
        self._run_times = run_times
        self._forecast = Forecast(state, run_times)
        self._current: Reservation | None = None
        self._additions_seen = -1
        self._next_search_at: datetime | None = None
        self._next_move_at = state.now

    @property
    def current(self) -> Reservation | None:
        """The reservation in force, or None."""
        return self._current

    def clear(self) -> None:
        """Forget the reservation after the state was reset."""
        self._current = None
        self._next_search_at = None

    def drop(self) -> None:
        """End the reservation in force, if there is one."""
        if self._current is not None:
            self._change_reserved(self._current.shares, -1)
            self._current = None
            self._state.timers.cancel(Deadline(DeadlineKind.reservation))
            self._state.capacity_changed()

    def drop_if_stale(self) -> None:
        """End the reservation if it is no longer valid."""
        if self._current is not None and not self._is_valid(self._current):
            self.drop()

    def advance(self) -> None:
        """Start the reserved job if it fits, or make a reservation."""
        self.drop_if_stale()
        self._move_if_sooner()
        current = self._current
        if current is None:
            self._reserve_for_longest_waiting()
        elif self._can_start(current):
            self.drop()
            self._gangs.launch(
                Launch(
                    self._state.jobs[current.job_id],
                    current.shares,
                    current.allocation_kind,
                )
            )

    def handle_deadline(self) -> None:
        """Free the reserved accelerators, or allow the next search."""
        current = self._current
        if current is not None and self._state.now < current.start_at:
            return
        if current is not None and self._is_valid(current):
            self.drop()
            job = self._state.jobs[current.job_id]
            victims = self._victims(current)
            if self._can_free(current, victims):
                self._claims.add_reserved(
                    job, current.shares, current.allocation_kind, victims
                )
        self._next_search_at = None

    def backfill_workers(self, job: Job) -> Iterable[str]:
        """Return the reserved workers that a job may use for backfill.

        A job may run on reserved accelerators if runs of its kind usually end
        before the expected start of the reserved job. For a job that can be
        checkpointed a short window is sufficient, because it is stopped in
        time and continues later.
        """
        current = self._current
        if current is None:
            return ()
        needed = self._run_times.estimate(job.spec) - job.work_done
        if job.spec.is_checkpointable:
            needed = min(needed, _MIN_WINDOW)
        if self._state.now + needed > current.start_at:
            return ()
        return tuple(share.worker_id for share in current.shares)

    def _reserve_for_longest_waiting(self) -> None:
        additions = self._state.queue.additions
        is_before_search = (
            self._next_search_at is not None
            and self._state.now < self._next_search_at
        )
        if is_before_search and additions == self._additions_seen:
            return
        self._additions_seen = additions
        wait = self._state.policy.reservation_wait
        has_searched = False
        for job_id in self._state.queue.longest_waiting():
            job = self._state.jobs[job_id]
            eligible_at = job.submitted_at + wait
            if eligible_at > self._state.now:
                self._next_search_at = eligible_at
                self._set_timer(eligible_at)
                return
            if self._reserve(job):
                return
            has_searched = True
        if has_searched:
            # A search visits all workers, so a job that cannot be placed must
            # not repeat it at each event.
            self._next_search_at = self._state.now + wait
            self._set_timer(self._next_search_at)

    def _move_if_sooner(self) -> None:
        """Move the reservation if a placement with an earlier start exists.

        It is never moved to a later start. The expected end of a gang that
        overruns its estimate grows with time, and the reservation would be
        postponed again and again.
        """
        current = self._current
        if current is None or self._state.now < self._next_move_at:
            return
        self._next_move_at = (
            self._state.now + self._state.policy.reservation_wait
        )
        job = self._state.jobs[current.job_id]
        found = self._forecast.find_earliest(job, current.allocation_kind)
        if found is not None and found.start_at < current.start_at:
            self.drop()
            self._make_reservation(job, current.allocation_kind, found)
        else:
            self._set_timer(min(current.start_at, self._next_move_at))

    def _reserve(self, job: Job) -> bool:
        needed = job.spec.shape.accelerators
        if not needed or needed > self._state.remaining_quota(
            job.spec.workspace
        ):
            return False
        allocation_kind = (
            AllocationKind.lent
            if job.spec.is_checkpointable
            else AllocationKind.firm
        )
        found = self._forecast.find_earliest(job, allocation_kind)
        if found is None:
            return False
        self._make_reservation(job, allocation_kind, found)
        return True

    def _make_reservation(
        self,
        job: Job,
        allocation_kind: AllocationKind,
        found: ExpectedPlacement,
    ) -> None:
        now = self._state.now
        start_by = found.start_at + self._state.policy.reclaim_bound
        self._current = Reservation(
            job.job_id,
            found.shares,
            allocation_kind,
            found.start_at,
            start_by,
            now,
            found.ending_jobs,
        )
        self._next_move_at = now + self._state.policy.reservation_wait
        self._change_reserved(found.shares, 1)
        self._set_timer(min(found.start_at, self._next_move_at))

    def _change_reserved(self, shares: Placement, sign: int) -> None:
        for share in shares:
            worker = self._state.inventory.find(share.worker_id)
            if worker is not None:
                worker.reserved += sign * share.accelerators
                self._state.inventory.refresh(worker)

    def _set_timer(self, at: datetime) -> None:
        self._state.timers.set(Deadline(DeadlineKind.reservation), at)

    def _is_valid(self, current: Reservation) -> bool:
        if not self._state.queue.has(current.job_id):
            return False
        for share in current.shares:
            worker = self._state.inventory.find(share.worker_id)
            if worker is None or not worker.is_usable:
                return False
            is_firm = current.allocation_kind is AllocationKind.firm
            if is_firm and not worker.can_hold_firm(share.accelerators):
                return False
        return True

    def _victims(self, current: Reservation) -> frozenset[str]:
        """Return the jobs whose gangs may be stopped for the reservation.

        These are the jobs that were expected to have ended and those that
        started after the reservation was made.
        """
        return frozenset(
            job_id
            for job_id, gang in self._state.gangs.items()
            if gang.allocation_kind is AllocationKind.lent
            and self._state.jobs[job_id].spec.is_checkpointable
            and (
                job_id in current.ending_jobs
                or (gang.started_at or self._state.now) >= current.reserved_at
            )
        )

    def _can_free(self, current: Reservation, victims: frozenset[str]) -> bool:
        """Whether stopping the victims frees all reserved accelerators.

        A claim that also waits for gangs that cannot be stopped would keep
        its other accelerators idle for an unknown time.
        """
        for share in current.shares:
            worker = self._state.inventory[share.worker_id]
            lent = sum(
                len(gang.members[share.worker_id].allocation.accelerators)
                for gang in self._state.gangs_on(share.worker_id)
                if gang.job_id in victims
                and gang.members[share.worker_id].holds
            )
            if worker.unclaimed + lent < share.accelerators:
                return False
        return True

    def _can_start(self, current: Reservation) -> bool:
        job = self._state.jobs[current.job_id]
        needed = job.spec.shape.accelerators
        if needed > self._state.remaining_quota(job.spec.workspace):
            return False
        demand = Demand.of(job.spec)
        for share in current.shares:
            worker = self._state.inventory[share.worker_id]
            usable = worker.usable_accelerators(
                demand, worker.unclaimed, current.allocation_kind
            )
            if usable < share.accelerators:
                return False
        return True
