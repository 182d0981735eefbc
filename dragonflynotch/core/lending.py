"""Jobs that could run only on accelerators which are never lent to them."""

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.guarantee_book import GuaranteeBook
from dragonflynotch.core.inventory import Demand
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.runtimes import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('find_lending_obstacle',)


def find_lending_obstacle(
    spec: JobSpec,
    state: PartitionState,
    book: GuaranteeBook,
    run_times: RunTimes,
) -> str | None:
    """Return why a job can never borrow what it needs, or None.

    Guaranteed accelerators are lent only to jobs that can be checkpointed and
    to short ones. Another job that fits nowhere else would wait for ever.

    Parameters
    ----------
    spec : JobSpec
        What the job asks for.
    state : PartitionState
        State of the partition.
    book : GuaranteeBook
        Guarantees of the data centre.
    run_times : RunTimes
        Learned run times.
    """
    wanted = spec.shape.accelerators
    if spec.is_checkpointable or not wanted:
        return None
    if run_times.estimate(spec) <= state.policy.short_run:
        return None
    has_own = any(
        placed.guarantee.shape.accelerators >= wanted
        for placed in book.of_workspace(spec.workspace)
    )
    if has_own or state.absent.recent(state.now):
        return None
    if _fits_outside_guarantees(spec, state):
        return None
    return (
        f'{wanted} accelerators ({spec.shape.proximity.value}) fit only where '
        f'other workspaces hold guarantees, which are lent to jobs that can be '
        f'checkpointed or are short'
    )


def _fits_outside_guarantees(spec: JobSpec, state: PartitionState) -> bool:
    demand = Demand.of(spec)
    capacity = CapacityMap()
    for worker in state.inventory:
        outside = worker.worker.accelerators - worker.guaranteed
        capacity.set(worker.rack, worker.worker.worker_id, max(0, outside))

    def limit(worker_id: str, accelerators: int) -> int:
        return state.inventory[worker_id].machine_limit(demand, accelerators)

    return bool(state.placer.place(spec.shape, capacity, limit))
