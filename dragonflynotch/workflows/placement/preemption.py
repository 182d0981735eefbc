"""Choice of the runs to stop for a more urgent step.

Answers a burst of urgent work on a fleet that is full of less urgent runs. The
room that is being made for one step is kept for it: neither counts for the
next urgent step nor is given to work that was just stopped.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from math import inf

from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.victim_search import (
    Victim,
    VictimSearch,
)
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Allocation
from dragonflynotch.workflows.resources import Resources

__all__ = ('PreemptionLimits', 'RoomPlan', 'plan_room', 'stop_in_plan')

# A gang that needs this many workers or more gets room by worker. For smaller
# steps on a small fleet that leaves less room to the others.
_MIN_WIDE_WORKERS = 4


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


@dataclass(frozen=True, slots=True)
class RoomPlan:
    """How a step that does not fit gets room.

    Parameters
    ----------
    will_fit : bool
        Whether the step fits once the victims and the runs that are already
        stopping have ended.
    victims : list of Allocation
        Runs to stop for it.
    """

    will_fit: bool
    victims: list[Allocation] = field(default_factory=list)


def plan_room(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
    limits: PreemptionLimits,
) -> RoomPlan:
    """Return the runs to stop so that a step fits, at the least loss.

    A gang that wants one rack gets room on the rack where that costs least.
    Resources reserved for steps that come earlier do not count. There are no
    victims if the step fits once the runs that are already stopping have
    ended, if it would not fit even then, or if too much work would be lost.
    """
    free = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
    }
    for minion_id in free:
        for allocation in allocations.get(minion_id, ()):
            if allocation.is_stopping:
                free[minion_id] += allocation.needs
    step_fit = StepFit(pool, demand, free)
    if step_fit.fits:
        return RoomPlan(will_fit=True)
    victims = _choose_victims(
        pool, demand, free, _preemptible_runs(allocations, limits)
    )
    lost_work = sum(victim.cost for victim in victims)
    if not victims or lost_work > limits.max_lost_work:
        return RoomPlan(will_fit=False)
    return RoomPlan(
        will_fit=True,
        victims=[run for victim in victims for _, run in victim.members],
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


def _preemptible_runs(
    allocations: Mapping[str, Sequence[Allocation]], limits: PreemptionLimits
) -> dict[str, list[Victim]]:
    """Return the runs and gangs that may be stopped, by minion.

    Those of a minion are in the order of the work lost.
    """
    found: dict[str, Victim] = {}
    by_minion: dict[str, dict[str, Victim]] = {}
    for minion_id, held in allocations.items():
        for run in held:
            if (
                run.is_preemptible
                and not run.is_stopping
                and run.priority > limits.priority
            ):
                victim = found.setdefault(run.group, Victim(run.group))
                victim.add(minion_id, run)
                by_minion.setdefault(minion_id, {})[run.group] = victim
    return {
        minion: sorted(victims.values(), key=_by_cost)
        for minion, victims in by_minion.items()
    }


def _by_cost(victim: Victim) -> tuple[float, str]:
    return (victim.weight, victim.key)


def _choose_victims(
    pool: WorkerPool,
    demand: Demand,
    free: dict[str, Resources],
    victims_by_minion: Mapping[str, Sequence[Victim]],
) -> list[Victim]:
    """Return the victims that are needed for the step to fit, or none."""
    if not _is_wide(pool, demand, free):
        search = VictimSearch(
            free, StepFit(pool, demand, free), victims_by_minion
        )
        return search.choose_singly()
    plans = [
        VictimSearch(
            part, StepFit(pool, demand, part), victims_by_minion
        ).choose()
        for part in _parts(pool, demand, free)
    ]
    return min(
        filter(None, plans),
        key=lambda plan: sum(victim.weight for victim in plan),
        default=[],
    )


def _is_wide(
    pool: WorkerPool, demand: Demand, free: Mapping[str, Resources]
) -> bool:
    """Return whether a step is a gang that needs several whole workers."""
    spec = demand.step.spec
    most_per_worker = max(
        (
            pool.workers[minion_id].report.resources.fit_count(spec.needs)
            for minion_id in free
        ),
        default=0,
    )
    count = len(demand.step.tasks)
    return spec.is_gang and count > most_per_worker * (_MIN_WIDE_WORKERS - 1)


def _parts(
    pool: WorkerPool, demand: Demand, free: dict[str, Resources]
) -> list[dict[str, Resources]]:
    """Return the resources that the step may use together.

    Each rack is a part if the step must run on one rack.
    """
    spec = demand.step.spec
    if not spec.is_gang or not spec.wants_one_rack or demand.may_span_racks:
        return [free]
    parts: dict[str, dict[str, Resources]] = {}
    for minion_id, amount in free.items():
        rack = pool.workers[minion_id].report.rack
        parts.setdefault(rack, {})[minion_id] = amount
    return list(parts.values())
