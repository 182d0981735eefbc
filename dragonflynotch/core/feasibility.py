"""Whether a job could run on the whole topology if it were idle."""

from collections.abc import Collection

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.inventory import Demand, WorkerState
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.state import PartitionState

__all__ = ('find_obstacle',)

_MILLI = 1000


def find_obstacle(
    spec: JobSpec,
    state: PartitionState,
    avoided: Collection[str] = (),
) -> str | None:
    """Return why a job can never run on the present workers, or None.

    Lost workers count until their task lease has expired, and so do workers
    in quarantine, because both may come back.

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
    inventory = state.inventory
    quota = state.max_accelerators.get(spec.workspace, shape.accelerators)
    if shape.accelerators > quota:
        return (
            f'{shape.accelerators} accelerators exceed the quota of '
            f'{quota} of workspace {spec.workspace!r}'
        )
    if not shape.accelerators:
        if any(_capacity(worker, demand, 1) for worker in inventory):
            return None
        return (
            f'no worker has {spec.cores_per_accelerator} cores and '
            f'{spec.memory_mb_per_accelerator} MiB of memory'
        )
    total = CapacityMap()
    for worker in inventory:
        if worker.worker.worker_id in avoided:
            continue
        usable = _capacity(worker, demand, worker.worker.accelerators)
        total.set(worker.rack, worker.worker.worker_id, usable)
    if state.placer.place(shape, total, _unlimited):
        return None
    return (
        f'{shape.accelerators} accelerators ({shape.proximity.value}) with '
        f'{spec.cores_per_accelerator} cores and '
        f'{spec.memory_mb_per_accelerator} MiB each do not fit on the '
        f'workers of this data centre'
    )


def _capacity(worker: WorkerState, demand: Demand, most: int) -> int:
    machine = worker.worker
    return min(
        most,
        machine.cores * _MILLI // max(1, demand.millicores),
        machine.memory_mb // max(1, demand.memory_mb),
    )


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
