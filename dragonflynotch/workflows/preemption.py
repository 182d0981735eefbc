"""Choice of the runs to stop for a more urgent step."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.step_fit import StepFit
from dragonflynotch.workflows.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.workers import Allocation

__all__ = ('PreemptionLimits', 'choose_victims')


@dataclass(frozen=True, slots=True)
class PreemptionLimits:
    """Limits on the runs that may be stopped for a waiting step.

    Parameters
    ----------
    priority : int
        Only runs of queues with a higher number, which means less urgent,
        may be stopped.
    max_lost_work : float
        Most work that may be lost, in core seconds.
    """

    priority: int
    max_lost_work: float = inf


@dataclass(slots=True)
class _Victim:
    """A run, or all runs of a gang, which can only be stopped together."""

    key: str
    members: list[tuple[str, Allocation]] = field(default_factory=list)

    @property
    def cost(self) -> float:
        """Work lost if these runs are stopped, in core seconds."""
        return sum(run.preemption_cost for _, run in self.members)

    def release(self, free: dict[str, Resources], step_fit: StepFit) -> None:
        """Add the resources of these runs to ``free``."""
        for minion_id, run in self.members:
            if minion_id in free:
                free[minion_id] += run.needs
                step_fit.update(minion_id)

    def undo_release(
        self, free: dict[str, Resources], step_fit: StepFit
    ) -> None:
        """Subtract the resources of these runs from ``free`` again."""
        for minion_id, run in self.members:
            if minion_id in free:
                free[minion_id] -= run.needs
                step_fit.update(minion_id)


def choose_victims(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
    limits: PreemptionLimits,
) -> list[Allocation]:
    """Return the runs to stop so that a step fits.

    Runs and gangs are chosen in the order of the work lost by stopping them,
    until the step fits. Those without which it still fits are then left out.
    The result is empty if the step fits once the runs that are already
    stopping have ended, if it would not fit even then, or if too much work
    would be lost.
    """
    free = {
        worker.minion_id: pool.free[worker.minion_id]
        for worker in pool.candidates(demand)
    }
    for minion_id in free:
        for allocation in allocations.get(minion_id, ()):
            if allocation.is_stopping:
                free[minion_id] += allocation.needs
    step_fit = StepFit(pool, demand, free)
    if step_fit.fits:
        return []
    victims = _choose_needed(
        free, step_fit, _preemptible_runs(allocations, limits)
    )
    if sum(victim.cost for victim in victims) > limits.max_lost_work:
        return []
    return [member for victim in victims for _, member in victim.members]


def _preemptible_runs(
    allocations: Mapping[str, Sequence[Allocation]], limits: PreemptionLimits
) -> list[_Victim]:
    """Return the runs and gangs that may be stopped, cheapest first."""
    found: dict[str, _Victim] = {}
    for minion_id, held in allocations.items():
        for run in held:
            if (
                run.is_preemptible
                and not run.is_stopping
                and run.priority > limits.priority
            ):
                victim = found.setdefault(run.group, _Victim(run.group))
                victim.members.append((minion_id, run))
    return sorted(found.values(), key=lambda victim: (victim.cost, victim.key))


def _choose_needed(
    free: dict[str, Resources],
    step_fit: StepFit,
    candidates_by_cost: Sequence[_Victim],
) -> list[_Victim]:
    """Return the victims that are needed for the step to fit, or none.

    Adds their resources to ``free``.
    """
    chosen: list[_Victim] = []
    for victim in candidates_by_cost:
        victim.release(free, step_fit)
        chosen.append(victim)
        if step_fit.fits:
            break
    else:
        return []
    needed: list[_Victim] = []
    # Try to do without the most expensive ones first.
    for candidate in reversed(chosen):
        candidate.undo_release(free, step_fit)
        if not step_fit.fits:
            candidate.release(free, step_fit)
            needed.append(candidate)
    return needed
