"""Choice of borrowers that give way to guaranteed work."""

from collections.abc import Mapping, Sequence

from dragonflynotch.workflows.placement import Demand, Room, fit_gang
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.workers import Occupation

__all__ = ('choose_victims',)


def choose_victims(
    room: Room,
    demand: Demand,
    occupations: Mapping[str, Sequence[Occupation]],
    *,
    only_resumable: bool = False,
) -> list[Occupation]:
    """Return the runs to stop, or none if that would not make room.

    Parameters
    ----------
    only_resumable : bool
        Whether to spare runs whose work would be lost.

    Notes
    -----

    Runs are taken in the order of the work that stopping them loses, until
    the step fits; then each that turned out not to be needed is spared.
    """
    free = {
        worker.minion_id: room.free[worker.minion_id]
        for worker in room.candidates(demand)
    }
    for stopping in free:
        for one in occupations.get(stopping, ()):
            if one.is_stopping:
                free[stopping] += one.needs
    if _fits(room, demand, free):
        return []
    borrowers = sorted(
        (
            (occupation.preemption_cost, minion_id, occupation)
            for minion_id in free
            for occupation in occupations.get(minion_id, ())
            if occupation.is_preemptible
            and not occupation.is_stopping
            and (occupation.is_resumable or not only_resumable)
        ),
        key=lambda entry: (entry[0], entry[1], entry[2].task_id),
    )
    chosen: list[tuple[str, Occupation]] = []
    for _, minion_id, occupation in borrowers:
        free[minion_id] += occupation.needs
        chosen.append((minion_id, occupation))
        if _fits(room, demand, free):
            break
    else:
        return []
    needed: list[Occupation] = []
    # The costliest are spared first.
    for minion_id, occupation in reversed(chosen):
        free[minion_id] -= occupation.needs
        if not _fits(room, demand, free):
            free[minion_id] += occupation.needs
            needed.append(occupation)
    return needed


def _fits(room: Room, demand: Demand, free: Mapping[str, Resources]) -> bool:
    spec = demand.step.spec
    if spec.is_gang:
        return fit_gang(room, demand, free) is not None
    waiting = len(demand.step.waiting_tasks)
    fitting = sum(one.count_of(spec.needs) for one in free.values())
    return fitting >= waiting
