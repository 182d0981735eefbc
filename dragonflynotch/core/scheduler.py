"""Starts waiting jobs in order as far as they fit."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantee_book import GuaranteeBook, PlacedGuarantee
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.waiting_queue import QueueGroup

__all__ = ('Blocked', 'Scheduler')


@dataclass(frozen=True, slots=True)
class Blocked:
    """A job cannot start now.

    Parameters
    ----------
    reason : str
        Why, in one sentence.
    """

    reason: str


class Scheduler:
    """Tries the first job of each group of equal jobs, in queue order.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Starts the gangs.
    book : GuaranteeBook
        Guarantees in force.
    """

    def __init__(
        self, state: PartitionState, gangs: GangControl, book: GuaranteeBook
    ) -> None:
        """Keep the parts."""
        self._state = state
        self._gangs = gangs
        self._book = book

    def run(self) -> None:
        """Start every waiting job that can start now.

        A group that could not start is tried again only after capacity has
        changed.
        """
        version = self._state.capacity_version
        heads = [
            (group.head_key, number, group)
            for number, group in enumerate(self._state.queue.groups)
            if group.blocked_at != version
        ]
        heapify(heads)
        while heads:
            _, number, group = heappop(heads)
            blocked = self._try_head(group)
            if blocked is not None:
                group.blocked_at = version
                group.blocked_reason = blocked.reason
            elif group:
                heappush(heads, (group.head_key, number, group))

    def _try_head(self, group: QueueGroup) -> Blocked | None:
        job = self._state.jobs[group.head]
        decision = self._decide(job)
        if isinstance(decision, Blocked):
            return decision
        self._launch(decision)
        return None

    def _decide(self, job: Job) -> Launch | Blocked:
        if not job.spec.shape.accelerators:
            return self._decide_without_accelerators(job)
        covered = self._cover(job)
        if covered is not None:
            return covered
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        shares = self._place(job, self._state.inventory.open, use)
        if shares:
            return Launch(job, shares, use)
        return Blocked('waits for free accelerators')

    def _decide_without_accelerators(self, job: Job) -> Launch | Blocked:
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        worker_id = self._state.inventory.find_cores(Demand.of(job.spec), use)
        if worker_id is None:
            return Blocked('waits for free cores and memory')
        return Launch(job, (Share(worker_id, 0),), use)

    def _cover(self, job: Job) -> Launch | None:
        """Return a launch on a guarantee of the job's workspace."""
        for placed in self._book.of_workspace(job.spec.workspace):
            shares = self._place(
                job, self._idle_part(placed, job), Use.guaranteed
            )
            if shares:
                return Launch(job, shares, Use.guaranteed, placed.number)
        return None

    def _idle_part(self, placed: PlacedGuarantee, job: Job) -> CapacityMap:
        capacity = CapacityMap()
        demand = Demand.of(job.spec)
        for worker_id, idle in placed.idle.items():
            worker = self._state.inventory[worker_id]
            if worker.is_usable and worker.share_covers(demand):
                usable = min(idle, worker.idle)
                capacity.set(worker.rack, worker_id, usable)
        return capacity

    def _place(
        self, job: Job, capacity: CapacityMap, use: Use
    ) -> tuple[Share, ...]:
        demand = Demand.of(job.spec)

        def limit(worker_id: str, accelerators: int) -> int:
            worker = self._state.inventory[worker_id]
            return worker.limit(demand, accelerators, use)

        return self._state.placer.place(job.spec.shape, capacity, limit)

    def _launch(self, launch: Launch) -> None:
        if launch.guarantee is not None:
            self._book[launch.guarantee].use(launch.shares)
        self._gangs.launch(launch)
