"""Starts waiting jobs in order as far as they fit."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.claims import Claims
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantee_book import GuaranteeBook, PlacedGuarantee
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.preemption import find_takeover
from dragonflynotch.core.reservations import Reservations
from dragonflynotch.core.runtimes import RunTimes
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.waiting_queue import QueueGroup

__all__ = ('Blocked', 'Scheduler')

_SPARED_FAILURES = 2


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
    run_times : RunTimes
        Learned run times.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        book: GuaranteeBook,
        claims: Claims,
        reservations: Reservations,
        run_times: RunTimes,
    ) -> None:
        """Keep the parts."""
        self._reservations = reservations
        self._seen = (-1, -1)
        self._run_times = run_times
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
        self._cover_claims()
        self._claims.advance()
        self._reservations.drop_if_stale()
        self._try_groups()
        self._reservations.advance()
        self._claims.advance()

    def _cover_claims(self) -> None:
        """Start jobs whose guarantee became idle while they wait elsewhere."""
        for claim in tuple(self._claims):
            job = self._state.jobs[claim.job_id]
            if claim.guarantee is None and self._has_own_place(job):
                self._claims.drop(job.job_id)
                launch = self._cover(job)
                if launch is None:
                    self._claim(job)
                else:
                    self._launch(launch)

    def _has_own_place(self, job: Job) -> bool:
        return any(
            self._own_shares(placed, job)
            for placed in self._book.of_workspace(job.spec.workspace)
        )

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
            or self._borrow_or_claim(job)
            or self._backfill(job)
            or self._take_over(job)
        ) or Blocked('waits for free accelerators')

    def _place_generally(
        self, job: Job, capacity: CapacityMap
    ) -> Launch | None:
        use = Use.lent if job.spec.is_checkpointable else Use.firm
        shares = self._place(job, capacity, use)
        return Launch(job, shares, use) if shares else None

    def _borrow_or_claim(self, job: Job) -> Launch | Claimed | None:
        """Prefer idle accelerators of others to stopping borrowers.

        Urgent jobs do not, because a borrower may have to give way again.
        """
        if job.spec.is_urgent:
            return self._claim(job) or self._borrow(job)
        return self._borrow(job) or self._claim(job)

    def _borrow(self, job: Job) -> Launch | None:
        """Return a launch on idle guaranteed accelerators.

        They are lent to jobs that can be checkpointed. All such jobs get
        checkpoints at an interval, so they may use urgent guarantees too.
        Short jobs without checkpoints can be stopped as well, with the loss
        of little work; they do not get accelerators of urgent guarantees.
        """
        if job.spec.is_checkpointable:
            return self._place_generally(job, self._state.inventory.free)
        if not self._is_short(job):
            return None
        shares = self._place(job, self._state.inventory.stoppable, Use.lent)
        return Launch(job, shares, Use.lent) if shares else None

    def _backfill(self, job: Job) -> Launch | None:
        """Return a launch on reserved accelerators until they are needed."""
        reserved = [
            self._state.inventory[worker_id]
            for worker_id in self._reservations.window_for(job)
        ]
        capacity = CapacityMap()
        if job.spec.is_checkpointable:
            # The rest of the same racks may complete a place.
            racks = dict.fromkeys(worker.rack for worker in reserved)
            for rack in racks:
                for free, worker_id in self._state.inventory.free.workers(rack):
                    capacity.set(rack, worker_id, free)
        for worker in reserved:
            capacity.set(worker.rack, worker.worker.worker_id, worker.unclaimed)
        return self._place_generally(job, capacity)

    def _take_over(self, job: Job) -> Claimed | None:
        """Claim a place of less important gangs that can be checkpointed."""
        use = Use.lent
        if not job.spec.is_checkpointable and not self._is_short(job):
            use = Use.firm
        found = find_takeover(self._state, job, use)
        if found is None:
            return None
        self._claims.add_reserved(job, found.shares, use, found.victims)
        return Claimed()

    def _is_short(self, job: Job) -> bool:
        estimate = self._run_times.estimate(job.spec)
        return estimate <= self._state.policy.short_run

    def _claim(self, job: Job) -> Claimed | None:
        """Claim a part of a guarantee that others have borrowed."""
        for placed in self._book.of_workspace(job.spec.workspace):
            shares = self._own_shares(placed, job)
            if shares:
                self._claims.add_guaranteed(job, placed, shares)
                return Claimed()
        return None

    def _own_shares(self, placed: PlacedGuarantee, job: Job) -> Place:
        capacity = self._idle_part(placed, job, with_borrowed=True)
        return self._state.placer.place(job.spec.shape, capacity, _unlimited)

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
        avoided = self._state.avoided.get(job.job_id, ())
        # The owner of a guarantee gets its place even where it has failed,
        # unless it is about to be given up for its failures.
        failures_left = self._state.policy.max_failures - job.failures
        is_insisting = with_borrowed and failures_left > _SPARED_FAILURES
        for worker_id, idle in placed.idle.items():
            worker = self._state.inventory[worker_id]
            if worker_id in avoided and not is_insisting:
                continue
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
