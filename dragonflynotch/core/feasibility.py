"""Feasibility: whether a job could run if all workers were idle."""

from collections.abc import Collection

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.inventory import Demand
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.topology import Worker

__all__ = ('find_obstacle',)

_MILLICORES_PER_CORE = 1000


def find_obstacle(
    spec: JobSpec,
    state: PartitionState,
    avoided: Collection[str] = (),
) -> str | None:
    """Return why a job can never run on the present workers, or None.

    Workers that were lost within the last day are included, and so are
    workers in quarantine, because both may come back. If there are workers to
    avoid, lost workers are excluded: a job avoids a worker only if it fits on
    other present workers.

    Parameters
    ----------
    spec : JobSpec
        Requirements of the job.
    state : PartitionState
        State of the partition.
    avoided : collection of str
        Workers on which the job must not be placed.
    """
    needed = spec.shape.accelerators
    quota = state.max_accelerators.get(spec.workspace, needed)
    if needed > quota:
        return (
            f'{needed} accelerators exceed the quota of {quota} of '
            f'workspace {spec.workspace!r}'
        )
    if _fits_on_known_workers_cached(spec, state, frozenset(avoided)):
        return None
    if not avoided and _fits_with_recently_lost(spec, state):
        return None
    size = (
        f'{spec.cores_per_accelerator} cores and '
        f'{spec.memory_mb_per_accelerator} MiB'
    )
    if not needed:
        return f'no worker has {size} of memory'
    return (
        f'{needed} accelerators ({spec.shape.proximity.value}) with {size} '
        f'each do not fit on the workers of this data centre'
    )


def _fits_on_known_workers_cached(
    spec: JobSpec, state: PartitionState, avoided: frozenset[str]
) -> bool:
    """Whether a job fits on the present workers, cached until they change.

    Without the cache, each job of a burst of equal large jobs would cost a
    placement.
    """
    cache = state.feasibility_cache
    if cache.topology_version != state.inventory.topology_version:
        cache.topology_version = state.inventory.topology_version
        cache.fits.clear()
    key = (spec.shape, Demand.of(spec), avoided)
    if key not in cache.fits:
        cache.fits[key] = _fits_on_known_workers(spec, state, avoided)
    return cache.fits[key]


def _fits_on_known_workers(
    spec: JobSpec, state: PartitionState, avoided: frozenset[str]
) -> bool:
    demand = Demand.of(spec)
    inventory = state.inventory

    def limit(worker_id: str, accelerators: int) -> int:
        if worker_id in avoided:
            return 0
        return inventory[worker_id].usable_when_idle(demand, accelerators)

    if not spec.shape.accelerators:
        return any(limit(worker.worker.worker_id, 1) for worker in inventory)
    return bool(state.placer.place(spec.shape, inventory.total, limit))


def _fits_with_recently_lost(spec: JobSpec, state: PartitionState) -> bool:
    """Whether a job would fit if the recently lost workers came back."""
    recently_lost = state.recently_lost.recent(state.now)
    if not recently_lost:
        return False
    demand = Demand.of(spec)
    workers = (*(worker.worker for worker in state.inventory), *recently_lost)
    if not spec.shape.accelerators:
        return any(_usable_when_idle(worker, demand, 1) for worker in workers)
    total = CapacityMap()
    for worker in workers:
        rack = (worker.rack_position, worker.rack)
        usable = _usable_when_idle(worker, demand, worker.accelerators)
        total.set(rack, worker.worker_id, usable)
    return bool(state.placer.place(spec.shape, total, _unlimited))


def _usable_when_idle(worker: Worker, demand: Demand, accelerators: int) -> int:
    return min(
        accelerators,
        worker.cores * _MILLICORES_PER_CORE // max(1, demand.millicores),
        worker.memory_mb // max(1, demand.memory_mb),
    )


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
