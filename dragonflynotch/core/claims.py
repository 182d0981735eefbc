"""Accelerators that are being freed for a job that has a right to them."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.gang_control import GangControl, Launch
from dragonflynotch.core.gangs import Gang, GangPhase, Outcome
from dragonflynotch.core.guarantee_book import GuaranteeBook, PlacedGuarantee
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Allocation, Demand, Use
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.victims import Shortfall, choose_victims

__all__ = ('Claim', 'Claims')

_NO_TIME = timedelta()


@dataclass(frozen=True, slots=True)
class Claim:
    """A right to accelerators that other gangs still hold.

    Parameters
    ----------
    job_id : str
        Job that will run there.
    shares : tuple of Share
        Claimed accelerators.
    allocations : tuple of Allocation
        The same with cores and memory, without accelerator indexes.
    use : Use
        Right under which the job will hold them.
    guarantee : int or None
        Guarantee that gives the right.
    place : tuple of Share or None
        Place of the guarantee; the claim ends when it moves.
    is_immediate : bool
        Whether gangs are stopped without a new checkpoint.
    start_by : datetime
        When the accelerators are free at the latest.
    victims : frozenset of str or None
        Jobs whose gangs may be stopped; None for any borrower.
    """

    job_id: str
    shares: Place
    allocations: tuple[Allocation, ...]
    use: Use
    guarantee: int | None
    place: Place | None
    is_immediate: bool
    start_by: datetime
    victims: frozenset[str] | None = None


class Claims:
    """Claims in the order in which they were made.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    gangs : GangControl
        Stops and starts gangs.
    book : GuaranteeBook
        Guarantees in force.
    """

    def __init__(
        self, state: PartitionState, gangs: GangControl, book: GuaranteeBook
    ) -> None:
        """Start without claims."""
        self._state = state
        self._gangs = gangs
        self._book = book
        self._claims: dict[str, Claim] = {}

    def __iter__(self) -> Iterator[Claim]:
        """Iterate over the claims in order."""
        return iter(self._claims.values())

    def find(self, job_id: str) -> Claim | None:
        """Return the claim of a job, or None."""
        return self._claims.get(job_id)

    def clear(self) -> None:
        """Forget all claims, after the state was reset."""
        self._claims.clear()

    def add_guaranteed(
        self, job: Job, placed: PlacedGuarantee, shares: Place
    ) -> None:
        """Claim a part of a guarantee for its owner and stop borrowers."""
        is_immediate = placed.guarantee.is_urgent or job.spec.is_urgent
        placed.use(shares)
        self._add(
            Claim(
                job.job_id,
                shares,
                self._allocations(job, shares, Use.guaranteed),
                Use.guaranteed,
                placed.number,
                placed.place,
                is_immediate,
                self._state.now + self._bound(is_immediate=is_immediate),
            )
        )

    def add_reserved(
        self, job: Job, shares: Place, use: Use, victims: frozenset[str]
    ) -> None:
        """Claim the accelerators of a reservation whose time has come.

        Parameters
        ----------
        job : Job
            The waiting job.
        shares : tuple of Share
            Accelerators to claim.
        use : Use
            Right under which the job will hold them.
        victims : frozenset of str
            Jobs whose gangs may be stopped for it.
        """
        self._add(
            Claim(
                job.job_id,
                shares,
                self._allocations(job, shares, use),
                use,
                None,
                None,
                is_immediate=False,
                victims=victims,
                start_by=self._state.now + self._state.policy.reclaim_bound,
            )
        )

    def drop(self, job_id: str) -> None:
        """End a claim, if there is one, without starting its job."""
        claim = self._claims.pop(job_id, None)
        if claim is None:
            return
        self._count(claim, -1)
        placed = self._book.find(claim.guarantee)
        if placed is not None and placed.place is claim.place:
            placed.end_use(claim.shares)
        self._state.capacity_changed()

    def advance(self) -> None:
        """Start the jobs whose accelerators are free; stop more if needed."""
        for claim in tuple(self._claims.values()):
            if not self._is_valid(claim):
                self._return_to_queue(claim)
        shortfall = Shortfall(self._state.inventory)
        for claim in sorted(self._claims.values(), key=_has_no_guarantee):
            missing = shortfall.after(claim.allocations)
            if missing:
                self._free(claim, missing)
            else:
                self._start(claim)

    def _bound(self, *, is_immediate: bool) -> timedelta:
        policy = self._state.policy
        if is_immediate:
            return policy.stop_bound + policy.task_lease
        return policy.reclaim_bound

    def _add(self, claim: Claim) -> None:
        self._state.queue.remove(self._state.jobs[claim.job_id])
        self._claims[claim.job_id] = claim
        self._count(claim, 1)

    def _count(self, claim: Claim, sign: int) -> None:
        for allocation in claim.allocations:
            worker = self._state.inventory.find(allocation.worker_id)
            if worker is not None:
                worker.claimed.add(allocation, sign)
                self._state.inventory.refresh(worker)
        workspace = self._state.jobs[claim.job_id].spec.workspace
        self._state.accelerators_of[workspace] += sign * sum(
            share.accelerators for share in claim.shares
        )

    def _is_valid(self, claim: Claim) -> bool:
        for share in claim.shares:
            worker = self._state.inventory.find(share.worker_id)
            if worker is None or not worker.is_usable:
                return False
        if claim.guarantee is None:
            return True
        placed = self._book.find(claim.guarantee)
        return placed is not None and placed.place is claim.place

    def _start(self, claim: Claim) -> None:
        self._claims.pop(claim.job_id)
        self._count(claim, -1)
        self._gangs.launch(
            Launch(
                self._state.jobs[claim.job_id],
                claim.shares,
                claim.use,
                claim.guarantee,
            )
        )

    def _free(self, claim: Claim, missing: tuple[Allocation, ...]) -> None:
        victims = choose_victims(
            self._state,
            missing,
            with_firm=claim.guarantee is not None,
            only=claim.victims,
        )
        for gang in victims:
            self._stop(gang, claim)
        if claim.guarantee is None and not victims:
            # Its place was lost to the owner of a guarantee, and no stop that
            # would bring it back is under way.
            self._return_to_queue(claim)

    def _return_to_queue(self, claim: Claim) -> None:
        self.drop(claim.job_id)
        self._state.enqueue(self._state.jobs[claim.job_id])

    def _stop(self, gang: Gang, claim: Claim) -> None:
        spec = self._state.jobs[gang.job_id].spec
        is_waiting = gang.phase is GangPhase.stopping
        if is_waiting and not claim.is_immediate:
            return
        limit = self._state.policy.checkpoint_bound
        if claim.is_immediate or not spec.is_checkpointable:
            limit = _NO_TIME
        self._gangs.stop(
            gang,
            Outcome.requeue,
            f'gave its accelerators back for job {claim.job_id}',
            checkpoint_limit=limit,
        )

    def _allocations(
        self, job: Job, shares: Place, use: Use
    ) -> tuple[Allocation, ...]:
        demand = Demand.of(job.spec)
        return tuple(_planned(share, demand, use) for share in shares)


def _has_no_guarantee(claim: Claim) -> bool:
    # Guarantees come first: a reservation may wait for long on one worker and
    # must not hold back the owner of a guarantee on another.
    return claim.guarantee is None


def _planned(share: Share, demand: Demand, use: Use) -> Allocation:
    return Allocation(
        share.worker_id,
        tuple(range(share.accelerators)),
        demand.millicores * share.accelerators,
        demand.memory_mb * share.accelerators,
        use,
    )
