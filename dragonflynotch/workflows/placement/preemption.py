"""Choice of the runs to stop for a more urgent step.

Answers a burst of urgent work on a fleet that is full of less urgent runs. The
room that is being made for one step is kept for it: neither counts for the
next urgent step nor is given to work that was just stopped.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from math import inf

from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Allocation
from dragonflynotch.workflows.resources import Resources

__all__ = ('PreemptionLimits', 'RoomPlan', 'plan_room', 'stop_in_plan')


@dataclass(frozen=True, slots=True)
class PreemptionLimits:
    """Limits on the runs that may be stopped for a waiting step.

    Parameters
    ----------
    priority : float
        Runs of queues with a higher number, which means less urgent, may be
        stopped.
    max_lost_work : float
        Most work of such runs that may be lost, in core seconds.
    reclaimable : frozenset of str
        Tasks with backfilled runs that come later than the step. They may be
        stopped in any case.
    """

    priority: float = inf
    max_lost_work: float = inf
    reclaimable: frozenset[str] = frozenset()

    def may_reclaim(self, run: Allocation) -> bool:
        """Return whether a run is backfilled and comes later."""
        return str(run.task_id) in self.reclaimable

    def may_stop(self, run: Allocation) -> bool:
        """Return whether a run may be stopped for the step."""
        if run.is_stopping:
            return False
        if self.may_reclaim(run):
            return True
        return run.is_preemptible and run.priority > self.priority


@dataclass(frozen=True, slots=True)
class RoomPlan:
    """How a step that does not fit gets room.

    Parameters
    ----------
    will_fit : bool
        Whether the step, or a task of a step other than a gang for which
        backfilled runs stop, fits once the victims and the runs that are
        already stopping have ended.
    victims : list of Allocation
        Runs to stop for it.
    """

    will_fit: bool
    victims: list[Allocation] = field(default_factory=list)


@dataclass(slots=True)
class _Victim:
    """A run, or all runs of a gang, which can only be stopped together."""

    key: str
    # Whether the runs are backfilled and come later than the step.
    is_reclaimed: bool
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


def plan_room(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
    limits: PreemptionLimits,
) -> RoomPlan:
    """Return the runs to stop so that a step fits.

    Runs and gangs are chosen in the order of the work lost by stopping them,
    until the step fits. Those without which it still fits are then left out.
    Resources reserved for steps that come earlier do not count. There are no
    victims if the step fits once the runs that are already stopping have
    ended, if it would not fit even then, or if too much work would be lost.

    Backfilled runs come first and do not count as lost work. They also stop if
    only some tasks of a step other than a gang fit without them.
    """
    free = _free_after_stops(pool, demand, allocations)
    step_fit = StepFit(pool, demand, free)
    if step_fit.fits:
        return RoomPlan(will_fit=True)
    candidates = _preemptible_runs(allocations, limits)
    victims = _choose_needed(free, step_fit, candidates)
    lost_work = sum(
        victim.cost for victim in victims if not victim.is_reclaimed
    )
    if victims and lost_work <= limits.max_lost_work:
        return _plan_of(victims)
    if demand.step.spec.is_gang or not limits.reclaimable:
        return RoomPlan(will_fit=False)
    return _plan_for_some(
        pool,
        demand,
        _free_after_stops(pool, demand, allocations),
        [victim for victim in candidates if victim.is_reclaimed],
    )


def stop_in_plan(
    allocations: dict[str, list[Allocation]],
    victims: Sequence[Allocation],
    end_ms: int,
) -> None:
    """Mark runs as stopping, for the steps that are planned after this one."""
    stopped = {victim.task_id for victim in victims}
    for held in allocations.values():
        for index, run in enumerate(held):
            if run.task_id in stopped:
                held[index] = replace(
                    run, is_stopping=True, expected_end_ms=end_ms
                )


def _free_after_stops(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
) -> dict[str, Resources]:
    """Return what a step may use once the stopping runs have ended.

    Without those whose stop is late. Other runs would stop for a step that
    cannot start yet.
    """
    free = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
    }
    for minion_id in free:
        for allocation in allocations.get(minion_id, ()):
            if allocation.is_stopping and not allocation.is_stop_late:
                free[minion_id] += allocation.needs
    return free


def _plan_of(victims: Sequence[_Victim]) -> RoomPlan:
    return RoomPlan(
        will_fit=True,
        victims=[run for victim in victims for _, run in victim.members],
    )


def _plan_for_some(
    pool: WorkerPool,
    demand: Demand,
    free: dict[str, Resources],
    reclaimable: Sequence[_Victim],
) -> RoomPlan:
    """Return the backfilled runs to stop so that the most tasks fit."""
    step_fit = StepFit(pool, demand, free)
    count = step_fit.count
    for victim in reclaimable:
        victim.release(free, step_fit)
    most = step_fit.count
    for released in reclaimable:
        released.undo_release(free, step_fit)
    if most == count:
        return RoomPlan(will_fit=count > 0)
    step_fit.want(most)
    return _plan_of(_choose_needed(free, step_fit, reclaimable))


def _preemptible_runs(
    allocations: Mapping[str, Sequence[Allocation]], limits: PreemptionLimits
) -> list[_Victim]:
    """Return the runs and gangs that may be stopped.

    Backfilled ones come first, then the cheapest.
    """
    found: dict[str, _Victim] = {}
    for minion_id, held in allocations.items():
        for run in held:
            if limits.may_stop(run):
                victim = found.setdefault(
                    run.group, _Victim(run.group, limits.may_reclaim(run))
                )
                victim.members.append((minion_id, run))
    return sorted(
        found.values(),
        key=lambda victim: (not victim.is_reclaimed, victim.cost, victim.key),
    )


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
