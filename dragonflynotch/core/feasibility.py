"""Whether a job could run on the whole topology if it were idle."""

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.inventory import Demand, Inventory, WorkerState
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.placement import Placer

__all__ = ('find_obstacle',)

_MILLI = 1000


def find_obstacle(
    spec: JobSpec, inventory: Inventory, placer: Placer
) -> str | None:
    """Return why a job can never run on the present workers, or None.

    Lost workers count until their task lease has expired, and so do workers
    in quarantine, because both may come back.

    Parameters
    ----------
    spec : JobSpec
        What the job asks for.
    inventory : Inventory
        Present workers.
    placer : Placer
        Chooses the accelerators.
    """
    demand = Demand.of(spec)
    shape = spec.shape
    if not shape.accelerators:
        if any(_capacity(worker, demand, 1) for worker in inventory):
            return None
        return (
            f'no worker has {spec.cores_per_accelerator} cores and '
            f'{spec.memory_mb_per_accelerator} MiB of memory'
        )
    total = CapacityMap()
    for worker in inventory:
        usable = _capacity(worker, demand, worker.worker.accelerators)
        total.set(worker.rack, worker.worker.worker_id, usable)
    if placer.place(shape, total, _unlimited):
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
