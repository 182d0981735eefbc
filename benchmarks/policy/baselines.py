"""The policies that the partition is compared with."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

from benchmarks.policy.capacity import Capacity
from benchmarks.policy.fitting import BestFit, FirstFit, Fit
from benchmarks.policy.gangs import GangScheduler, Launch
from dragonflynotch.core.jobs import Job, JobSpec, Member, PriorityClass

__all__ = ('BestFitPacking', 'EasyBackfill', 'PriorityBackfill', 'StrictFifo')


class StrictFifo(GangScheduler):
    """Starts jobs strictly in order of arrival at the first place that fits."""

    def __init__(self) -> None:
        """Place by first fit."""
        super().__init__(FirstFit())

    def _select(self, now: datetime) -> Iterator[Launch]:
        for job in self._ordered_queue():
            members = self._place(job)
            if not members:
                return
            yield Launch(job, members)


class BestFitPacking(GangScheduler):
    """Starts every job that fits, in order of arrival, packed by best fit."""

    def __init__(self) -> None:
        """Place by best fit."""
        super().__init__(BestFit())

    def _select(self, now: datetime) -> Iterator[Launch]:
        for job in self._ordered_queue():
            members = self._place(job)
            if members:
                yield Launch(job, members)


@dataclass(frozen=True, slots=True)
class _Reservation:
    """When the head of the queue can start, and what is free then."""

    spec: JobSpec
    excluded: frozenset[str]
    starts_at: datetime
    capacity: Capacity


class EasyBackfill(GangScheduler):
    """Reserves for the head of the queue and fills in by declared run times.

    A later job starts if it fits now and, by its declared run time, ends
    before the reservation begins or leaves enough free for it.
    """

    def __init__(self, fit: Fit | None = None) -> None:
        """Place by best fit unless told otherwise."""
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
        rank = _RANKS[job.spec.priority]
        return (rank, job.submitted_at, job.job_id)


_RANKS = {rank: index for index, rank in enumerate(PriorityClass)}
