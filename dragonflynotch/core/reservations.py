"""Reservation for the job that has waited longest."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime

from dragonflynotch.core.claims import Claims
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.forecast import Forecast
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.runtimes import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('Reservation', 'Reservations')


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
    """

    job_id: str
    shares: Place
    use: Use
    start_at: datetime
    start_by: datetime


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
        if current is not None and self._is_valid(current):
            self.drop()
            job = self._state.jobs[current.job_id]
            self._claims.add_reserved(job, current.shares, current.use)
        self._search_at = None

    def window_for(self, job: Job) -> Iterable[str]:
        """Return the reserved workers that a job may use until their time.

        A job may run beside a reservation if it can be checkpointed and if
        runs of its kind usually end before the reservation needs the
        accelerators.
        """
        current = self._current
        if current is None or not job.spec.is_checkpointable:
            return ()
        needed = self._run_times.estimate(job.spec) - job.work_done
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

    def _reserve(self, job: Job) -> bool:
        wanted = job.spec.shape.accelerators
        if not wanted or wanted > self._state.quota_left(job.spec.workspace):
            return False
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        found = self._forecast.earliest(job, use)
        if found is None:
            return False
        start_by = found.at + self._state.policy.reclaim_bound
        self._current = Reservation(
            job.job_id, found.shares, use, found.at, start_by
        )
        self._keep(found.shares, 1)
        self._set_timer(found.at)
        return True

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
