"""Claims: accelerators that are being freed for one waiting job.

A claim is made for a job under a guarantee of its workspace, or for a job whose
reservation is due. Gangs that hold the claimed accelerators are stopped, and
the job starts once all of them are free.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.gangs import Gang, GangPhase, Outcome
from dragonflynotch.core.guarantee_registry import (
    GuaranteeRegistry,
    PlacedGuarantee,
)
from dragonflynotch.core.guarantees import Placement
from dragonflynotch.core.inventory import Allocation, AllocationKind, Demand
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.victims import Shortfall, choose_victims

__all__ = ('Claim', 'Claims')

_NO_CHECKPOINT = timedelta()


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim of a waiting job to accelerators that other gangs may hold.

    Parameters
    ----------
    job_id : str
        Job that will run on the accelerators.
    shares : tuple of Share
        Claimed accelerators.
    allocations : tuple of Allocation
        Claimed accelerators, cores and memory. Only the number of accelerator
        indexes counts; which ones the job gets is decided at its start.
    allocation_kind : AllocationKind
        Right under which the job will hold the accelerators.
    guarantee_id : int or None
        Identifier of the guarantee that the claim is based on.
    placement : tuple of Share or None
        Placement of the guarantee; the claim ends when the guarantee moves.
    is_immediate : bool
        Whether gangs are stopped without a new checkpoint.
    start_by : datetime
        When the accelerators are free at the latest.
    victims : frozenset of str or None
        Jobs whose gangs may be stopped; None if any job may be affected.
    """

    job_id: str
    shares: Placement
    allocations: tuple[Allocation, ...]
    allocation_kind: AllocationKind
    guarantee_id: int | None
    placement: Placement | None
    is_immediate: bool
    start_by: datetime
    victims: frozenset[str] | None = None


