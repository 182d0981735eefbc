"""Creates the task keeper of a guard from its settings."""

from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.guard.order_api import TaskApi
from dragonflynotch.guard.tasks import TaskKeeper, TaskPolicy
from dragonflynotch.records.settings import GuardSettings, TaskSettings
from dragonflynotch.services.worker import HttpWorkerRuntime

__all__ = ('create_task_keeper', 'run_task_keeper', 'task_api')


def create_task_keeper(
    settings: GuardSettings,
    incarnation: int,
    clock: Clock,
    on_progress: Callable[[], None],
) -> TaskKeeper | None:
    """Return the keeper, or ``None`` for a guard without a worker."""
    worker = settings.worker
    if worker is None:
        return None
    timeout = timedelta(milliseconds=settings.tasks.worker_timeout_ms)
    return TaskKeeper(
        settings.guard_id,
        incarnation,
        HttpWorkerRuntime(worker.address.pair, timeout),
        worker.accelerators,
        clock,
        _policy(settings.tasks, settings.drain_notice_ms),
        on_progress,
    )


async def run_task_keeper(keeper: TaskKeeper | None) -> None:
    """Run the keeper until cancelled."""
    if keeper is not None:
        await keeper.run()


def task_api(keeper: TaskKeeper | None) -> TaskApi | None:
    """Return the HTTP interface of the keeper."""
    return None if keeper is None else TaskApi(keeper)


def _policy(settings: TaskSettings, drain_notice_ms: int) -> TaskPolicy:
    return TaskPolicy(
        task_lease=timedelta(milliseconds=settings.task_lease_ms),
        start_confirmation=timedelta(
            milliseconds=settings.start_confirmation_ms
        ),
        worker_poll=timedelta(milliseconds=settings.worker_poll_ms),
        worker_idle_poll=timedelta(milliseconds=settings.worker_idle_poll_ms),
        worker_silence=timedelta(milliseconds=settings.worker_silence_ms),
        drain_notice=timedelta(milliseconds=drain_notice_ms),
    )
