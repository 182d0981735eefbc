"""Reservation for the job that has waited longest."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.claims import Claims
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.forecast import Forecast, Opening
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.runtimes import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('Reservation', 'Reservations')

# Below this a stop and a new start cost more than the run is worth.
_SHORTEST_WINDOW = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Accelerators that are kept for one waiting job.

    Parameters
    ----------
    job_id : str
        The waiting job.
    shares : tuple of Share
        Accelerators kept for it.
    use : Use
        Right under which it will hold them.
    start_at : datetime
        When the present holders are expected to have ended; those that can
        be checkpointed are stopped then.
    start_by : datetime
        Upper bound of the start.
    made_at : datetime
        When the accelerators were reserved.
    ended : frozenset of str
        Jobs whose gangs are expected to have ended or to give way by then.
    """

    job_id: str
    shares: Place
    use: Use
    start_at: datetime
    start_by: datetime
    made_at: datetime
    ended: frozenset[str]


class Reservations:
    """Keeps accelerators for the longest-waiting job, one job at a time.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Starts gangs.
    claims : Claims
        Frees the accelerators when the time has come.
    run_times : RunTimes
        Learned run times.
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
        self._search_at: datetime | None = None
        self._move_at = state.now

    @property
    def current(self) -> Reservation | None:
        """The reservation in force, or None."""
        return self._current

    def clear(self) -> None:
        """Forget the reservation, after the state was reset."""
        self._current = None
        self._search_at = None

    def drop(self) -> None:
        """End the reservation in force, if there is one."""
        if self._current is not None:
            self._keep(self._current.shares, -1)
            self._current = None
            self._state.timers.cancel(Deadline(DeadlineKind.reservation))
            self._state.capacity_changed()

    def drop_if_stale(self) -> None:
        """End a reservation whose job or place is gone."""
        if self._current is not None and not self._is_valid(self._current):
            self.drop()

    def advance(self) -> None:
        """Start the reserved job if it fits; else reserve where needed."""
        self.drop_if_stale()
        self._move_if_sooner()
        current = self._current
        if current is None:
            self._reserve_for_longest()
        elif self._is_free(current):
            self.drop()
            self._gangs.launch(
                Launch(
                    self._state.jobs[current.job_id],
                    current.shares,
                    current.use,
                )
            )

    def due(self) -> None:
        """Free the reserved accelerators, or look for a job to reserve for."""
        current = self._current
        if current is not None and self._state.now < current.start_at:
            return
        if current is not None and self._is_valid(current):
            self.drop()
            job = self._state.jobs[current.job_id]
            victims = self._victims(current)
            if self._can_free(current, victims):
                self._claims.add_reserved(
                    job, current.shares, current.use, victims
                )
        self._search_at = None

    def window_for(self, job: Job) -> Iterable[str]:
        """Return the reserved workers that a job may use until their time.

        A job may run beside a reservation if runs of its kind usually end
        before the reservation needs the accelerators. A job that can be
        checkpointed may also use a part of its run time, because it is stopped
        in time and continues later.
        """
        current = self._current
        if current is None:
            return ()
        needed = self._run_times.estimate(job.spec) - job.work_done
        if job.spec.is_checkpointable:
            needed = min(needed, _SHORTEST_WINDOW)
        if self._state.now + needed > current.start_at:
            return ()
        return tuple(share.worker_id for share in current.shares)

    def _reserve_for_longest(self) -> None:
        additions = self._state.queue.additions
        is_early = (
            self._search_at is not None and self._state.now < self._search_at
        )
        if is_early and additions == self._additions_seen:
            return
        self._additions_seen = additions
        wait = self._state.policy.reservation_wait
        has_searched = False
        for job_id in self._state.queue.longest_waiting():
            job = self._state.jobs[job_id]
            due = job.submitted_at + wait
            if due > self._state.now:
                self._search_at = due
                self._set_timer(due)
                return
            if self._reserve(job):
                return
            has_searched = True
        if has_searched:
            # A search visits all workers; an infeasible job must not repeat
            # it at each event.
            self._search_at = self._state.now + wait
            self._set_timer(self._search_at)

    def _move_if_sooner(self) -> None:
        """Move the reservation to a place that starts and ends have opened.

        A later place is never taken: the expected end of a gang that overruns
        its estimate moves on with the time, and so would the reservation.
        """
        current = self._current
        if current is None or self._state.now < self._move_at:
            return
        self._move_at = self._state.now + self._state.policy.reservation_wait
        job = self._state.jobs[current.job_id]
        found = self._forecast.earliest(job, current.use)
        if found is not None and found.at < current.start_at:
            self.drop()
            self._set(job, current.use, found)
        else:
            self._set_timer(min(current.start_at, self._move_at))

    def _reserve(self, job: Job) -> bool:
        wanted = job.spec.shape.accelerators
        if not wanted or wanted > self._state.quota_left(job.spec.workspace):
            return False
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        found = self._forecast.earliest(job, use)
        if found is None:
            return False
        self._set(job, use, found)
        return True

    def _set(self, job: Job, use: Use, found: Opening) -> None:
        now = self._state.now
        start_by = found.at + self._state.policy.reclaim_bound
        self._current = Reservation(
            job.job_id,
            found.shares,
            use,
            found.at,
            start_by,
            now,
            found.ended,
        )
        self._move_at = now + self._state.policy.reservation_wait
        self._keep(found.shares, 1)
        self._set_timer(min(found.at, self._move_at))

    def _keep(self, shares: Place, sign: int) -> None:
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
            needs_room = current.use is Use.firm
            if needs_room and not worker.has_firm_room(share.accelerators):
                return False
        return True

    def _victims(self, current: Reservation) -> frozenset[str]:
        """Return the jobs that were expected to end, and later borrowers."""
        return frozenset(
            job_id
            for job_id, gang in self._state.gangs.items()
            if gang.use is Use.lent
            and self._state.jobs[job_id].spec.is_checkpointable
            and (
                job_id in current.ended
                or (gang.started_at or self._state.now) >= current.made_at
            )
        )

    def _can_free(self, current: Reservation, victims: frozenset[str]) -> bool:
        """Whether stops alone free the place.

        A claim that has to wait for gangs that cannot be stopped would keep
        the rest of its place idle for an unknown time.
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

    def _is_free(self, current: Reservation) -> bool:
        job = self._state.jobs[current.job_id]
        wanted = job.spec.shape.accelerators
        if wanted > self._state.quota_left(job.spec.workspace):
            return False
        demand = Demand.of(job.spec)
        for share in current.shares:
            worker = self._state.inventory[share.worker_id]
            usable = worker.limit(demand, worker.unclaimed, current.use)
            if usable < share.accelerators:
                return False
        return True
