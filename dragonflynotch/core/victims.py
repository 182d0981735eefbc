"""Selection of the gangs to stop so that claimed resources become free."""

from collections.abc import Collection, Iterable, Sequence

from dragonflynotch.core.gangs import Gang, GangPhase
from dragonflynotch.core.inventory import Allocation, AllocationKind, Inventory
from dragonflynotch.core.state import PartitionState

__all__ = ('Shortfall', 'choose_victims')


class _Need:
    """Resources still missing on one worker for the claims on it."""

    __slots__ = ('accelerators', 'memory_mb', 'millicores')

    def __init__(
        self, accelerators: int, millicores: int, memory_mb: int
    ) -> None:
        """Store the amounts; a negative amount is a surplus."""
        self.accelerators = accelerators
        self.millicores = millicores
        self.memory_mb = memory_mb

    @property
    def is_met(self) -> bool:
        """Whether nothing is missing."""
        return max(self.accelerators, self.millicores, self.memory_mb) <= 0

    def change(self, allocation: Allocation, sign: int) -> None:
        """Add or subtract an allocation."""
        self.accelerators += sign * len(allocation.accelerators)
        self.millicores += sign * allocation.millicores
        self.memory_mb += sign * allocation.memory_mb

    def is_reduced_by(self, allocation: Allocation) -> bool:
        """Whether freeing an allocation would reduce what is missing."""
        return (
            (self.accelerators > 0 and len(allocation.accelerators) > 0)
            or (self.millicores > 0 and allocation.millicores > 0)
            or (self.memory_mb > 0 and allocation.memory_mb > 0)
        )


class Shortfall:
    """Resources that claims still lack, with earlier claims served first.

    Parameters
    ----------
    inventory : Inventory
        Workers and what is in use on them.
    """

    def __init__(self, inventory: Inventory) -> None:
        """Start without claims."""
        self._inventory = inventory
        self._needs: dict[str, _Need] = {}

    def add_claim(
        self, allocations: Iterable[Allocation]
    ) -> tuple[Allocation, ...]:
        """Add a claim and return those of its allocations that are not free."""
        missing = []
        for allocation in allocations:
            need = self._need(allocation.worker_id)
            need.change(allocation, 1)
            if not need.is_met:
                missing.append(allocation)
        return tuple(missing)

    def _need(self, worker_id: str) -> _Need:
        need = self._needs.get(worker_id)
        if need is None:
            idle = self._inventory[worker_id].idle_resources
            need = _Need(-idle[0], -idle[1], -idle[2])
            self._needs[worker_id] = need
        return need


def choose_victims(
    state: PartitionState,
    missing: Sequence[Allocation],
    *,
    includes_firm: bool,
    allowed_jobs: Collection[str] | None = None,
) -> list[Gang]:
    """Return the gangs to stop; those that lose the least work are preferred.

    Gangs that are already stopping come first in the result, so that the
    caller can shorten their stop.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    missing : sequence of Allocation
        Claimed allocations that are not free.
    includes_firm : bool
        Whether firm gangs, which cannot be checkpointed, may be stopped as a
        last resort. They hold guaranteed accelerators only if the guarantee
        was placed after their start.
    allowed_jobs : collection of str or None
        Jobs whose gangs may be stopped; None for all jobs.
    """
    needs = {
        allocation.worker_id: _need_of_claims(state, allocation)
        for allocation in missing
    }
    stopping: list[Gang] = []
    candidates: list[Gang] = []
    for gang in _gangs_on(state, needs):
        if gang.phase is GangPhase.stopping:
            stopping.append(gang)
            _change_needs(needs, gang, -1)
        elif allowed_jobs is not None and gang.job_id not in allowed_jobs:
            continue
        elif _may_stop(gang, includes_firm):
            candidates.append(gang)
    ranked = sorted(
        (
            candidate.allocation_kind is AllocationKind.firm,
            candidate.work_at_risk(state.now),
            candidate.accelerators,
            candidate.job_id,
        )
        for candidate in candidates
    )
    return stopping + _choose_sufficient(
        needs, [state.gangs[rank[-1]] for rank in ranked]
    )


def _need_of_claims(state: PartitionState, allocation: Allocation) -> _Need:
    """Return what all claims on a worker together still lack."""
    worker = state.inventory[allocation.worker_id]
    idle = worker.idle_resources
    claimed = worker.claimed
    return _Need(
        claimed.accelerators - idle[0],
        claimed.millicores - idle[1],
        claimed.memory_mb - idle[2],
    )


def _gangs_on(state: PartitionState, needs: Iterable[str]) -> list[Gang]:
    found: dict[str, Gang] = {}
    for worker_id in needs:
        for gang in state.gangs_on(worker_id):
            if gang.members[worker_id].holds:
                found[gang.job_id] = gang
    return list(found.values())


def _may_stop(gang: Gang, includes_firm: bool) -> bool:
    return gang.allocation_kind is AllocationKind.lent or (
        includes_firm and gang.allocation_kind is AllocationKind.firm
    )


def _choose_sufficient(
    needs: dict[str, _Need], ranked: Sequence[Gang]
) -> list[Gang]:
    chosen: list[Gang] = []
    for gang in ranked:
        if _reduces_needs(needs, gang):
            chosen.append(gang)
            _change_needs(needs, gang, -1)
    for superfluous in reversed(tuple(chosen)):
        _change_needs(needs, superfluous, 1)
        if all(need.is_met for need in needs.values()):
            chosen.remove(superfluous)
        else:
            _change_needs(needs, superfluous, -1)
    return chosen


def _reduces_needs(needs: dict[str, _Need], gang: Gang) -> bool:
    return any(
        member.holds
        and worker_id in needs
        and needs[worker_id].is_reduced_by(member.allocation)
        for worker_id, member in gang.members.items()
    )


def _change_needs(needs: dict[str, _Need], gang: Gang, sign: int) -> None:
    for worker_id, member in gang.members.items():
        if member.holds and worker_id in needs:
            needs[worker_id].change(member.allocation, sign)
