"""Starts waiting jobs in order as far as they fit."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.claims import Claims
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantee_book import GuaranteeBook, PlacedGuarantee
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.reservations import Reservations
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


@dataclass(frozen=True, slots=True)
class Claimed:
    """A job waits until claimed accelerators are free."""


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
    claims : Claims
        Accelerators that are being freed.
    reservations : Reservations
        Accelerators kept for the longest-waiting job.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        book: GuaranteeBook,
        claims: Claims,
        reservations: Reservations,
    ) -> None:
        """Keep the parts."""
        self._reservations = reservations
        self._seen = (-1, -1)
        self._claims = claims
        self._state = state
        self._gangs = gangs
        self._book = book

    def run(self) -> None:
        """Start every waiting job that can start now.

        A group that could not start is tried again only after capacity has
        changed. Claims come first; they may return jobs to the queue, and
        jobs may make new claims.
        """
        self._claims.advance()
        self._reservations.drop_if_stale()
        self._try_groups()
        self._reservations.advance()
        self._claims.advance()

    def _try_groups(self) -> None:
        seen = (self._state.capacity_version, self._state.queue.additions)
        if seen == self._seen:
            return
        self._seen = seen
        heads = [
            (group.head_key, number, group)
            for number, group in enumerate(self._state.queue.groups)
            if group.blocked_at != self._state.capacity_version
        ]
        heapify(heads)
        while heads:
            _, number, group = heappop(heads)
            blocked = self._try_head(group)
            if blocked is not None:
                group.blocked_at = self._state.capacity_version
                group.blocked_reason = blocked.reason
            elif group:
                heappush(heads, (group.head_key, number, group))

    def _try_head(self, group: QueueGroup) -> Blocked | None:
        job = self._state.jobs[group.head]
        decision = self._decide(job)
        if isinstance(decision, Launch):
            self._launch(decision)
        return decision if isinstance(decision, Blocked) else None

    def _decide(self, job: Job) -> Launch | Claimed | Blocked:
        if not job.spec.shape.accelerators:
            return self._decide_without_accelerators(job)
        wanted = job.spec.shape.accelerators
        if wanted > self._state.quota_left(job.spec.workspace):
            return Blocked('waits for the quota of its workspace')
        return (
            self._cover(job)
            or self._place_generally(job, self._state.inventory.open)
            or self._claim(job)
            or self._borrow(job)
            or self._backfill(job)
            or Blocked('waits for free accelerators')
        )

    def _place_generally(
        self, job: Job, capacity: CapacityMap
    ) -> Launch | None:
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        shares = self._place(job, capacity, use)
        return Launch(job, shares, use) if shares else None

    def _borrow(self, job: Job) -> Launch | None:
        """Return a launch on idle guaranteed accelerators.

        They are lent only to jobs that can be checkpointed. All such jobs get
        checkpoints at an interval, so they may use urgent guarantees too.
        """
        if not job.spec.is_checkpointable:
            return None
        return self._place_generally(job, self._state.inventory.free)

    def _backfill(self, job: Job) -> Launch | None:
        """Return a launch on reserved accelerators until they are needed."""
        capacity = CapacityMap()
        for worker_id in self._reservations.window_for(job):
            worker = self._state.inventory[worker_id]
            capacity.set(worker.rack, worker_id, worker.unclaimed)
        return self._place_generally(job, capacity)

    def _claim(self, job: Job) -> Claimed | None:
        """Claim a part of a guarantee that others have borrowed."""
        for placed in self._book.of_workspace(job.spec.workspace):
            capacity = self._idle_part(placed, job, with_borrowed=True)
            shares = self._state.placer.place(
                job.spec.shape, capacity, _unlimited
            )
            if shares:
                self._claims.add_guaranteed(job, placed, shares)
                return Claimed()
        return None

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

    def _idle_part(
        self,
        placed: PlacedGuarantee,
        job: Job,
        *,
        with_borrowed: bool = False,
    ) -> CapacityMap:
        capacity = CapacityMap()
        demand = Demand.of(job.spec)
        for worker_id, idle in placed.idle.items():
            worker = self._state.inventory[worker_id]
            if worker.is_usable and worker.share_covers(demand):
                usable = idle if with_borrowed else min(idle, worker.unclaimed)
                capacity.set(worker.rack, worker_id, usable)
        return capacity

    def _place(
        self, job: Job, capacity: CapacityMap, use: Use
    ) -> tuple[Share, ...]:
        demand = Demand.of(job.spec)
        avoided = self._state.avoided.get(job.job_id, frozenset())

        def limit(worker_id: str, accelerators: int) -> int:
            if worker_id in avoided:
                return 0
            worker = self._state.inventory[worker_id]
            return worker.limit(demand, accelerators, use)

        return self._state.placer.place(job.spec.shape, capacity, limit)

    def _launch(self, launch: Launch) -> None:
        if launch.guarantee is not None:
            self._book[launch.guarantee].use(launch.shares)
        self._gangs.launch(launch)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
