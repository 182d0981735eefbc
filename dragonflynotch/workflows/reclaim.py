"""Choice of borrowers that give way to guaranteed work."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf

from dragonflynotch.workflows.placement import Demand, Room, fit_gang
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.workers import Occupation

__all__ = ('Claim', 'choose_victims')


@dataclass(frozen=True, slots=True)
class Claim:
    """What a waiting step may take from others.

    Parameters
    ----------
    priority : int
        Only runs of less urgent queues are stopped.
    max_lost_work : float
        Work that may be lost, in core seconds.
    """

    priority: int
    max_lost_work: float = inf


def choose_victims(
    room: Room,
    demand: Demand,
    occupations: Mapping[str, Sequence[Occupation]],
    claim: Claim,
) -> list[Occupation]:
    """Return the runs to stop, or none if that would not make room.

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
    victims = _needed_victims(
        room, demand, free, _borrowers(free, occupations, claim)
    )
    lost_work = sum(victim.preemption_cost for victim in victims)
    return victims if lost_work <= claim.max_lost_work else []


def _borrowers(
    minion_ids: Iterable[str],
    occupations: Mapping[str, Sequence[Occupation]],
    claim: Claim,
) -> list[tuple[str, Occupation]]:
    """Return what may be stopped, the cheapest first."""
    found = [
        (minion_id, occupation)
        for minion_id in minion_ids
        for occupation in occupations.get(minion_id, ())
        if occupation.is_preemptible
        and not occupation.is_stopping
        and occupation.priority > claim.priority
    ]
    found.sort(
        key=lambda entry: (
            entry[1].preemption_cost,
            entry[0],
            entry[1].task_id,
        )
    )
    return found


def _needed_victims(
    room: Room,
    demand: Demand,
    free: dict[str, Resources],
    borrowers: Sequence[tuple[str, Occupation]],
) -> list[Occupation]:
    chosen: list[tuple[str, Occupation]] = []
    for minion_id, occupation in borrowers:
        free[minion_id] += occupation.needs
        chosen.append((minion_id, occupation))
        if _fits(room, demand, free):
            break
    else:
        return []
    needed: list[Occupation] = []
    # The costliest are spared first.
    for holder, candidate in reversed(chosen):
        free[holder] -= candidate.needs
        if not _fits(room, demand, free):
            free[holder] += candidate.needs
            needed.append(candidate)
    return needed


def _fits(room: Room, demand: Demand, free: Mapping[str, Resources]) -> bool:
    spec = demand.step.spec
    if spec.is_gang:
        return fit_gang(room, demand, free) is not None
    waiting = len(demand.step.waiting_tasks)
    fitting = sum(one.count_of(spec.needs) for one in free.values())
    return fitting >= waiting
