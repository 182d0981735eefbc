"""Why a job without a running task does not run."""

from dataclasses import dataclass
from enum import StrEnum

from dragonflynotch.workflows.placement.step_room import StepRoom
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.runs.reported_runs import ReportedRuns
from dragonflynotch.workflows.tasks import Task

__all__ = (
    'IdleCause',
    'IdleStep',
    'UnreportedRun',
    'describe_ordered_step',
    'describe_waiting_step',
)


class IdleCause(StrEnum):
    """What keeps a step from running although its turn has come."""

    # Room is free, but reserved for steps that come earlier.
    reserved = 'reserved'
    # Room is free on workers that the task avoids after a failure.
    avoided = 'avoided'
    # Room is free on workers that are excluded for their failures.
    excluded = 'excluded'
    # Room is free where runs have just started, while a task is suspected.
    kept_apart = 'kept_apart'
    # Room is free on other racks than the one wanted.
    off_rack = 'off_rack'
    # There is too little free room on all workers together.
    full = 'full'
    # The step would not fit even if all of its workers were empty.
    no_candidates = 'no_candidates'
    # No run may start, since requests to evacuate could not be read.
    starts_paused = 'starts_paused'
    # A run is ordered, and no report has listed it yet.
    order_unreported = 'order_unreported'
    # A run is ordered to stop, and its end has not been recorded.
    order_stopping = 'order_stopping'
    # Only some members of a gang are ordered; it restarts once they end.
    gang_incomplete = 'gang_incomplete'
    # The last report no longer lists the run; its end has not been recorded.
    end_not_recorded = 'end_not_recorded'
    # The run was listed by a report that is too old to rely on.
    report_outdated = 'report_outdated'
    # The cause has not been determined yet.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class UnreportedRun:
    """An ordered run that no recent report lists.

    Parameters
    ----------
    order_age_ms : int
        Time since the run was ordered.
    was_reported : bool
        Whether any report has listed the run.
    is_listed : bool
        Whether the last report of the minion lists the run.
    report_age_ms : int or None
        Age of what is known of the runs of the minion; ``None`` if no guard
        reports it.
    is_report_recent : bool
        Whether that is recent enough to rely on.
    """

    task: str
    minion: str
    order_age_ms: int
    is_stopping: bool
    was_reported: bool
    is_listed: bool
    report_age_ms: int | None
    is_report_recent: bool


@dataclass(frozen=True, slots=True)
class IdleStep:
    """A step whose turn has come and that does not run.

    Parameters
    ----------
    waiting_tasks : int
        Tasks without an order.
    ordered_tasks : int
        Tasks with an order that no recent report lists as running.
    oldest_order : UnreportedRun or None
        The one of these that was ordered first.
    room : StepRoom or None
        Where waiting tasks would fit, if that was counted.
    """

    occurrence: int
    step: int
    cause: IdleCause
    waiting_tasks: int = 0
    ordered_tasks: int = 0
    oldest_order: UnreportedRun | None = None
    room: StepRoom | None = None


def describe_ordered_step(
    step: Step, reported: ReportedRuns, now_ms: int
) -> IdleStep:
    """Return what is known of a step with orders."""
    runs = [
        run
        for task in step.tasks
        if (run := _unreported_run(task, reported, now_ms)) is not None
    ]
    oldest = max(runs, key=lambda run: run.order_age_ms)
    is_incomplete = step.spec.is_gang and len(runs) < len(step.tasks)
    return IdleStep(
        step.occurrence,
        step.number,
        IdleCause.gang_incomplete if is_incomplete else _cause_of_run(oldest),
        len(step.waiting_tasks),
        len(runs),
        oldest,
    )


def describe_waiting_step(
    step: Step, room: StepRoom | None, *, may_start: bool
) -> IdleStep:
    """Return what is known of a step without orders.

    Parameters
    ----------
    may_start : bool
        Whether any run may be ordered at present.
    """
    cause = IdleCause.starts_paused
    if may_start:
        cause = IdleCause.unknown if room is None else _cause_of_wait(room)
    return IdleStep(
        step.occurrence, step.number, cause, len(step.waiting_tasks), room=room
    )


def _unreported_run(
    task: Task, reported: ReportedRuns, now_ms: int
) -> UnreportedRun | None:
    active = task.active
    if active is None:
        return None
    name = str(task.task_id)
    return UnreportedRun(
        name,
        active.minion_id,
        now_ms - active.ordered_ms,
        active.is_stopping,
        active.is_reported,
        reported.is_listed(active.minion_id, name, active.run),
        reported.age_ms(active.minion_id),
        reported.is_recent(active.minion_id),
    )


def _cause_of_run(run: UnreportedRun) -> IdleCause:
    if run.is_stopping:
        return IdleCause.order_stopping
    if run.is_listed:
        return IdleCause.report_outdated
    if run.was_reported:
        return IdleCause.end_not_recorded
    return IdleCause.order_unreported


def _cause_of_wait(room: StepRoom) -> IdleCause:
    """Return the cause for which most of the room may not be used."""
    if room.fit_empty < room.wanted:
        return IdleCause.no_candidates
    if room.fit_now >= room.wanted:
        # A gang that fits, but not on one rack.
        return IdleCause.off_rack
    kept = {
        IdleCause.reserved: room.fit_reserved,
        IdleCause.avoided: room.fit_avoided,
        IdleCause.excluded: room.fit_excluded,
        IdleCause.kept_apart: room.fit_kept_apart,
        IdleCause.off_rack: room.fit_off_rack,
    }
    if room.fit_now + sum(kept.values()) < room.wanted:
        return IdleCause.full
    return max(kept, key=lambda cause: kept[cause])
