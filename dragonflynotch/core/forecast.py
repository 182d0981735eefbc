"""When and where a job is expected to fit."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.capacity import CapacityMap
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
# A gang that gives way has run for long enough to be worth its start.
_SHORTEST_TURN = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class Opening:
    """Accelerators that are expected to be free from some time on."""

    shares: Place
    at: datetime
    ended: frozenset[str] = frozenset()


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
        ends = self._expected_ends(job)
        for with_firm in (False, True):
            found = self._search(job, use, ends, with_firm=with_firm)
            if found is not None:
                ended = (name for name, end in ends.items() if end <= found.at)
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

    def _expected_ends(self, job: Job) -> dict[str, datetime]:
        return {
            job_id: self._end_for(gang, job)
            for job_id, gang in self._state.gangs.items()
        }

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

    def _search(
        self,
        job: Job,
        use: Use,
        ends: dict[str, datetime],
        *,
        with_firm: bool,
    ) -> Opening | None:
        """Search by bisection; capacity only grows with time."""
        times = sorted({self._state.now, *ends.values()})
        found = self._place(job, use, ends, times[-1], with_firm=with_firm)
        if not found:
            return None
        opening = Opening(found, times[-1])
        low = 0
        high = len(times) - 1
        while low < high:
            middle = (low + high) // 2
            found = self._place(
                job, use, ends, times[middle], with_firm=with_firm
            )
            if found:
                opening = Opening(found, times[middle])
                high = middle
            else:
                low = middle + 1
        return opening

    def _place(
        self,
        job: Job,
        use: Use,
        ends: dict[str, datetime],
        at: datetime,
        *,
        with_firm: bool,
    ) -> Place:
        demand = Demand.of(job.spec)
        avoided = self._state.avoided.get(job.job_id, ())
        capacity = CapacityMap()
        for worker in self._state.inventory:
            if worker.is_usable and worker.worker.worker_id not in avoided:
                held = self._held_after(worker, ends, at, with_firm)
                usable = _room(worker, use, with_firm=with_firm) - held
                capacity.set(
                    worker.rack,
                    worker.worker.worker_id,
                    worker.machine_limit(demand, max(0, usable)),
                )
        return self._state.placer.place(job.spec.shape, capacity, _unlimited)

    def _held_after(
        self,
        worker: WorkerState,
        ends: dict[str, datetime],
        at: datetime,
        with_firm: bool,
    ) -> int:
        """Return the accelerators that are still held at a time."""
        worker_id = worker.worker.worker_id
        return sum(
            len(gang.members[worker_id].allocation.accelerators)
            for gang in self._holders(worker_id, with_firm=with_firm)
            if ends[gang.job_id] > at
            or (gang.use is Use.firm and not with_firm)
        )

    def _holders(self, worker_id: str, *, with_firm: bool) -> Sequence[Gang]:
        """Return the gangs that stand in the way.

        Outside of guarantees the gangs that use one do not.
        """
        return [
            gang
            for gang in self._state.gangs_on(worker_id)
            if gang.members[worker_id].holds
            and (with_firm or gang.use is not Use.guaranteed)
        ]


def _room(worker: WorkerState, use: Use, *, with_firm: bool) -> int:
    total = worker.worker.accelerators - worker.claimed.accelerators
    if with_firm and use is Use.lent:
        return total
    return total - worker.guaranteed


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
