"""Whether a job could run on the whole topology if it were idle."""

from collections.abc import Collection

from dragonflynotch.core.inventory import Demand
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.state import PartitionState

__all__ = ('find_obstacle',)


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
    wanted = spec.shape.accelerators
    quota = state.max_accelerators.get(spec.workspace, wanted)
    if wanted > quota:
        return (
            f'{wanted} accelerators exceed the quota of {quota} of '
            f'workspace {spec.workspace!r}'
        )
    return _without_quota(spec, state, frozenset(avoided))


def _without_quota(
    spec: JobSpec, state: PartitionState, avoided: frozenset[str]
) -> str | None:
    """Remember the answer until the topology changes.

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
) -> str | None:
    demand = Demand.of(spec)
    shape = spec.shape
    inventory = state.inventory
    if not shape.accelerators:
        if any(worker.machine_limit(demand, 1) for worker in inventory):
            return None
        return (
            f'no worker has {spec.cores_per_accelerator} cores and '
            f'{spec.memory_mb_per_accelerator} MiB of memory'
        )

    def limit(worker_id: str, accelerators: int) -> int:
        if worker_id in avoided:
            return 0
        return inventory[worker_id].machine_limit(demand, accelerators)

    if state.placer.place(shape, inventory.total, limit):
        return None
    return (
        f'{shape.accelerators} accelerators ({shape.proximity.value}) with '
        f'{spec.cores_per_accelerator} cores and '
        f'{spec.memory_mb_per_accelerator} MiB each do not fit on the '
        f'workers of this data centre'
    )
