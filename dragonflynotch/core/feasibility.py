"""Whether a job could run on the whole topology if it were idle."""

from collections.abc import Collection

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.inventory import Demand
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.state import PartitionState
from dragonflynotch.core.topology import Worker

__all__ = ('find_obstacle',)

_MILLI = 1000


def find_obstacle(
    spec: JobSpec,
    state: PartitionState,
    avoided: Collection[str] = (),
) -> str | None:
    """Return why a job can never run on the present workers, or None.

    Workers that were lost within the last day count, and so do workers in
    quarantine, because both may come back. They do not count beside avoided
    workers, because a job avoids a worker only for the sake of a present one.

    Parameters
    ----------
    spec : JobSpec
        What the job asks for.
    state : PartitionState
        State of the partition.
    avoided : collection of str
        Workers that do not count.
    """
    wanted = spec.shape.accelerators
    quota = state.max_accelerators.get(spec.workspace, wanted)
    if wanted > quota:
        return (
            f'{wanted} accelerators exceed the quota of {quota} of '
            f'workspace {spec.workspace!r}'
        )
    if _fits_now(spec, state, frozenset(avoided)):
        return None
    if not avoided and _fits_with_absent(spec, state):
        return None
    size = (
        f'{spec.cores_per_accelerator} cores and '
        f'{spec.memory_mb_per_accelerator} MiB'
    )
    if not wanted:
        return f'no worker has {size} of memory'
    return (
        f'{wanted} accelerators ({spec.shape.proximity.value}) with {size} '
        f'each do not fit on the workers of this data centre'
    )


def _fits_now(
    spec: JobSpec, state: PartitionState, avoided: frozenset[str]
) -> bool:
    """Whether a job fits on the present workers, remembered until they change.

    Without this, a burst of equal large jobs costs a placement each.
    """
    answers = state.obstacles
    if answers.version != state.inventory.topology_version:
        answers.version = state.inventory.topology_version
        answers.found.clear()
    key = (spec.shape, Demand.of(spec), avoided)
    if key not in answers.found:
        answers.found[key] = _search(spec, state, avoided)
    return answers.found[key]


def _search(
    spec: JobSpec, state: PartitionState, avoided: frozenset[str]
) -> bool:
    demand = Demand.of(spec)
    inventory = state.inventory

    def limit(worker_id: str, accelerators: int) -> int:
        if worker_id in avoided:
            return 0
        return inventory[worker_id].machine_limit(demand, accelerators)

    if not spec.shape.accelerators:
        return any(limit(worker.worker.worker_id, 1) for worker in inventory)
    return bool(state.placer.place(spec.shape, inventory.total, limit))


def _fits_with_absent(spec: JobSpec, state: PartitionState) -> bool:
    """Whether a job would fit if the workers lost lately came back."""
    absent = state.absent.recent(state.now)
    if not absent:
        return False
    demand = Demand.of(spec)
    machines = (*(worker.worker for worker in state.inventory), *absent)
    if not spec.shape.accelerators:
        return any(_capacity(machine, demand, 1) for machine in machines)
    total = CapacityMap()
    for machine in machines:
        rack = (machine.rack_position, machine.rack)
        usable = _capacity(machine, demand, machine.accelerators)
        total.set(rack, machine.worker_id, usable)
    return bool(state.placer.place(spec.shape, total, _unlimited))


def _capacity(machine: Worker, demand: Demand, most: int) -> int:
    return min(
        most,
        machine.cores * _MILLI // max(1, demand.millicores),
        machine.memory_mb // max(1, demand.memory_mb),
    )


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
