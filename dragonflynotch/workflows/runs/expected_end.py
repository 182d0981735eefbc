"""When a run is expected to end, by its progress or by its estimate."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.tasks import ActiveRun

__all__ = ('end_by_estimate', 'end_by_progress')

_PERCENT = 100
# Percentages are whole numbers, so a speed from fewer is too uncertain.
_MIN_PERCENT_CHANGE = 3
# Below this the start delay makes up too much of the time since the order.
_MIN_PERCENT_SINCE_ORDER = 10


def end_by_progress(
    run: ActiveRun, now_ms: int, *, is_resumed: bool
) -> int | None:
    """Return the expected end in store time, or ``None`` without progress.

    An expected end that has passed says that the run has slowed down or
    stalled, so nothing is known of its end either.

    Parameters
    ----------
    is_resumed : bool
        Whether the run began with a checkpoint. Its first percentage then
        says nothing about its speed.
    """
    if run.percent >= _PERCENT:
        return run.progress_changed_ms
    change = run.percent - run.first_percent
    duration_ms = run.progress_changed_ms - run.first_percent_ms
    if change < _MIN_PERCENT_CHANGE:
        if is_resumed or run.percent < _MIN_PERCENT_SINCE_ORDER:
            return None
        change = run.percent
        duration_ms = run.progress_changed_ms - run.ordered_ms
    if duration_ms <= 0:
        return None
    remaining_percent = _PERCENT - run.percent
    end_ms = run.progress_changed_ms + duration_ms * remaining_percent // change
    return end_ms if end_ms > now_ms else None


def end_by_estimate(run: ActiveRun, spec: StepSpec, now_ms: int) -> int | None:
    """Return the end by the caller's estimate, or ``None`` once it is past."""
    end_ms = run.ordered_ms + spec.estimated_ms
    return end_ms if end_ms > now_ms else None
