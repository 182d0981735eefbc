"""Workers that a task avoids for some time after it failed there.

Each failed run uses up an attempt, and a worker that fails all its runs at once
always has room. So a retry waits for another worker, even if only the one that
failed it has room, unless no other worker could run the task at all.
"""

from collections.abc import Iterable

from dragonflynotch.workflows.progress import Step, Task
from dragonflynotch.workflows.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.workers import Worker

__all__ = ('avoided_by_step', 'avoided_by_task')


def avoided_by_task(
    pool: WorkerPool, step: Step, service: str, task: Task
) -> frozenset[str]:
    """Return the minions that a task of a step other than a gang avoids."""
    return _avoided(pool, step, service, task.recent_failures(pool.now_ms), 1)


def avoided_by_step(
    pool: WorkerPool, step: Step, service: str
) -> frozenset[str]:
    """Return the minions that all waiting tasks of a step avoid.

    The members of a gang fail together and so avoid the same minions.
    """
    failures = [
        task.recent_failures(pool.now_ms) for task in step.waiting_tasks
    ]
    if not failures:
        return frozenset()
    if step.spec.is_gang:
        recent = set[str]().union(*failures)
        return _avoided(pool, step, service, recent, len(step.tasks))
    return _avoided(pool, step, service, set.intersection(*failures), 1)


def _avoided(
    pool: WorkerPool,
    step: Step,
    service: str,
    recent_failures: set[str],
    count: int,
) -> frozenset[str]:
    """Return the minions to avoid if ``count`` tasks would fit on others."""
    # The runs of a long-running task are not limited in number.
    if not recent_failures or step.spec.is_long_running:
        return frozenset()
    avoided = frozenset(recent_failures)
    demand = Demand(
        step,
        service,
        expected_ms=0,
        may_leave_data_rack=True,
        may_span_racks=True,
        avoided_minions=avoided,
    )
    if _capacity_for(step, pool.candidates(demand)) < count:
        return frozenset()
    return avoided


def _capacity_for(step: Step, workers: Iterable[Worker]) -> int:
    """Return how many tasks of the step would fit on empty workers."""
    limit = step.spec.max_per_worker or len(step.tasks)
    return sum(
        min(limit, worker.report.resources.fit_count(step.spec.needs))
        for worker in workers
    )
