"""Forecast of when and where a waiting job is expected to fit."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.guarantees import Placement
from dragonflynotch.core.inventory import AllocationKind, Demand, WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('ExpectedPlacement', 'Forecast')

# A run that exceeds its estimate is expected to continue for a fraction of the
# time that it has taken, because longer runs have longer remaining times.
_OVERRUN_DIVISOR = 4
_MIN_REMAINING = timedelta(minutes=1)
_SEARCH_AREA_FACTOR = 8
_MIN_SEARCH_AREA_ACCELERATORS = 512
# Approximate number of release times tried by a search; each of them costs a
# visit of all workers of the search area.
_TIMES_SAMPLED = 64
# A gang runs at least this long before it is expected to be preempted, so that
# its start was worth the cost.
_MIN_RUN_BEFORE_PREEMPTION = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class ExpectedPlacement:
    """Accelerators that are expected to be free from some time on.

    Parameters
    ----------
    shares : tuple of Share
        Accelerators on each worker.
    start_at : datetime
        When they are expected to be free.
    ending_jobs : frozenset of str
        Jobs whose gangs are expected to have ended, or may be preempted, by
        ``start_at``.
    """

    shares: Placement
    start_at: datetime
    ending_jobs: frozenset[str] = frozenset()


class _SearchScope:
    """Workers that a search covers and when their gangs release them.

    Parameters
    ----------
    workers : list of WorkerState
        Workers to search.
    release_times : dict of str to datetime
        Expected release time of each gang on them, by job.
    allocation_kind : AllocationKind
        Whether the job would hold the accelerators as firm or as lent.
    with_firm : bool
        Whether accelerators of firm gangs are expected to become free.
    """

    def __init__(
        self,
        workers: list[WorkerState],
        release_times: dict[str, datetime],
        allocation_kind: AllocationKind,
        *,
        with_firm: bool,
    ) -> None:
        """Store the scope."""
        self.workers = workers
        self.release_times = release_times
        self.allocation_kind = allocation_kind
        self.with_firm = with_firm

    def is_held(self, gang: Gang, at: datetime) -> bool:
        """Whether a gang still holds accelerators of the scope at a time.

        Without ``with_firm``, firm gangs count as never ending, and gangs on
        guarantees do not count, because guaranteed accelerators are excluded.
        """
        if not self.with_firm:
            if gang.allocation_kind is AllocationKind.guaranteed:
                return False
            if gang.allocation_kind is AllocationKind.firm:
                return True
        return self.release_times[gang.job_id] > at


class Forecast:
    """Predicts placements from the expected ends of the running gangs.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    run_times : RunTimes
        Run-time estimates learned from finished jobs.
    """

    def __init__(self, state: PartitionState, run_times: RunTimes) -> None:
        """Store the components."""
        self._state = state
        self._run_times = run_times

    def find_earliest(
        self, job: Job, allocation_kind: AllocationKind
    ) -> ExpectedPlacement | None:
        """Return the earliest expected placement for a job, or None.

        Accelerators outside of guarantees that no firm gang holds are
        searched first, because only there the start has an upper bound.
        """
        for workers in self._search_areas(job):
            release_times = self._release_times(workers, job)
            for with_firm in (False, True):
                scope = _SearchScope(
                    workers, release_times, allocation_kind, with_firm=with_firm
                )
                found = self._search(job, scope)
                if found is not None:
                    ending_jobs = (
                        job_id
                        for job_id, end in release_times.items()
                        if end <= found.start_at
                    )
                    return ExpectedPlacement(
                        found.shares, found.start_at, frozenset(ending_jobs)
                    )
        return None

    def expected_end(self, gang: Gang) -> datetime:
        """Return when a gang is expected to end."""
        now = self._state.now
        job = self._state.jobs[gang.job_id]
        started_at = gang.started_at or now
        needed = self._run_times.estimate(job.spec) - gang.prior_work
        remaining = (now - started_at) / _OVERRUN_DIVISOR
        return max(started_at + needed, now + max(remaining, _MIN_REMAINING))

    def _search_areas(self, job: Job) -> Iterator[list[WorkerState]]:
        """Yield the workers of some consecutive racks, then all workers.

        The cost of a search grows with the number of workers. The first area
        therefore has only several times the needed accelerators, and of all
        such areas the most free accelerators now.
        """
        inventory = self._state.inventory
        needed = job.spec.shape.accelerators * _SEARCH_AREA_FACTOR
        racks = _find_freest_racks(
            inventory.total.totals(),
            dict(inventory.free.totals()),
            max(needed, _MIN_SEARCH_AREA_ACCELERATORS),
        )
        area = [
            inventory[worker_id]
            for rack in racks
            for worker_id in inventory.total.worker_ids(rack)
        ]
        yield area
        if len(area) < len(inventory):
            yield list(inventory)

    def _release_times(
        self, workers: Iterable[WorkerState], job: Job
    ) -> dict[str, datetime]:
        release_times: dict[str, datetime] = {}
        for worker in workers:
            for gang in self._state.gangs_on(worker.worker.worker_id):
                if gang.job_id not in release_times:
                    release_times[gang.job_id] = self._release_time(gang, job)
        return release_times

    def _release_time(self, gang: Gang, job: Job) -> datetime:
        """Return when a gang is expected to end or to be preempted."""
        end = self.expected_end(gang)
        if not self._may_be_preempted(gang, job):
            return end
        now = self._state.now
        started_at = gang.started_at or now
        return min(end, max(now, started_at + _MIN_RUN_BEFORE_PREEMPTION))

    def _may_be_preempted(self, gang: Gang, job: Job) -> bool:
        """Whether a gang may be preempted for a job before its end.

        Smaller gangs are preempted for larger ones, because free accelerators
        for a large gang rarely occur by chance, while a small gang starts
        again soon. Among gangs of equal size, the older job takes precedence.
        """
        running = self._state.jobs[gang.job_id]
        spec = running.spec
        size_and_age = (gang.accelerators, -running.submitted_at.timestamp())
        needed = job.spec.shape.accelerators
        return (
            gang.allocation_kind is AllocationKind.lent
            and spec.is_checkpointable
            and spec.priority.rank >= job.spec.priority.rank
            and size_and_age < (needed, -job.submitted_at.timestamp())
        )

    def _search(
        self, job: Job, scope: _SearchScope
    ) -> ExpectedPlacement | None:
        """Search the times by bisection, as capacity only grows with time."""
        times = _sample_times({self._state.now, *scope.release_times.values()})
        found = self._place(job, scope, times[-1])
        if not found:
            return None
        placement = ExpectedPlacement(found, times[-1])
        low = 0
        high = len(times) - 1
        while low < high:
            middle = (low + high) // 2
            found = self._place(job, scope, times[middle])
            if found:
                placement = ExpectedPlacement(found, times[middle])
                high = middle
            else:
                low = middle + 1
        return placement

    def _place(self, job: Job, scope: _SearchScope, at: datetime) -> Placement:
        demand = Demand.of(job.spec)
        avoided = self._state.avoided_workers.get(job.job_id, ())
        capacity = CapacityMap()
        for worker in scope.workers:
            if worker.is_usable and worker.worker.worker_id not in avoided:
                held = self._held_after(worker, scope, at)
                usable = max(0, _searchable_accelerators(worker, scope) - held)
                capacity.set(
                    worker.rack,
                    worker.worker.worker_id,
                    worker.usable_when_idle(demand, usable),
                )
        return self._state.placer.place(job.spec.shape, capacity, _unlimited)

    def _held_after(
        self, worker: WorkerState, scope: _SearchScope, at: datetime
    ) -> int:
        """Return how many accelerators are still held at a time."""
        worker_id = worker.worker.worker_id
        return sum(
            len(gang.members[worker_id].allocation.accelerators)
            for gang in self._state.gangs_on(worker_id)
            if gang.members[worker_id].holds and scope.is_held(gang, at)
        )


def _searchable_accelerators(worker: WorkerState, scope: _SearchScope) -> int:
    """Return how many accelerators of a worker the search may use."""
    total = worker.worker.accelerators - worker.claimed.accelerators
    if scope.with_firm and scope.allocation_kind is AllocationKind.lent:
        return total
    return total - worker.guaranteed


def _sample_times(times: set[datetime]) -> list[datetime]:
    """Return evenly spaced samples of the times, always with the last one."""
    ranked = sorted(times)
    step = max(1, len(ranked) // _TIMES_SAMPLED)
    return sorted({*ranked[::step], ranked[-1]})


def _find_freest_racks(
    totals: list[tuple[RackKey, int]], free: dict[RackKey, int], needed: int
) -> list[RackKey]:
    """Return consecutive racks with enough capacity and the most free.

    Of the racks that end at one position, only the shortest sufficient range
    is considered.
    """
    best = (-1, 0, len(totals))
    capacity = 0
    idle = 0
    first = 0
    for last, (rack, total) in enumerate(totals):
        capacity += total
        idle += free.get(rack, 0)
        while capacity - totals[first][1] >= needed:
            capacity -= totals[first][1]
            idle -= free.get(totals[first][0], 0)
            first += 1
        if capacity >= needed and idle > best[0]:
            best = (idle, first, last + 1)
    return [key for key, _ in totals[best[1] : best[2]]]


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
