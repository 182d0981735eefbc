"""When and where a job is expected to fit."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Demand, Use, WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.runtimes import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('Forecast', 'Opening')

# A run beyond its estimate is expected to go on for a part of the time that it
# has taken, because long runs have long rests.
_OVERRUN_DIVISOR = 4
_SHORTEST_REST = timedelta(minutes=1)
_STRETCH_FACTOR = 8
_SHORTEST_STRETCH = 512
# Each time tried costs a visit of all workers of the stretch.
_TIMES_TRIED = 64
# A gang that gives way has run for long enough to be worth its start.
_SHORTEST_TURN = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class Opening:
    """Accelerators that are expected to be free from some time on."""

    shares: Place
    at: datetime
    ended: frozenset[str] = frozenset()


class _Room:
    """What a search counts as usable."""

    def __init__(
        self,
        workers: list[WorkerState],
        ends: dict[str, datetime],
        use: Use,
        *,
        with_firm: bool,
    ) -> None:
        """Store the parts."""
        self.workers = workers
        self.ends = ends
        self.use = use
        self.with_firm = with_firm

    def is_held(self, gang: Gang, at: datetime) -> bool:
        """Whether a gang stands in the way at a time.

        Without firm gangs in the search, those hold their accelerators for
        ever, and gangs inside guarantees are not in the way.
        """
        if not self.with_firm:
            if gang.use is Use.guaranteed:
                return False
            if gang.use is Use.firm:
                return True
        return self.ends[gang.job_id] > at


class Forecast:
    """Expected ends of the running gangs.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    run_times : RunTimes
        Learned run times.
    """

    def __init__(self, state: PartitionState, run_times: RunTimes) -> None:
        """Keep the parts."""
        self._state = state
        self._run_times = run_times

    def earliest(self, job: Job, use: Use) -> Opening | None:
        """Return the earliest opening for a job, or None.

        Places outside of guarantees and without gangs that cannot be stopped
        come first, because only there the start has an upper bound.
        """
        for workers in self._search_areas(job):
            ends = self._expected_ends(workers, job)
            for with_firm in (False, True):
                room = _Room(workers, ends, use, with_firm=with_firm)
                found = self._search(job, room)
                if found is not None:
                    ended = (
                        name for name, end in ends.items() if end <= found.at
                    )
                    return Opening(found.shares, found.at, frozenset(ended))
        return None

    def expected_end(self, gang: Gang) -> datetime:
        """Return when a gang is expected to end."""
        now = self._state.now
        job = self._state.jobs[gang.job_id]
        started_at = gang.started_at or now
        needed = self._run_times.estimate(job.spec) - gang.work_before
        rest = (now - started_at) / _OVERRUN_DIVISOR
        return max(started_at + needed, now + max(rest, _SHORTEST_REST))

    def _search_areas(self, job: Job) -> Iterator[list[WorkerState]]:
        """Yield a stretch of racks, and all racks in case it is no use.

        A search costs time for each worker, so it is limited to a stretch
        that holds several times the wanted accelerators and has the most
        free ones now.
        """
        inventory = self._state.inventory
        wanted = job.spec.shape.accelerators * _STRETCH_FACTOR
        racks = _freest_stretch(
            inventory.total.totals(),
            dict(inventory.free.totals()),
            max(wanted, _SHORTEST_STRETCH),
        )
        stretch = [
            inventory[worker_id]
            for rack in racks
            for worker_id in inventory.total.worker_ids(rack)
        ]
        yield stretch
        if len(stretch) < len(inventory):
            yield list(inventory)

    def _expected_ends(
        self, workers: Iterable[WorkerState], job: Job
    ) -> dict[str, datetime]:
        ends: dict[str, datetime] = {}
        for worker in workers:
            for gang in self._state.gangs_on(worker.worker.worker_id):
                if gang.job_id not in ends:
                    ends[gang.job_id] = self._end_for(gang, job)
        return ends

    def _end_for(self, gang: Gang, job: Job) -> datetime:
        end = self.expected_end(gang)
        if not self._yields(gang, job):
            return end
        now = self._state.now
        started_at = gang.started_at or now
        return min(end, max(now, started_at + _SHORTEST_TURN))

    def _yields(self, gang: Gang, job: Job) -> bool:
        """Whether a gang gives way to a job before its end.

        Large gangs rarely find room by themselves, and the gangs that gave way
        find room more easily again. Among gangs of one size the older job has
        the right of way.
        """
        running = self._state.jobs[gang.job_id]
        spec = running.spec
        by_size = (gang.accelerators, -running.submitted_at.timestamp())
        wanted = job.spec.shape.accelerators
        return (
            gang.use is Use.lent
            and spec.is_checkpointable
            and spec.priority.rank >= job.spec.priority.rank
            and by_size < (wanted, -job.submitted_at.timestamp())
        )

    def _search(self, job: Job, room: _Room) -> Opening | None:
        """Search by bisection; capacity only grows with time."""
        times = _spread({self._state.now, *room.ends.values()})
        found = self._place(job, room, times[-1])
        if not found:
            return None
        opening = Opening(found, times[-1])
        low = 0
        high = len(times) - 1
        while low < high:
            middle = (low + high) // 2
            found = self._place(job, room, times[middle])
            if found:
                opening = Opening(found, times[middle])
                high = middle
            else:
                low = middle + 1
        return opening

    def _place(self, job: Job, room: _Room, at: datetime) -> Place:
        demand = Demand.of(job.spec)
        avoided = self._state.avoided.get(job.job_id, ())
        capacity = CapacityMap()
        for worker in room.workers:
            if worker.is_usable and worker.worker.worker_id not in avoided:
                held = self._held_after(worker, room, at)
                usable = max(0, _outside(worker, room) - held)
                capacity.set(
                    worker.rack,
                    worker.worker.worker_id,
                    worker.machine_limit(demand, usable),
                )
        return self._state.placer.place(job.spec.shape, capacity, _unlimited)

    def _held_after(
        self, worker: WorkerState, room: _Room, at: datetime
    ) -> int:
        """Return the accelerators that are still held at a time."""
        worker_id = worker.worker.worker_id
        return sum(
            len(gang.members[worker_id].allocation.accelerators)
            for gang in self._state.gangs_on(worker_id)
            if gang.members[worker_id].holds and room.is_held(gang, at)
        )


def _outside(worker: WorkerState, room: _Room) -> int:
    total = worker.worker.accelerators - worker.claimed.accelerators
    if room.with_firm and room.use is Use.lent:
        return total
    return total - worker.guaranteed


def _spread(times: set[datetime]) -> list[datetime]:
    """Return a few of the times, evenly spread, with the last one."""
    ranked = sorted(times)
    step = max(1, len(ranked) // _TIMES_TRIED)
    return sorted({*ranked[::step], ranked[-1]})


def _freest_stretch(
    totals: list[tuple[RackKey, int]], free: dict[RackKey, int], wanted: int
) -> list[RackKey]:
    """Return the shortest stretch with enough capacity and the most free."""
    best = (-1, 0, len(totals))
    capacity = 0
    idle = 0
    first = 0
    for last, (rack, total) in enumerate(totals):
        capacity += total
        idle += free.get(rack, 0)
        while capacity - totals[first][1] >= wanted:
            capacity -= totals[first][1]
            idle -= free.get(totals[first][0], 0)
            first += 1
        if capacity >= wanted and idle > best[0]:
            best = (idle, first, last + 1)
    return [key for key, _ in totals[best[1] : best[2]]]


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
