"""Workers that a task avoids for some time after it failed there.

Each failed run uses up an attempt, and a worker that fails all its runs at once
always has room. So a retry waits for another worker, even if only the one that
failed it has room, unless no other worker could run the task at all.
"""

from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.tasks import Task

__all__ = ('avoided_by_step', 'avoided_by_task')


def avoided_by_task(
    pool: WorkerPool, step: Step, service: str, task: Task
) -> frozenset[str]:
    """Return the minions that a task of a step other than a gang avoids."""
    return _avoided(pool, step, service, task.recent_failures(pool.now_ms))


def avoided_by_step(
    pool: WorkerPool, step: Step, service: str
) -> frozenset[str]:
    """Return the minions that all waiting tasks of a step avoid.

    The members of a gang fail together and so avoid the same minions, also
    while they run: a gang can be moved.
    """
    tasks = step.tasks if step.spec.is_gang else step.waiting_tasks
    failures = [task.recent_failures(pool.now_ms) for task in tasks]
    if not failures:
        return frozenset()
    combine = set.union if step.spec.is_gang else set.intersection
    return _avoided(pool, step, service, combine(*failures))


def _avoided(
    pool: WorkerPool, step: Step, service: str, recent_failures: set[str]
) -> frozenset[str]:
    """Return the minions to avoid, or none if no others could run the step."""
    avoided = frozenset(recent_failures)
    # The runs of a long-running task are not limited in number.
    if not avoided or step.spec.is_long_running:
        return frozenset()
    return avoided if pool.could_run(step, service, avoided) else frozenset()
