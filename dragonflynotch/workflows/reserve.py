"""Room kept for steps that cannot start yet."""

from collections import Counter
from collections.abc import Mapping, Sequence

from dragonflynotch.workflows.placement import (
    Demand,
    Reservation,
    Room,
    fit_gang,
)
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.workers import Occupation

__all__ = ('plan_reservations',)

# Tasks of a step without a gang that room is kept for.
_MAX_TASKS = 8


def plan_reservations(
    room: Room,
    demand: Demand,
    occupations: Mapping[str, Sequence[Occupation]],
) -> list[Reservation]:
    """Return the earliest room for what a step still waits for.

    The runs on all workers are released in the order of their expected ends
    until the gang fits, or each waiting task has a place.
    """
    usable = {
        worker.minion_id: room.usable(worker, demand)
        for worker in room.candidates(demand)
    }
    releases = sorted(
        (occupation.expected_end_ms, minion_id, index)
        for minion_id in usable
        for index, occupation in enumerate(occupations.get(minion_id, ()))
    )
    planned: list[Reservation] = []
    missing = min(len(demand.step.waiting_tasks), _MAX_TASKS)
    for end_ms, minion_id, index in releases:
        usable[minion_id] += occupations[minion_id][index].needs
        if demand.step.spec.is_gang:
            reserved = _fit_gang(room, demand, usable)
            if reserved is not None:
                return [Reservation(end_ms, reserved)]
            continue
        needs = demand.step.spec.needs
        count = min(missing, usable[minion_id].count_of(needs))
        if count:
            usable[minion_id] -= needs * count
            missing -= count
            planned.append(Reservation(end_ms, {minion_id: needs * count}))
        if not missing:
            break
    return planned


def _fit_gang(
    room: Room, demand: Demand, usable: Mapping[str, Resources]
) -> dict[str, Resources] | None:
    workers = fit_gang(room, demand, usable)
    if workers is None:
        return None
    needs = demand.step.spec.needs
    counts = Counter(worker.minion_id for worker in workers)
    return {minion_id: needs * count for minion_id, count in counts.items()}
