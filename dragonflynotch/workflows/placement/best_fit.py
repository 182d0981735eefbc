"""Choice of workers for the tasks of a step."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import repeat

from dragonflynotch.workflows.placement.avoidance import avoided_by_task
from dragonflynotch.workflows.placement.recent_starts import must_start_apart
from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.worker_preference import (
    WorkerPreference,
)
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.tasks import Task

__all__ = (
    'avoided_starts',
    'fit_gang',
    'fits_one_rack',
    'choose_gang_workers',
    'choose_worker',
)


def choose_worker(
    pool: WorkerPool,
    demand: Demand,
    task: Task,
    step_tasks_by_minion: Counter[str],
) -> Worker | None:
    """Return the best worker for one task, or ``None`` if it fits on none.

    Parameters
    ----------
    step_tasks_by_minion : Counter
        Number of active tasks of the step by minion.
    """
    spec = demand.step.spec
    avoided = _avoided_minions(pool, demand, [task])
    fitting = [
        (worker, pool.available(worker, demand))
        for worker in pool.candidates(demand)
        if worker.minion_id not in avoided
        and not (
            spec.max_per_worker
            and step_tasks_by_minion[worker.minion_id] >= spec.max_per_worker
        )
    ]
    fitting = [
        (worker, free) for worker, free in fitting if free.covers(spec.needs)
    ]
    if not fitting:
        return None
    preference = WorkerPreference(pool, spec, [task])
    worker, _ = min(fitting, key=lambda pair: preference.rank(*pair))
    return worker


def choose_gang_workers(
    pool: WorkerPool, demand: Demand
) -> list[Worker] | None:
    """Return a worker for each member of a gang, or ``None``.

    The result is ``None`` if not all members fit.
    """
    tasks = demand.step.tasks
    avoided = _avoided_minions(pool, demand, tasks)
    available = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
        if worker.minion_id not in avoided
    }
    return fit_gang(pool, demand, available)


def avoided_starts(
    pool: WorkerPool, demand: Demand, tasks: list[Task]
) -> set[str]:
    """Return the minions on which tasks must not start so soon."""
    if must_start_apart(tasks, pool.now_ms):
        return set(pool.recent_starts.minions)
    if demand.may_join_suspects:
        return set()
    return set(pool.recent_starts.suspect_minions)


def _avoided_minions(
    pool: WorkerPool, demand: Demand, tasks: list[Task]
) -> set[str]:
    """Return the minions on which tasks that start together do not start."""
    avoided = avoided_starts(pool, demand, tasks)
    if demand.ignores_preferences:
        return avoided
    avoided |= pool.trials.too_risky_for(tasks, demand.max_attempts)
    if not demand.step.spec.is_gang:
        for task in tasks:
            avoided |= avoided_by_task(pool, demand.step, demand.service, task)
    return avoided


def fits_one_rack(pool: WorkerPool, step: Step, service: str) -> bool:
    """Return whether all tasks would fit on one rack if it were empty."""
    demand = Demand(step, service, 0)
    capacity = {
        worker.minion_id: worker.report.resources
        for worker in pool.eligible_workers(demand)
    }
    workers = [pool.find(minion_id) for minion_id in capacity]
    return bool(
        _racks_that_fit(
            pool, workers, capacity, step.spec.needs, len(step.tasks)
        )
    )


def fit_gang(
    pool: WorkerPool, demand: Demand, available: Mapping[str, Resources]
) -> list[Worker] | None:
    """Return a worker for each member of a gang, or ``None``.

    A gang that wants one rack is spread over several only if it fits on none
    and the demand allows it.

    Parameters
    ----------
    available : mapping
        Resources that the gang may use, by minion.
    """
    if not StepFit(pool, demand, available).fits:
        return None
    spec = demand.step.spec
    count = len(demand.step.tasks)
    workers = [pool.find(minion_id) for minion_id in available]
    if spec.wants_one_rack:
        for rack in _racks_that_fit(
            pool, workers, available, spec.needs, count
        ):
            found = _assign_workers(pool, rack, available, demand)
            if found is not None:
                return found
        if not demand.may_span_racks:
            return None
    return _assign_workers(pool, workers, available, demand)


def _racks_that_fit(
    pool: WorkerPool,
    workers: Iterable[Worker],
    available: Mapping[str, Resources],
    needs: Resources,
    count: int,
) -> list[list[Worker]]:
    """Return the racks that the gang fits on, the fullest first.

    Racks on which it needs workers that might not start a run come last.
    """
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.report.rack].append(worker)
    fits = []
    for name, members in racks.items():
        fit_counts = {
            member.minion_id: available[member.minion_id].fit_count(needs)
            for member in members
        }
        total = sum(fit_counts.values())
        at_risk = sum(
            fit_count
            for minion_id, fit_count in fit_counts.items()
            if minion_id in pool.start_risks
        )
        if total >= count:
            fits.append((total - at_risk < count, total, name))
    return [racks[rack] for _, _, rack in sorted(fits)]


def _assign_workers(
    pool: WorkerPool,
    workers: Sequence[Worker],
    available: Mapping[str, Resources],
    demand: Demand,
) -> list[Worker] | None:
    spec = demand.step.spec
    count = len(demand.step.tasks)
    preference = WorkerPreference(pool, spec, demand.step.tasks)
    ordered = sorted(
        workers,
        key=lambda worker: preference.rank(worker, available[worker.minion_id]),
    )
    chosen: list[Worker] = []
    for worker in ordered:
        fitting = available[worker.minion_id].fit_count(spec.needs)
        if spec.max_per_worker:
            fitting = min(fitting, spec.max_per_worker)
        chosen.extend(repeat(worker, min(fitting, count - len(chosen))))
        if len(chosen) == count:
            return chosen
    return None
