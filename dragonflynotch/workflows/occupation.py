"""What holds the room of workers, and what stopping it would lose."""

from collections import defaultdict

from dragonflynotch.workflows.job_registry import FoundTask, JobRegistry
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.order_ledger import OrderLedger
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.workers import Occupation

__all__ = ('list_occupations', 'work_of')

_PERCENT = 100
_MS_PER_S = 1000
_MILLICORES = 1000
# Cores that an accelerator is worth when lost work is compared.
_CORES_PER_ACCELERATOR = 8
# A run that has outlived its estimate is expected to end soon.
_MIN_REMAINING_MS = 300
# Resuming costs about as much as this much work.
_RESTART_MS = 1000


def list_occupations(
    jobs: JobRegistry, orders: OrderLedger, now_ms: int, stop_ms: int
) -> dict[str, list[Occupation]]:
    """Return what holds room, by minion.

    Parameters
    ----------
    stop_ms : int
        Longest time that a stop takes.
    """
    held: dict[str, list[Occupation]] = defaultdict(list)
    for (minion_id, name), order in orders:
        found = jobs.find(name)
        if found is not None:
            held[minion_id].append(
                _occupation(jobs, found, order, now_ms, stop_ms)
            )
    return held


def _group(found: FoundTask) -> str:
    job, step, task = found
    if step.spec.is_gang:
        return f'{job.job_id}.{step.occurrence}.{step.number}'
    return str(task.task_id)


def work_of(spec: StepSpec) -> float:
    """Return the estimated work of a step, in core seconds."""
    return _cores(spec) * spec.count * spec.estimated_ms / _MS_PER_S


def _cores(spec: StepSpec) -> float:
    return (
        spec.millicores / _MILLICORES
        + spec.accelerators * _CORES_PER_ACCELERATOR
    )


def _occupation(
    jobs: JobRegistry, found: FoundTask, order: Order, now_ms: int, stop_ms: int
) -> Occupation:
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
    lost_ms = _RESTART_MS
    if not spec.has_checkpoints:
        lost_ms += elapsed_ms
    return Occupation(
        task.task_id,
        order.resources,
        now_ms + max(_MIN_REMAINING_MS, remaining_ms),
        group=_group(found),
        preemption_cost=_cores(spec) * lost_ms / _MS_PER_S,
        is_stopping=order.is_stopped,
        is_resumable=spec.has_checkpoints,
        priority=jobs.queue(job).priority,
        is_preemptible=(
            spec.max_unavailable is None and not spec.is_long_running
        ),
    )
