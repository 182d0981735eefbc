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
    demand = Demand.of(spec)
    shape = spec.shape
    machines = _machines(state, avoided)
    quota = state.max_accelerators.get(spec.workspace, shape.accelerators)
    if shape.accelerators > quota:
        return (
            f'{shape.accelerators} accelerators exceed the quota of '
            f'{quota} of workspace {spec.workspace!r}'
        )
    if not shape.accelerators:
        if any(_capacity(machine, demand, 1) for machine in machines):
            return None
        return (
            f'no worker has {spec.cores_per_accelerator} cores and '
            f'{spec.memory_mb_per_accelerator} MiB of memory'
        )
    total = CapacityMap()
    for machine in machines:
        rack = (machine.rack_position, machine.rack)
        usable = _capacity(machine, demand, machine.accelerators)
        total.set(rack, machine.worker_id, usable)
    if state.placer.place(shape, total, _unlimited):
        return None
    return (
        f'{shape.accelerators} accelerators ({shape.proximity.value}) with '
        f'{spec.cores_per_accelerator} cores and '
        f'{spec.memory_mb_per_accelerator} MiB each do not fit on the '
        f'workers of this data centre'
    )


def _machines(
    state: PartitionState, avoided: Collection[str]
) -> tuple[Worker, ...]:
    present = (worker.worker for worker in state.inventory)
    if avoided:
        return tuple(
            machine for machine in present if machine.worker_id not in avoided
        )
    return (*present, *state.absent.recent(state.now))


def _capacity(machine: Worker, demand: Demand, most: int) -> int:
    return min(
        most,
        machine.cores * _MILLI // max(1, demand.millicores),
        machine.memory_mb // max(1, demand.memory_mb),
    )


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
