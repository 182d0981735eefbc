"""State of jobs while they run: steps, tasks and active runs."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from operator import itemgetter

from dragonflynotch.workflows.crash_records import TaskCrash
from dragonflynotch.workflows.jobs import (
    JobSpec,
    StepId,
    StepSpec,
    TaskId,
    parse_task_id,
)
from dragonflynotch.workflows.progress_segments import (
    ProgressSegments,
    progress_key,
)
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    TaskRow,
)
from dragonflynotch.workflows.runs.crash_budget import is_given_up
from dragonflynotch.workflows.runs.run_pace import RunPace
from dragonflynotch.workflows.runs.worker_health import FAILURE_WINDOW_MS

__all__ = ('ActiveRun', 'Job', 'Step', 'Task')

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


@dataclass(slots=True)
class Step:
    """A step of one occurrence, with its tasks."""

    spec: StepSpec
    number: int
    occurrence: int
    tasks: list[Task]

    @property
    def step_id(self) -> StepId:
        """Identifier of the step."""
        return self.tasks[0].task_id.step_id

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.is_done for task in self.tasks)

    @property
    def start_count(self) -> int:
        """Number of tasks that start together: all members, or one task."""
        return len(self.tasks) if self.spec.is_gang else 1

    @property
    def has_active_runs(self) -> bool:
        """Whether any task has an active run."""
        return any(task.active is not None for task in self.tasks)

    def failure_reason(self, max_attempts: int) -> str:
        """Return why a task may not start again, or ``''``.

        Parameters
        ----------
        max_attempts : int
            How many runs of a task may end as failed.
        """
        is_long_running = self.spec.is_long_running
        for task in self.tasks:
            if task.is_done:
                continue
            if task.failures >= max_attempts and not is_long_running:
                return f'{task.label} failed {task.failures} times'
            if task.crashes and is_given_up(
                task.crashes, is_long_running=is_long_running
            ):
                return (
                    f'{task.label} was on {len(task.crashes)} minions '
                    'when they crashed'
                )
        return ''

    @property
    def waiting_tasks(self) -> list[Task]:
        """Tasks that could start now.

        The members of a gang start together, once all of their previous runs
        have ended.
        """
        if self.spec.is_gang:
            if self.is_done or self.has_active_runs:
                return []
            return list(self.tasks)
        return [task for task in self.tasks if task.is_waiting]


class Job:
    """A job with the steps of all its occurrences.

    Parameters
    ----------
    job_id : str
        Identifier chosen by the caller.
    spec : JobSpec
        What was submitted.
    """

    def __init__(self, job_id: str, spec: JobSpec) -> None:
        """Create a job without any runs."""
        self.job_id = job_id
        self.spec = spec
        self.state = JobState.queued
        self.ended_ms = 0
        # Why the job failed, for its caller.
        self.reason = ''
        self.steps = [
            self._create_step(occurrence, number, step)
            for occurrence in range(spec.occurrences)
            for number, step in enumerate(spec.steps)
        ]
        # Whether any task may have crashed a minion.
        self.has_suspects = False
        # Whether the store refuses the progress of the tasks.
        self.is_unstorable = False
        self._by_task_id = {
            task.task_id: (step, task)
            for step in self.steps
            for task in step.tasks
        }
        self._tasks = list(self.tasks())
        self._positions = {
            task.task_id: position for position, task in enumerate(self._tasks)
        }
        self.segments = ProgressSegments(len(self._tasks))

    def find(self, task_id: TaskId) -> tuple[Step, Task] | None:
        """Return the task with its step, or ``None``."""
        return self._by_task_id.get(task_id)

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for step in self.steps:
            yield from step.tasks

    def is_unblocked(self, step: Step) -> bool:
        """Return whether all steps that this one depends on are done."""
        first_index = step.occurrence * len(self.spec.steps)
        return all(
            self.steps[first_index + number].is_done
            for number in step.spec.after
        )

    def restore(self, row: ProgressRow, start: int = 0) -> None:
        """Restore a row of the stored progress.

        Parameters
        ----------
        start : int
            Position of the first task for which the row is decisive.
        """
        if start:
            self.segments.add(start)
        else:
            self.state = row.state
            self.ended_ms = row.ended_ms
            self.reason = row.reason if row.state.is_final else ''
        for stored in row.tasks:
            task_id = parse_task_id(f'{self.job_id}.{stored.name}')
            position = self._positions.get(task_id) if task_id else None
            if position is None or not self.segments.is_decisive(
                start, position
            ):
                continue
            task = self._tasks[position]
            task.run = stored.run
            task.failures = stored.failures
            task.is_done = stored.is_done
            task.checkpoint = stored.checkpoint
            task.failed_on = dict(stored.failed_on)
            task.last_failed_run = stored.last_failed_run
            task.crashes = list(stored.crashes)
            self.has_suspects |= bool(task.crashes)

    def progress_row(self) -> ProgressRow:
        """Return the progress of a small job, in one row."""
        row = self._first_row()
        row.tasks = self._task_rows(0, len(self._tasks))
        return row

    def take_progress(self, max_row_bytes: int) -> dict[str, ProgressRow]:
        """Return the changed rows of the progress, by key.

        Parameters
        ----------
        max_row_bytes : int
            Longest row that the store accepts.
        """
        changes = self.segments.take_changes(
            self._first_row(), self._task_rows, max_row_bytes
        )
        return {progress_key(self.job_id, start): row for start, row in changes}

    @property
    def progress_keys(self) -> list[str]:
        """Keys of the rows of the progress, the first row last."""
        starts = [*reversed(self.segments.further_starts), 0]
        return [progress_key(self.job_id, start) for start in starts]

    def _first_row(self) -> ProgressRow:
        return ProgressRow(
            state=self.state,
            ended_ms=self.ended_ms,
            workspace=self.spec.workspace,
            reason=self.reason,
        )

    def _task_rows(self, start: int, end: int) -> list[TaskRow]:
        if self.is_unstorable:
            return []
        return [_task_row(task) for task in self._tasks[start:end] if task.run]

    def record_crash(self, task: Task, crash: TaskCrash) -> None:
        """Record that a task may have crashed a minion."""
        task.crashes.append(crash)
        self.has_suspects = True

    def apply_end(
        self, step: Step, task: Task, kind: EndKind, checkpoint: str
    ) -> None:
        """Record the end of the active run of a task."""
        run = task.active.run if task.active else task.run
        task.active = None
        task.pace = RunPace(task.pace.best_ms)
        task.is_lost = kind is EndKind.lapsed
        if step.spec.has_checkpoints and checkpoint:
            self.save_checkpoint(step, task, checkpoint)
        if kind is EndKind.done:
            # The members of a gang complete together, so the end of one counts
            # for all.
            for member in step.tasks if step.spec.is_gang else (task,):
                member.is_done = not step.spec.is_long_running
        elif kind is EndKind.failed:
            self._count_failure(step, task, run)

    def _count_failure(self, step: Step, task: Task, run: int) -> None:
        # A run of a gang counts once, however many of its members fail. After a
        # takeover an end that the progress already counts may be applied again.
        if run <= task.last_failed_run:
            return
        for member in step.tasks if step.spec.is_gang else (task,):
            member.failures += 1
            member.last_failed_run = run

    def save_checkpoint(self, step: Step, task: Task, checkpoint: str) -> None:
        """Save a checkpoint; one from any member is valid for its gang."""
        for member in step.tasks if step.spec.is_gang else (task,):
            member.checkpoint = checkpoint

    def _create_step(
        self, occurrence: int, number: int, step: StepSpec
    ) -> Step:
        return Step(
            step,
            number,
            occurrence,
            [
                Task(TaskId(self.job_id, occurrence, number, index))
                for index in range(step.count)
            ],
        )


def _task_row(task: Task) -> TaskRow:
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
