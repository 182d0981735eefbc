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

__all__ = ('plan_reservation',)


def plan_reservation(
    room: Room,
    demand: Demand,
    occupations: Mapping[str, Sequence[Occupation]],
) -> Reservation | None:
    """Return the earliest room for a step, or ``None`` if there is none.

    The runs on all workers are released in the order of their expected ends
    until the step fits.
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
    for end_ms, minion_id, index in releases:
        usable[minion_id] += occupations[minion_id][index].needs
        reserved = _fit(room, demand, usable)
        if reserved is not None:
            return Reservation(end_ms, reserved)
    return None


def _fit(
    room: Room, demand: Demand, usable: Mapping[str, Resources]
) -> dict[str, Resources] | None:
    needs = demand.step.spec.needs
    if demand.step.spec.is_gang:
        workers = fit_gang(room, demand, usable)
        if workers is None:
            return None
        counts = Counter(worker.minion_id for worker in workers)
    else:
        fitting = next(
            (
                minion_id
                for minion_id, free in usable.items()
                if free.covers(needs)
            ),
            None,
        )
        if fitting is None:
            return None
        counts = Counter((fitting,))
    return {minion_id: needs * count for minion_id, count in counts.items()}
