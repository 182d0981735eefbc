"""Resources reserved for steps that cannot start yet."""

from collections import Counter
from collections.abc import Mapping, Sequence

from dragonflynotch.workflows.placement.best_fit import fit_gang
from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    Reservation,
    WorkerPool,
)
from dragonflynotch.workflows.placement.workers import Allocation
from dragonflynotch.workflows.resources import Resources

__all__ = ('plan_reservations',)

# Most tasks of one step, other than a gang, that get a reservation.
_MAX_RESERVED_TASKS = 8

# Expected end of a run, its minion, and its index in the allocations there.
_Release = tuple[int, str, int]


def plan_reservations(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
) -> list[Reservation]:
    """Return the earliest reservations for the waiting tasks of a step.

    Adds up the resources that runs release, in the order of their expected
    ends, until the gang fits or each waiting task has a reservation.
    """
    available = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
    }
    releases = sorted(
        (allocation.expected_end_ms, minion_id, index)
        for minion_id in available
        for index, allocation in enumerate(allocations.get(minion_id, ()))
    )
    if demand.step.spec.is_gang:
        return _reserve_for_gang(pool, demand, allocations, available, releases)
    return _reserve_for_tasks(demand, allocations, available, releases)


def _reserve_for_gang(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
    available: dict[str, Resources],
    releases: Sequence[_Release],
) -> list[Reservation]:
    step_fit = StepFit(pool, demand, available)
    for end_ms, minion_id, index in releases:
        available[minion_id] += allocations[minion_id][index].needs
        step_fit.update(minion_id)
        if step_fit.fits:
            reserved = _gang_resources(pool, demand, available)
            if reserved is None:
                return []
            return [Reservation(demand.step.step_id, end_ms, reserved)]
    return []


def _reserve_for_tasks(
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
    available: dict[str, Resources],
    releases: Sequence[_Release],
) -> list[Reservation]:
    needs = demand.step.spec.needs
    planned: list[Reservation] = []
    unplaced = min(len(demand.step.waiting_tasks), _MAX_RESERVED_TASKS)
    for end_ms, minion_id, index in releases:
        available[minion_id] += allocations[minion_id][index].needs
        count = min(unplaced, available[minion_id].fit_count(needs))
        if count:
            available[minion_id] -= needs * count
            unplaced -= count
            planned.append(
                Reservation(
                    demand.step.step_id, end_ms, {minion_id: needs * count}
                )
            )
        if not unplaced:
            break
    return planned


def _gang_resources(
    pool: WorkerPool, demand: Demand, available: Mapping[str, Resources]
) -> dict[str, Resources] | None:
    """Return the resources that the gang needs on each of its workers."""
    workers = fit_gang(pool, demand, available)
    if workers is None:
        return None
    needs = demand.step.spec.needs
    counts = Counter(worker.minion_id for worker in workers)
    return {minion_id: needs * count for minion_id, count in counts.items()}
