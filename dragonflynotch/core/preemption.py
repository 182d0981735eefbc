"""Preemption of gangs of lower priority for a waiting job."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.gangs import Gang, GangPhase
from dragonflynotch.core.guarantees import Placement
from dragonflynotch.core.inventory import AllocationKind, Demand, WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.state import PartitionState

__all__ = ('Preemption', 'find_preemption')

# Bounds the cost of a search in a large data centre. Gangs are examined in
# the order in which they started.
_MAX_CANDIDATES = 64
# Largest victim as a multiple of the job's size; the factors are tried in this
# order. Larger gangs are not preempted: most of their accelerators would stay
# idle, and they would start again only after a long wait.
_VICTIM_SIZE_FACTORS = (2, 4)


@dataclass(frozen=True, slots=True)
class Preemption:
    """A placement that becomes free when gangs are stopped.

    Parameters
    ----------
    shares : tuple of Share
        The placement.
    victims : frozenset of str
        Jobs whose gangs may be stopped for it.
    """

    shares: Placement
    victims: frozenset[str]


def find_preemption(
    state: PartitionState, job: Job, allocation_kind: AllocationKind
) -> Preemption | None:
    """Return a placement held by gangs of lower priority, or None.

    Only gangs that can be checkpointed are preempted, so little work is lost.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    job : Job
        A waiting job that does not fit on free accelerators.
    allocation_kind : AllocationKind
        Whether the job would hold the accelerators as firm or as lent.
    """
    candidates = list(islice(_candidates(state, job), _MAX_CANDIDATES))
    needed = job.spec.shape.accelerators
    tried = 0
    for factor in _VICTIM_SIZE_FACTORS:
        possible_victims = [
            gang for gang in candidates if _size(gang) <= factor * needed
        ]
        if len(possible_victims) > tried:
            tried = len(possible_victims)
            shares = _place(state, job, allocation_kind, possible_victims)
            if shares:
                job_ids = frozenset(gang.job_id for gang in possible_victims)
                return Preemption(shares, job_ids)
    return None


def _candidates(state: PartitionState, job: Job) -> Iterator[Gang]:
    for gang in state.gangs.values():
        spec = state.jobs[gang.job_id].spec
        has_lower_priority = spec.priority.rank > job.spec.priority.rank
        if (
            has_lower_priority
            and gang.allocation_kind is AllocationKind.lent
            and gang.phase is GangPhase.running
            and spec.is_checkpointable
        ):
            yield gang


def _size(gang: Gang) -> int:
    return gang.accelerators


def _place(
    state: PartitionState,
    job: Job,
    allocation_kind: AllocationKind,
    victims: list[Gang],
) -> Placement:
    freed: Counter[str] = Counter()
    for gang in victims:
        for worker_id, member in gang.members.items():
            freed[worker_id] += len(member.allocation.accelerators)
    avoided = state.avoided_workers.get(job.job_id, ())
    demand = Demand.of(job.spec)
    capacity = CapacityMap()
    for worker_id, count in freed.items():
        worker = state.inventory.find(worker_id)
        if worker is None or not worker.is_usable or worker_id in avoided:
            continue
        available = _usable_after_preemption(
            worker,
            count,
            allocation_kind,
            lacks_checkpoints=not job.spec.is_checkpointable,
        )
        usable = worker.usable_when_idle(demand, max(0, available))
        capacity.set(worker.rack, worker_id, usable)
    return state.placer.place(job.spec.shape, capacity, _unlimited)


def _usable_after_preemption(
    worker: WorkerState,
    freed: int,
    allocation_kind: AllocationKind,
    *,
    lacks_checkpoints: bool,
) -> int:
    available = worker.unclaimed + freed
    if not lacks_checkpoints:
        return available
    protected = (
        worker.guaranteed
        if allocation_kind is AllocationKind.firm
        else worker.urgent_guaranteed
    )
    still_held = worker.unguaranteed_use.accelerators - freed
    return min(available, worker.worker.accelerators - protected - still_held)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
