"""Rejection of jobs that fit only on accelerators never lent to them."""

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.guarantee_registry import GuaranteeRegistry
from dragonflynotch.core.inventory import Demand
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.state import PartitionState

__all__ = ('find_lending_obstacle',)


def find_lending_obstacle(
    spec: JobSpec,
    state: PartitionState,
    guarantees: GuaranteeRegistry,
    run_times: RunTimes,
) -> str | None:
    """Return why a job can never borrow the accelerators it needs, or None.

    Guaranteed accelerators are lent only to jobs that can be checkpointed and
    to short jobs. Any other job that fits nowhere else would wait forever.

    Parameters
    ----------
    spec : JobSpec
        Requirements of the job.
    state : PartitionState
        State of the partition.
    guarantees : GuaranteeRegistry
        Guarantees of the data centre.
    run_times : RunTimes
        Run-time estimates learned from finished jobs.
    """
    needed = spec.shape.accelerators
    if spec.is_checkpointable or not needed:
        return None
    if run_times.estimate(spec) <= state.policy.short_run_limit:
        return None
    has_sufficient_guarantee = any(
        placed.guarantee.shape.accelerators >= needed
        for placed in guarantees.of_workspace(spec.workspace)
    )
    if has_sufficient_guarantee or state.recently_lost.recent(state.now):
        return None
    if _fits_outside_guarantees(spec, state):
        return None
    return (
        f'{needed} accelerators ({spec.shape.proximity.value}) fit only on '
        f'accelerators guaranteed to other workspaces, which are lent only to '
        f'jobs that can be checkpointed or are short'
    )


def _fits_outside_guarantees(spec: JobSpec, state: PartitionState) -> bool:
    demand = Demand.of(spec)
    capacity = CapacityMap()
    for worker in state.inventory:
        outside = worker.worker.accelerators - worker.guaranteed
        capacity.set(worker.rack, worker.worker.worker_id, max(0, outside))

    def limit(worker_id: str, accelerators: int) -> int:
        return state.inventory[worker_id].usable_when_idle(demand, accelerators)

    return bool(state.placer.place(spec.shape, capacity, limit))
