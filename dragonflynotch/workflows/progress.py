"""State of jobs while they run: their steps and stored progress."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

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
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    TaskRow,
)
from dragonflynotch.workflows.runs.crash_budget import is_given_up
from dragonflynotch.workflows.runs.run_pace import RunPace
from dragonflynotch.workflows.tasks import Task, create_task_row

__all__ = ('Job', 'Step')


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

    def failure_reason(self, max_attempts: int | None) -> str:
        """Return why a task may not start again, or ``''``.

        Parameters
        ----------
        max_attempts : int or None
            How many runs of a task may end as failed; ``None`` if not known.
        """
        is_long_running = self.spec.is_long_running
        limit: float = math.inf
        if max_attempts is not None and not is_long_running:
            limit = max(1, max_attempts)
        for task in self.tasks:
            if task.is_done:
                continue
            if task.failures >= limit:
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
        self.policy = spec.policy or QueuePolicy(spec.service)
        # How the job ended; ``None`` while it is open.
        self._end_state: JobState | None = None
        # Whether a minion is known to have begun any run of the job, which is
        # never taken back.
        self._has_started = False
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

    @property
    def state(self) -> JobState:
        """State of the job, which follows from its runs until it ends.

        An order is not a start: its run may never begin.
        """
        if self._end_state is not None:
            return self._end_state
        return JobState.running if self._has_started else JobState.queued

    @property
    def has_started(self) -> bool:
        """Whether a minion is known to have begun any run of the job."""
        return self._has_started

    def record_start(self) -> bool:
        """Record that a minion has begun a run of the job.

        Returns
        -------
        bool
            Whether this changes the state of the job.
        """
        if self._has_started:
            return False
        self._has_started = True
        return self._end_state is None

    def apply_policy(self, policy: QueuePolicy) -> bool:
        """Use what the queue sets in a configuration; return if it differs."""
        has_changed = policy.replaces(self.policy)
        if has_changed:
            self.policy = policy
        return has_changed

    def may_start(self, step: Step) -> bool:
        """Return whether the attempts of the waiting tasks allow a run.

        While their number is not known, a task that has failed can neither
        start again nor be given up. Where it is known, a job with a task that
        has used them up has ended.
        """
        if self.policy.max_attempts is not None or step.spec.is_long_running:
            return True
        return not any(task.failures for task in step.waiting_tasks)

    def end(self, state: JobState, now_ms: int, reason: str) -> None:
        """Record how the job ended, and why if it failed.

        Parameters
        ----------
        now_ms : int
            Store time.
        """
        self._end_state = state
        self.ended_ms = now_ms
        self.reason = reason

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
            self._restore_state(row)
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
            self._has_started |= task.shows_start

    def _restore_state(self, row: ProgressRow) -> None:
        # Rows of releases that did not store ``has_started`` have the state
        # ``running`` from the order on, so it tells nothing about a start.
        self._has_started |= row.has_started
        self.policy = row.policy or self.policy
        self.ended_ms = row.ended_ms
        self._end_state = row.state if row.state.is_final else None
        self.reason = row.reason if row.state.is_final else ''

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
            queue=self.spec.queue,
            has_started=self._has_started,
            policy=None if self.policy == self.spec.policy else self.policy,
        )

    def _task_rows(self, start: int, end: int) -> list[TaskRow]:
        if self.is_unstorable:
            return []
        return [
            create_task_row(task) for task in self._tasks[start:end] if task.run
        ]

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
