"""Scheduling pass: starts waiting jobs in queue order where they fit."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.claims import Claims
from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.guarantee_registry import (
    GuaranteeRegistry,
    PlacedGuarantee,
)
from dragonflynotch.core.guarantees import Placement
from dragonflynotch.core.inventory import AllocationKind, Demand
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.preemption import find_preemption
from dragonflynotch.core.reservations import Reservations
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.waiting_queue import QueueGroup

__all__ = ('Blocked', 'Scheduler')

_FINAL_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class Blocked:
    """Decision that a job cannot start now.

    Parameters
    ----------
    reason : str
        Reason shown to the user, in one sentence.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Claimed:
    """Decision that a job waits until its claimed accelerators are free."""


class Scheduler:
    """Decides in each pass which waiting jobs start.

    Tries the first job of each group of jobs with equal requirements, in
    queue order.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Launches the gangs.
    guarantees : GuaranteeRegistry
        Guarantees in force.
    claims : Claims
        Claims on accelerators that other gangs still hold.
    reservations : Reservations
        Reservation for the longest-waiting job.
    run_times : RunTimes
        Run-time estimates learned from finished jobs.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        guarantees: GuaranteeRegistry,
        claims: Claims,
        reservations: Reservations,
        run_times: RunTimes,
    ) -> None:
        """Store the components."""
        self._reservations = reservations
        self._last_tried = (-1, -1)
        self._run_times = run_times
        self._claims = claims
        self._state = state
        self._gangs = gangs
        self._guarantees = guarantees

    def run(self) -> None:
        """Start every waiting job that can start now.

        A blocked group is tried again only after the capacity has changed.
        Claims are advanced before the groups are tried, because they may
        return jobs to the queue, and once more afterwards, because jobs may
        have made new claims.
        """
        self._move_claims_to_guarantees()
        self._claims.advance()
        self._reservations.drop_if_stale()
        self._try_groups()
        self._reservations.advance()
        self._claims.advance()

    def _move_claims_to_guarantees(self) -> None:
        """Serve jobs from their guarantee if it became available.

        Concerns jobs with a claim outside the guarantees of their workspace:
        the claim is dropped, and the job starts on its guarantee or reclaims
        the part of it that others have borrowed.
        """
        for claim in tuple(self._claims):
            job = self._state.jobs[claim.job_id]
            if claim.guarantee_id is None and self._fits_own_guarantee(job):
                self._claims.drop(job.job_id)
                launch = self._plan_in_guarantee(job)
                if launch is None:
                    self._claim(job)
                else:
                    self._launch(launch)

    def _fits_own_guarantee(self, job: Job) -> bool:
        return any(
            self._find_reclaimable(placed, job)
            for placed in self._guarantees.of_workspace(job.spec.workspace)
        )

    def _try_groups(self) -> None:
        versions = (self._state.capacity_version, self._state.queue.additions)
        if versions == self._last_tried:
            return
        self._last_tried = versions
        heads = [
            (group.head_key, number, group)
            for number, group in enumerate(self._state.queue.groups)
            if group.blocked_at_version != self._state.capacity_version
        ]
        heapify(heads)
        while heads:
            _, number, group = heappop(heads)
            blocked = self._try_head(group)
            if blocked is not None:
                group.blocked_at_version = self._state.capacity_version
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
        needed = job.spec.shape.accelerators
        if needed > self._state.remaining_quota(job.spec.workspace):
            return Blocked('waits for the quota of its workspace')
        return (
            self._plan_in_guarantee(job)
            or self._plan_on(job, self._state.inventory.unguaranteed)
            or self._borrow_or_claim(job)
            or self._backfill(job)
            or self._preempt(job)
        ) or Blocked('waits for free accelerators')

    def _plan_on(self, job: Job, capacity: CapacityMap) -> Launch | None:
        allocation_kind = (
            AllocationKind.lent
            if job.spec.is_checkpointable
            else AllocationKind.firm
        )
        shares = self._place(job, capacity, allocation_kind)
        return Launch(job, shares, allocation_kind) if shares else None

    def _borrow_or_claim(self, job: Job) -> Launch | Claimed | None:
        """Prefer borrowing idle accelerators to reclaiming lent ones.

        Urgent jobs claim first, because a job on borrowed accelerators may be
        stopped when their owner needs them.
        """
        if job.spec.is_urgent:
            return self._claim(job) or self._borrow(job)
        return self._borrow(job) or self._claim(job)

    def _borrow(self, job: Job) -> Launch | None:
        """Return a launch on idle guaranteed accelerators.

        Jobs that can be checkpointed may borrow from every guarantee, also
        from urgent ones, because they are checkpointed at an interval. Short
        jobs without checkpoints may be stopped with the loss of little work,
        but they do not borrow from urgent guarantees.
        """
        if job.spec.is_checkpointable:
            return self._plan_on(job, self._state.inventory.free)
        if not self._is_short(job):
            return None
        shares = self._place(
            job, self._state.inventory.outside_urgent, AllocationKind.lent
        )
        return Launch(job, shares, AllocationKind.lent) if shares else None

    def _backfill(self, job: Job) -> Launch | None:
        """Return a launch on reserved accelerators, or None.

        The job is expected to end, or is stopped with a checkpoint, before
        the reservation needs them.
        """
        reserved = [
            self._state.inventory[worker_id]
            for worker_id in self._reservations.backfill_workers(job)
        ]
        capacity = CapacityMap()
        if job.spec.is_checkpointable:
            # Unreserved accelerators of the same racks may be used as well.
            racks = dict.fromkeys(worker.rack for worker in reserved)
            for rack in racks:
                for free, worker_id in self._state.inventory.free.workers(rack):
                    capacity.set(rack, worker_id, free)
        for worker in reserved:
            capacity.set(worker.rack, worker.worker.worker_id, worker.unclaimed)
        return self._plan_on(job, capacity)

    def _preempt(self, job: Job) -> Claimed | None:
        """Claim accelerators of checkpointable gangs of lower priority."""
        allocation_kind = AllocationKind.lent
        if not job.spec.is_checkpointable and not self._is_short(job):
            allocation_kind = AllocationKind.firm
        found = find_preemption(self._state, job, allocation_kind)
        if found is None:
            return None
        self._claims.add_reserved(
            job, found.shares, allocation_kind, found.victims
        )
        return Claimed()

    def _is_short(self, job: Job) -> bool:
        estimate = self._run_times.estimate(job.spec)
        return estimate <= self._state.policy.short_run_limit

    def _claim(self, job: Job) -> Claimed | None:
        """Reclaim borrowed accelerators of a guarantee of the workspace."""
        for placed in self._guarantees.of_workspace(job.spec.workspace):
            shares = self._find_reclaimable(placed, job)
            if shares:
                self._claims.add_guaranteed(job, placed, shares)
                return Claimed()
        return None

    def _find_reclaimable(self, placed: PlacedGuarantee, job: Job) -> Placement:
        capacity = self._guarantee_capacity(placed, job, includes_borrowed=True)
        return self._state.placer.place(job.spec.shape, capacity, _unlimited)

    def _decide_without_accelerators(self, job: Job) -> Launch | Blocked:
        allocation_kind = (
            AllocationKind.lent
            if job.spec.is_checkpointable
            else AllocationKind.firm
        )
        worker_id = self._state.inventory.find_worker_for_cores(
            Demand.of(job.spec), allocation_kind
        )
        if worker_id is None:
            return Blocked('waits for free cores and memory')
        return Launch(job, (Share(worker_id, 0),), allocation_kind)

    def _plan_in_guarantee(self, job: Job) -> Launch | None:
        """Return a launch on idle guaranteed accelerators of the workspace."""
        for placed in self._guarantees.of_workspace(job.spec.workspace):
            shares = self._place(
                job,
                self._guarantee_capacity(placed, job),
                AllocationKind.guaranteed,
            )
            if shares:
                return Launch(
                    job, shares, AllocationKind.guaranteed, placed.guarantee_id
                )
        return None

    def _guarantee_capacity(
        self,
        placed: PlacedGuarantee,
        job: Job,
        *,
        includes_borrowed: bool = False,
    ) -> CapacityMap:
        capacity = CapacityMap()
        demand = Demand.of(job.spec)
        avoided = self._state.avoided_workers.get(job.job_id, ())
        # A job that reclaims its guarantee may be placed on a worker on which
        # it has failed. Only its final attempts before max_failures avoid such
        # workers.
        attempts_left = self._state.policy.max_failures - job.failures
        ignores_avoided = includes_borrowed and attempts_left > _FINAL_ATTEMPTS
        for worker_id, idle in placed.unused_by_worker.items():
            worker = self._state.inventory[worker_id]
            if worker_id in avoided and not ignores_avoided:
                continue
            if worker.is_usable and worker.meets_demand_on_all(demand):
                usable = (
                    idle if includes_borrowed else min(idle, worker.unclaimed)
                )
                capacity.set(worker.rack, worker_id, usable)
        return capacity

    def _place(
        self, job: Job, capacity: CapacityMap, allocation_kind: AllocationKind
    ) -> tuple[Share, ...]:
        demand = Demand.of(job.spec)
        avoided = self._state.avoided_workers.get(job.job_id, frozenset())

        def limit(worker_id: str, accelerators: int) -> int:
            if worker_id in avoided:
                return 0
            worker = self._state.inventory[worker_id]
            return worker.usable_accelerators(
                demand, accelerators, allocation_kind
            )

        return self._state.placer.place(job.spec.shape, capacity, limit)

    def _launch(self, launch: Launch) -> None:
        if launch.guarantee_id is not None:
            self._guarantees[launch.guarantee_id].begin_use(launch.shares)
        self._gangs.launch(launch)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
