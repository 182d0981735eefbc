"""Creates the task reconciler of a guard from its settings."""

from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.guard.order_api import OrderApi
from dragonflynotch.guard.tasks import TaskReconciler, TaskTimings
from dragonflynotch.records.settings import GuardSettings, TaskSettings
from dragonflynotch.services.worker import HttpWorkerRuntime

__all__ = (
    'create_order_api',
    'create_task_reconciler',
    'run_task_reconciler',
)


def create_task_reconciler(
    settings: GuardSettings,
    incarnation: int,
    clock: Clock,
    on_progress: Callable[[], None],
) -> TaskReconciler | None:
    """Return the reconciler, or ``None`` for a guard without a worker."""
    worker = settings.worker
    if worker is None:
        return None
    timeout = timedelta(milliseconds=settings.tasks.worker_timeout_ms)
    return TaskReconciler(
        settings.guard_id,
        incarnation,
        HttpWorkerRuntime(worker.address.host_and_port, timeout),
        worker.accelerators,
        clock,
        _timings(settings.tasks, settings.drain_notice_ms),
        on_progress,
    )


async def run_task_reconciler(reconciler: TaskReconciler | None) -> None:
    """Run the reconciler, if there is one, until cancelled."""
    if reconciler is not None:
        await reconciler.run()


def create_order_api(reconciler: TaskReconciler | None) -> OrderApi | None:
    """Return the HTTP interface, or ``None`` without a reconciler."""
    return None if reconciler is None else OrderApi(reconciler)


def _timings(settings: TaskSettings, drain_notice_ms: int) -> TaskTimings:
    return TaskTimings(
        task_lease=timedelta(milliseconds=settings.task_lease_ms),
        start_confirmation=timedelta(
            milliseconds=settings.start_confirmation_ms
        ),
        worker_poll=timedelta(milliseconds=settings.worker_poll_ms),
        worker_idle_poll=timedelta(milliseconds=settings.worker_idle_poll_ms),
        worker_silence=timedelta(milliseconds=settings.worker_silence_ms),
        drain_notice=timedelta(milliseconds=drain_notice_ms),
    )
