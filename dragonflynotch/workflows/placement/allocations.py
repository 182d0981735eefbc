"""Resources held by ordered runs, and the cost of stopping those runs."""

from collections import defaultdict

from dragonflynotch.workflows.job_registry import FoundTask, JobRegistry
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.placement.workers import Allocation
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.tasks import Task

__all__ = (
    'estimated_core_seconds',
    'is_preemptible',
    'list_allocations',
    'may_be_reclaimed',
)

_PERCENT = 100
_MS_PER_S = 1000
_MILLICORES_PER_CORE = 1000
# Cores that count as much as one accelerator when lost work is compared.
_CORES_PER_ACCELERATOR = 8
# Expected remaining time of a run that has exceeded its estimate.
_MIN_REMAINING_MS = 300
# A stop is late once it takes this many times as long as it may take.
_LATE_STOP_FACTOR = 2
# Work lost by any stop: starting the task again takes about this long.
_RESTART_COST_MS = 1000


def list_allocations(
    jobs: JobRegistry, orders: OrderRegistry, now_ms: int, stop_ms: int
) -> dict[str, list[Allocation]]:
    """Return the resources held by ordered runs, by minion.

    Parameters
    ----------
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    """
    allocations: dict[str, list[Allocation]] = defaultdict(list)
    for (minion_id, name), order in orders:
        found = jobs.find(name)
        if found is not None:
            allocations[minion_id].append(
                _allocation(found, order, now_ms, stop_ms)
            )
    return allocations


def _group(found: FoundTask) -> str:
    _, step, task = found
    if step.spec.is_gang:
        return str(step.step_id)
    return str(task.task_id)


def estimated_core_seconds(spec: StepSpec) -> float:
    """Return the estimated work of a step, in core seconds."""
    return _core_equivalents(spec) * spec.count * spec.estimated_ms / _MS_PER_S


def is_preemptible(spec: StepSpec) -> bool:
    """Return whether runs of a step may be stopped for other work."""
    return spec.max_unavailable is None and not spec.is_long_running


def may_be_reclaimed(spec: StepSpec) -> bool:
    """Return whether runs of a step may stop for an earlier step.

    A long-running task loses no attempt by a stop and starts again, but it must
    not hold room for ever that another step waits for.
    """
    return spec.max_unavailable is None


def _core_equivalents(spec: StepSpec) -> float:
    return (
        spec.millicores / _MILLICORES_PER_CORE
        + spec.accelerators * _CORES_PER_ACCELERATOR
    )


def _allocation(
    found: FoundTask, order: Order, now_ms: int, stop_ms: int
) -> Allocation:
    job, step, task = found
    spec = step.spec
    elapsed_ms = 0
    percent = 0
    if task.active is not None:
        elapsed_ms = now_ms - task.active.ordered_ms
        percent = task.active.percent
    remaining_ms = spec.estimated_ms - elapsed_ms
    if percent and elapsed_ms > 0:
        remaining_ms = elapsed_ms * (_PERCENT - percent) // percent
    if order.is_stopped:
        remaining_ms = stop_ms
    lost_ms = _RESTART_COST_MS
    if not spec.has_checkpoints:
        lost_ms += elapsed_ms
    return Allocation(
        task.task_id,
        order.resources,
        now_ms + max(_MIN_REMAINING_MS, remaining_ms),
        group=_group(found),
        preemption_cost=_core_equivalents(spec) * lost_ms / _MS_PER_S,
        is_stopping=order.is_stopped,
        is_stop_late=_is_stop_late(task, order, now_ms, stop_ms),
        is_resumable=spec.has_checkpoints,
        priority=job.policy.priority,
        is_preemptible=is_preemptible(spec),
        is_past_estimate=elapsed_ms > spec.estimated_ms,
        is_backfill=task.active is not None and task.active.is_backfill,
    )


def _is_stop_late(task: Task, order: Order, now_ms: int, stop_ms: int) -> bool:
    if not order.is_stopped or task.active is None:
        return False
    stopping_ms = now_ms - task.active.stop_ordered_ms
    return stopping_ms > _LATE_STOP_FACTOR * stop_ms
