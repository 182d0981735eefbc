"""State of tasks and of their active runs."""

from dataclasses import dataclass, field
from operator import itemgetter

from dragonflynotch.workflows.crash_records import TaskCrash
from dragonflynotch.workflows.jobs import TaskId
from dragonflynotch.workflows.records import TaskRow
from dragonflynotch.workflows.runs.run_pace import RunPace
from dragonflynotch.workflows.runs.worker_health import FAILURE_WINDOW_MS

__all__ = ('ActiveRun', 'Task', 'create_task_row')

# Most entries of the history of a task that are stored.
_MAX_STORED_CRASHES = 20
_MAX_STORED_FAILURES = 50


@dataclass(slots=True)
class ActiveRun:
    """A run with an active order.

    Parameters
    ----------
    minion_id : str
        Identifier of the incarnation that was ordered to run the task.
    ordered_ms : int
        Store time at which the run was ordered.
    is_stopping : bool
        Whether the run has been ordered to stop.
    stop_ordered_ms : int
        Store time at which it was ordered to stop, if that is known. 0 after a
        takeover, so that the stop counts as late.
    is_reported : bool
        Whether any report has listed the run as running.
    percent : int
        Last reported progress.
    progress_changed_ms : int
        Store time at which the progress last changed.
    progress_read_ms : int
        Store time at which the guard last read the progress.
    first_percent, first_percent_ms : int
        First progress above 0 that was reported, and its store time.
    is_backfill : bool
        Whether the run was started in idle room, see ``Order.is_backfill``.
    """

    minion_id: str
    run: int
    ordered_ms: int
    is_stopping: bool = False
    stop_ordered_ms: int = 0
    is_reported: bool = False
    percent: int = 0
    progress_changed_ms: int = 0
    progress_read_ms: int = 0
    first_percent: int = 0
    first_percent_ms: int = 0
    is_backfill: bool = False

    @property
    def still_ms(self) -> int:
        """How long the progress is known not to have changed."""
        return self.progress_read_ms - self.progress_changed_ms

    def matches(self, minion_id: str, run: int) -> bool:
        """Return whether this is the given run on the given minion."""
        return self.minion_id == minion_id and self.run == run


@dataclass(slots=True)
class Task:
    """A task of one occurrence.

    Parameters
    ----------
    failures : int
        Runs that ended as failed.
    failed_on : dict of str to int
        Store time of the last failed or stalled run, by minion.
    last_failed_run : int
        Last run that was counted as a failure; 0 if there is none.
    crashes : list of TaskCrash
        Crashes of minions that the task may have caused.
    failed_starts : int
        Orders in a row whose run did not start for a fault of the worker.
    is_lost : bool
        Whether the last run to end was lost with its minion. Not stored: a
        new leader finds the runs that were lost before it by itself.
    pace : RunPace
        Pace of the active run, beside the best of all runs. Not stored.
    """

    task_id: TaskId
    run: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ''
    active: ActiveRun | None = None
    failed_on: dict[str, int] = field(default_factory=dict)
    last_failed_run: int = 0
    crashes: list[TaskCrash] = field(default_factory=list)
    failed_starts: int = 0
    is_lost: bool = False
    pace: RunPace = field(default_factory=RunPace)

    @property
    def label(self) -> str:
        """Name of the task within its job, for messages to callers."""
        return f'task {self.task_id.index} of step {self.task_id.step}'

    @property
    def is_waiting(self) -> bool:
        """Whether the task is not done and has no active run."""
        return not self.is_done and self.active is None

    @property
    def is_unrestricted(self) -> bool:
        """Whether no earlier run limits the workers that the task may use."""
        return not self.failed_on and not self.crashes

    @property
    def shows_start(self) -> bool:
        """Whether what is stored of the task shows that a run has begun.

        A crash does not: the run may only have been ordered from the minion.
        """
        return (
            self.is_done
            or self.failures > 0
            or bool(self.checkpoint)
            or bool(self.failed_on)
        )

    def record_failure(self, minion_id: str, now_ms: int) -> None:
        """Record that a run failed or stalled on a minion."""
        recent = self.recent_failures(now_ms)
        self.failed_on = {
            minion: at_ms
            for minion, at_ms in self.failed_on.items()
            if minion in recent
        }
        self.failed_on[minion_id] = now_ms

    def recent_failures(self, now_ms: int) -> set[str]:
        """Return the minions on which the task failed recently."""
        return {
            minion
            for minion, at_ms in self.failed_on.items()
            if now_ms - at_ms < FAILURE_WINDOW_MS
        }


def create_task_row(task: Task) -> TaskRow:
    """Return the stored form of a task; old entries of long lists are left out.

    A task is given up after fewer crashes.
    """
    latest = sorted(task.failed_on.items(), key=itemgetter(1))
    return TaskRow(
        str(task.task_id).partition('.')[2],
        task.run,
        task.failures,
        task.is_done,
        task.checkpoint,
        dict(latest[-_MAX_STORED_FAILURES:]),
        task.last_failed_run,
        task.crashes[-_MAX_STORED_CRASHES:],
    )