class Claims:
    """The claims of a partition, in the order in which they were made.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Stops and starts gangs.
    guarantees : GuaranteeRegistry
        Guarantees in force.
    """

    def __init__(
        self,
        state: PartitionState,
        gangs: GangControl,
        guarantees: GuaranteeRegistry,
    ) -> None:
        """Start without claims."""
        self._state = state
        self._gangs = gangs
        self._guarantees = guarantees
        self._claims: dict[str, Claim] = {}

    def __iter__(self) -> Iterator[Claim]:
        """Iterate over the claims in the order in which they were made."""
        return iter(self._claims.values())

    def find(self, job_id: str) -> Claim | None:
        """Return the claim of a job, or None."""
        return self._claims.get(job_id)

    def clear(self) -> None:
        """Remove all claims, after the state was reset."""
        self._claims.clear()

    def add_guaranteed(
        self, job: Job, placed: PlacedGuarantee, shares: Placement
    ) -> None:
        """Claim a part of a guarantee for a job of its owner."""
        is_immediate = placed.guarantee.is_urgent or job.spec.is_urgent
        placed.begin_use(shares)
        self._add(
            Claim(
                job.job_id,
                shares,
                self._planned_allocations(
                    job, shares, AllocationKind.guaranteed
                ),
                AllocationKind.guaranteed,
                placed.guarantee_id,
                placed.placement,
                is_immediate,
                self._state.now + self._time_to_free(is_immediate=is_immediate),
            )
        )

    def add_reserved(
        self,
        job: Job,
        shares: Placement,
        allocation_kind: AllocationKind,
        victims: frozenset[str],
    ) -> None:
        """Claim the accelerators of a reservation that is due.

        Parameters
        ----------
        job : Job
            The waiting job.
        shares : tuple of Share
            Accelerators to claim.
        allocation_kind : AllocationKind
            Right under which the job will hold them.
        victims : frozenset of str
            Jobs whose gangs may be stopped to free them.
        """
        self._add(
            Claim(
                job.job_id,
                shares,
                self._planned_allocations(job, shares, allocation_kind),
                allocation_kind,
                None,
                None,
                is_immediate=False,
                victims=victims,
                start_by=self._state.now + self._state.policy.reclaim_bound,
            )
        )

    def drop(self, job_id: str) -> None:
        """Remove the claim of a job, if any, without starting the job."""
        claim = self._claims.pop(job_id, None)
        if claim is None:
            return
        self._update_totals(claim, -1)
        placed = self._guarantees.find(claim.guarantee_id)
        if placed is not None and placed.placement is claim.placement:
            placed.end_use(claim.shares)
        self._state.capacity_changed()

    def advance(self) -> None:
        """Start jobs whose accelerators are free, and stop gangs for others."""
        for claim in tuple(self._claims.values()):
            if not self._is_valid(claim):
                self._return_to_queue(claim)
        shortfall = Shortfall(self._state.inventory)
        for claim in sorted(self._claims.values(), key=_has_no_guarantee):
            missing = shortfall.add_claim(claim.allocations)
            if missing:
                self._stop_victims(claim, missing)
            else:
                self._start(claim)

    def _time_to_free(self, *, is_immediate: bool) -> timedelta:
        policy = self._state.policy
        if is_immediate:
            return policy.stop_bound + policy.task_lease
        return policy.reclaim_bound

    def _add(self, claim: Claim) -> None:
        self._state.queue.remove(self._state.jobs[claim.job_id])
        self._claims[claim.job_id] = claim
        self._update_totals(claim, 1)

    def _update_totals(self, claim: Claim, sign: int) -> None:
        for allocation in claim.allocations:
            worker = self._state.inventory.find(allocation.worker_id)
            if worker is not None:
                worker.claimed.add(allocation, sign)
                self._state.inventory.refresh(worker)
        workspace = self._state.jobs[claim.job_id].spec.workspace
        self._state.accelerators_by_workspace[workspace] += sign * sum(
            share.accelerators for share in claim.shares
        )

    def _is_valid(self, claim: Claim) -> bool:
        for share in claim.shares:
            worker = self._state.inventory.find(share.worker_id)
            if worker is None or not worker.is_usable:
                return False
        if claim.guarantee_id is None:
            return True
        placed = self._guarantees.find(claim.guarantee_id)
        return placed is not None and placed.placement is claim.placement

    def _start(self, claim: Claim) -> None:
        self._claims.pop(claim.job_id)
        self._update_totals(claim, -1)
        self._gangs.launch(
            Launch(
                self._state.jobs[claim.job_id],
                claim.shares,
                claim.allocation_kind,
                claim.guarantee_id,
            )
        )

    def _stop_victims(
        self, claim: Claim, missing: tuple[Allocation, ...]
    ) -> None:
        victims = choose_victims(
            self._state,
            missing,
            includes_firm=claim.guarantee_id is not None,
            allowed_jobs=claim.victims,
        )
        for gang in victims:
            self._stop_gang(gang, claim)
        if claim.guarantee_id is None and not victims:
            # The owner of a guarantee took the accelerators, and no gang that
            # is stopping would free them again.
            self._return_to_queue(claim)

    def _return_to_queue(self, claim: Claim) -> None:
        self.drop(claim.job_id)
        self._state.enqueue(self._state.jobs[claim.job_id])

    def _stop_gang(self, gang: Gang, claim: Claim) -> None:
        spec = self._state.jobs[gang.job_id].spec
        is_stopping = gang.phase is GangPhase.stopping
        if is_stopping and not claim.is_immediate:
            return
        checkpoint_limit = self._state.policy.checkpoint_bound
        if claim.is_immediate or not spec.is_checkpointable:
            checkpoint_limit = _NO_CHECKPOINT
        self._gangs.stop(
            gang,
            Outcome.requeue,
            f'preempted: accelerators reclaimed for job {claim.job_id}',
            checkpoint_limit=checkpoint_limit,
        )

    def _planned_allocations(
        self, job: Job, shares: Placement, allocation_kind: AllocationKind
    ) -> tuple[Allocation, ...]:
        demand = Demand.of(job.spec)
        return tuple(
            _planned_allocation(share, demand, allocation_kind)
            for share in shares
        )


def _has_no_guarantee(claim: Claim) -> bool:
    # Claims under guarantees sort first: a reservation may wait for a long time
    # on one worker and must not delay the owner of a guarantee on another.
    return claim.guarantee_id is None


def _planned_allocation(
    share: Share, demand: Demand, allocation_kind: AllocationKind
) -> Allocation:
    return Allocation(
        share.worker_id,
        tuple(range(share.accelerators)),
        demand.millicores * share.accelerators,
        demand.memory_mb * share.accelerators,
        allocation_kind,
    )
