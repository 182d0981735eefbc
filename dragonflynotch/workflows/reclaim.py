"""Choice of borrowers that give way to guaranteed work."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
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


@dataclass(slots=True)
class _Victim:
    """A run, or all members of a gang: stopping one stops the others."""

    key: str
    members: list[tuple[str, Occupation]] = field(default_factory=list)

    @property
    def cost(self) -> float:
        """Work that a stop loses, in core seconds."""
        return sum(one.preemption_cost for _, one in self.members)

    def release(self, free: dict[str, Resources]) -> None:
        """Add the room that a stop makes."""
        for minion_id, one in self.members:
            if minion_id in free:
                free[minion_id] += one.needs

    def take_back(self, free: dict[str, Resources]) -> None:
        """Remove the room that a stop would make."""
        for minion_id, one in self.members:
            if minion_id in free:
                free[minion_id] -= one.needs


def choose_victims(
    room: Room,
    demand: Demand,
    occupations: Mapping[str, Sequence[Occupation]],
    claim: Claim,
) -> list[Occupation]:
    """Return the runs to stop, or none if that would not make room.

    Runs and gangs are taken in the order of the work that stopping them
    loses, until the step fits; then each that turned out not to be needed is
    spared.
    """
    free = {
        worker.minion_id: room.free[worker.minion_id]
        for worker in room.candidates(demand)
    }
    for holder in free:
        for occupation in occupations.get(holder, ()):
            if occupation.is_stopping:
                free[holder] += occupation.needs
    if _fits(room, demand, free):
        return []
    victims = _needed_victims(
        room, demand, free, _borrowers(occupations, claim)
    )
    if sum(victim.cost for victim in victims) > claim.max_lost_work:
        return []
    return [member for victim in victims for _, member in victim.members]


def _borrowers(
    occupations: Mapping[str, Sequence[Occupation]], claim: Claim
) -> list[_Victim]:
    """Return what may be stopped, the cheapest first."""
    found: dict[str, _Victim] = {}
    for minion_id, held in occupations.items():
        for one in held:
            if (
                one.is_preemptible
                and not one.is_stopping
                and one.priority > claim.priority
            ):
                victim = found.setdefault(one.group, _Victim(one.group))
                victim.members.append((minion_id, one))
    return sorted(found.values(), key=lambda victim: (victim.cost, victim.key))


def _needed_victims(
    room: Room,
    demand: Demand,
    free: dict[str, Resources],
    borrowers: Sequence[_Victim],
) -> list[_Victim]:
    chosen: list[_Victim] = []
    for victim in borrowers:
        victim.release(free)
        chosen.append(victim)
        if _fits(room, demand, free):
            break
    else:
        return []
    needed: list[_Victim] = []
    # The costliest are spared first.
    for candidate in reversed(chosen):
        candidate.take_back(free)
        if not _fits(room, demand, free):
            candidate.release(free)
            needed.append(candidate)
    return needed


def _fits(room: Room, demand: Demand, free: Mapping[str, Resources]) -> bool:
    spec = demand.step.spec
    if spec.is_gang:
        return fit_gang(room, demand, free) is not None
    waiting = len(demand.step.waiting_tasks)
    fitting = sum(one.count_of(spec.needs) for one in free.values())
    return fitting >= waiting
