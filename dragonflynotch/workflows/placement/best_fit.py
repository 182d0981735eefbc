"""Choice of workers for the tasks of a step."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import repeat

from dragonflynotch.workflows.placement.avoidance import avoided_by_task
from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Step, Task
from dragonflynotch.workflows.resources import Resources

__all__ = ('fit_gang', 'fits_one_rack', 'place_gang', 'place_task')


def place_task(
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
    avoided = avoided_by_task(pool, demand.step, demand.service, task)
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
    worker, _ = min(
        fitting,
        key=lambda pair: (
            pair[0].minion_id in task.failed_on,
            pool.failed_job_counts.get(pair[0].minion_id, 0),
            _leftover_share(pair[0], pair[1], spec.needs),
            pair[0].minion_id,
        ),
    )
    return worker


def place_gang(pool: WorkerPool, demand: Demand) -> list[Worker] | None:
    """Return a worker for each member of a gang, or ``None``.

    The result is ``None`` if not all members fit.
    """
    available = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
    }
    return fit_gang(pool, demand, available)


def fits_one_rack(pool: WorkerPool, step: Step, service: str) -> bool:
    """Return whether all tasks would fit on one rack if it were empty."""
    demand = Demand(step, service, 0)
    capacity = {
        worker.minion_id: worker.report.resources
        for worker in pool.candidates(demand)
    }
    workers = [pool.workers[minion_id] for minion_id in capacity]
    return bool(
        _racks_that_fit(workers, capacity, step.spec.needs, len(step.tasks))
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
    failed_on: set[str] = set()
    for task in demand.step.tasks:
        failed_on |= task.failed_on.keys()
    workers = [pool.workers[minion_id] for minion_id in available]
    if spec.wants_one_rack:
        for rack in _racks_that_fit(workers, available, spec.needs, count):
            found = _assign_workers(
                rack, available, demand, failed_on, pool.failed_job_counts
            )
            if found is not None:
                return found
        if not demand.may_span_racks:
            return None
    return _assign_workers(
        workers, available, demand, failed_on, pool.failed_job_counts
    )


def _racks_that_fit(
    workers: Iterable[Worker],
    available: Mapping[str, Resources],
    needs: Resources,
    count: int,
) -> list[list[Worker]]:
    """Return the racks that the gang fits on, the fullest first."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.report.rack].append(worker)
    fits = []
    for name, members in racks.items():
        total = sum(
            available[member.minion_id].fit_count(needs) for member in members
        )
        if total >= count:
            fits.append((total, name))
    return [racks[rack] for _, rack in sorted(fits)]


def _assign_workers(
    workers: Sequence[Worker],
    available: Mapping[str, Resources],
    demand: Demand,
    failed_on: set[str],
    failed_job_counts: Mapping[str, int],
) -> list[Worker] | None:
    spec = demand.step.spec
    count = len(demand.step.tasks)
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.minion_id in failed_on,
            failed_job_counts.get(worker.minion_id, 0),
            _leftover_share(worker, available[worker.minion_id], spec.needs),
            worker.minion_id,
        ),
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


def _leftover_share(worker: Worker, free: Resources, needs: Resources) -> float:
    """Return the share of the worker that would stay free.

    Choosing the worker with the smallest share is best-fit packing.
    """
    return (free - needs).dominant_share_of(worker.report.resources)
