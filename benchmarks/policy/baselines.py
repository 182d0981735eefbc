"""Baseline policies that the partition scheduler is compared with."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

from benchmarks.policy.capacity import Capacity
from benchmarks.policy.fitting import BestFit, FirstFit, Fit
from benchmarks.policy.gangs import GangScheduler, Launch
from dragonflynotch.core.jobs import Job, JobSpec, Member, PriorityClass

__all__ = ('BestFitPacking', 'EasyBackfill', 'PriorityBackfill', 'StrictFifo')


class StrictFifo(GangScheduler):
    """Starts jobs strictly in order of arrival, placed by first fit.

    A job that does not fit blocks all later jobs.
    """

    def __init__(self) -> None:
        """Use first-fit placement."""
        super().__init__(FirstFit())

    def _select(self, now: datetime) -> Iterator[Launch]:
        for job in self._ordered_queue():
            members = self._place(job)
            if not members:
                return
            yield Launch(job, members)


class BestFitPacking(GangScheduler):
    """Starts every job that fits, in order of arrival, placed by best fit."""

    def __init__(self) -> None:
        """Use best-fit placement."""
        super().__init__(BestFit())

    def _select(self, now: datetime) -> Iterator[Launch]:
        for job in self._ordered_queue():
            members = self._place(job)
            if members:
                yield Launch(job, members)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Earliest start of the head of the queue and the free capacity then."""

    spec: JobSpec
    excluded: frozenset[str]
    starts_at: datetime
    capacity: Capacity


class EasyBackfill(GangScheduler):
    """EASY backfill: reserves capacity for the first job that has to wait.

    A later job starts if it fits now and either ends before the reservation
    begins, according to its declared run time, or leaves enough capacity for
    the reserved job.
    """

    def __init__(self, fit: Fit | None = None) -> None:
        """Use the given placement, by default best fit."""
        super().__init__(fit or BestFit())

    def _select(self, now: datetime) -> Iterator[Launch]:
        reservation: _Reservation | None = None
        for job in self._ordered_queue():
            members = self._place(job)
            if reservation is None:
                if members:
                    yield Launch(job, members)
                else:
                    reservation = self._reserve(job, now)
            elif members and self._may_backfill(job, members, reservation, now):
                yield Launch(job, members)

    def _reserve(self, job: Job, now: datetime) -> _Reservation:
        capacity = self._capacity.copy()
        starts_at = now
        excluded = self._excluded_workers(job)
        for release in self._releases(now):
            capacity.give(release.members, release.spec)
            starts_at = release.at
            if self._fit.place(job.spec, capacity, excluded):
                break
        return _Reservation(job.spec, excluded, starts_at, capacity)

    def _may_backfill(
        self,
        job: Job,
        members: tuple[Member, ...],
        reservation: _Reservation,
        now: datetime,
    ) -> bool:
        if now + job.spec.declared_run_time <= reservation.starts_at:
            return True
        reservation.capacity.take(members, job.spec)
        still_fits = self._fit.place(
            reservation.spec, reservation.capacity, reservation.excluded
        )
        if not still_fits:
            reservation.capacity.give(members, job.spec)
        return bool(still_fits)


class PriorityBackfill(EasyBackfill):
    """EASY backfill with the queue ordered by priority class first."""

    def _sort_key(self, job: Job) -> tuple[int, datetime, str]:
        rank = _PRIORITY_RANKS[job.spec.priority]
        return (rank, job.submitted_at, job.job_id)


_PRIORITY_RANKS = {
    priority: rank for rank, priority in enumerate(PriorityClass)
}
