"""Run-time state of jobs: tasks, their runs and what has ended."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from dragonflynotch.workflows.jobs import JobSpec, StepSpec, TaskId
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    TaskRow,
)

__all__ = ('ActiveRun', 'Job', 'Step', 'Task')


@dataclass(slots=True)
class ActiveRun:
    """A run whose order stands.

    Parameters
    ----------
    minion_id : str
        Incarnation that was told to run it.
    ordered_ms : int
        Store time of the order.
    percent : int
        Progress reported last.
    moved_ms : int
        Store time at which the progress last changed.
    """

    minion_id: str
    run: int
    ordered_ms: int
    is_stopping: bool = False
    is_present: bool = False
    percent: int = 0
    moved_ms: int = 0

    def is_run(self, minion_id: str, run: int) -> bool:
        """Return whether this is the given run on the given minion."""
        return self.minion_id == minion_id and self.run == run


@dataclass(slots=True)
class Task:
    """One task of an occurrence.

    Parameters
    ----------
    failures : int
        Runs that ended as failed.
    avoided : set of str
        Minions on which a run failed or stood still.
    """

    task_id: TaskId
    run: int = 0
    failures: int = 0
    is_done: bool = False
    checkpoint: str = ''
    active: ActiveRun | None = None
    avoided: set[str] = field(default_factory=set)

    @property
    def is_waiting(self) -> bool:
        """Whether the task needs a run and has none."""
        return not self.is_done and self.active is None


@dataclass(slots=True)
class Step:
    """Tasks of one step of one occurrence."""

    spec: StepSpec
    number: int
    occurrence: int
    tasks: list[Task]
    # Gang runs that failed: the gang fails once however many members do.
    failed_runs: set[int] = field(default_factory=set)

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.is_done for task in self.tasks)

    @property
    def has_active_runs(self) -> bool:
        """Whether an order of any task stands."""
        return any(task.active is not None for task in self.tasks)

    @property
    def attempts(self) -> int:
        """Return the failed runs that count against the limit."""
        return max((task.failures for task in self.tasks), default=0)

    def has_failed(self, max_attempts: int) -> bool:
        """Return whether the step cannot be completed any more."""
        return (
            self.attempts >= max_attempts
            and not self.is_done
            and not self.spec.is_long_running
        )

    @property
    def waiting_tasks(self) -> list[Task]:
        """Tasks that could start now.

        A gang starts as a whole, after every run of it has ended.
        """
        if self.spec.is_gang:
            if self.is_done or self.has_active_runs:
                return []
            return list(self.tasks)
        return [task for task in self.tasks if task.is_waiting]


class Job:
    """A job with all of its occurrences.

    Parameters
    ----------
    job_id : str
        Identifier chosen by the caller.
    spec : JobSpec
        What was submitted.
    """

    def __init__(self, job_id: str, spec: JobSpec) -> None:
        """Create a job without a run."""
        self.job_id = job_id
        self.spec = spec
        self.state = JobState.queued
        self.ended_ms = 0
        self.steps = [
            self._create_step(occurrence, number, step)
            for occurrence in range(spec.occurrences)
            for number, step in enumerate(spec.steps)
        ]
        self._by_name = {
            task.task_id: (step, task)
            for step in self.steps
            for task in step.tasks
        }

    def find(self, task_id: TaskId) -> tuple[Step, Task] | None:
        """Return a task with its step."""
        return self._by_name.get(task_id)

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        for step in self.steps:
            yield from step.tasks

    def is_reached(self, step: Step) -> bool:
        """Return whether all steps before this one are done."""
        first = step.occurrence * len(self.spec.steps)
        return all(
            self.steps[first + number].is_done for number in step.spec.after
        )

    def restore(self, row: ProgressRow) -> None:
        """Take the stored progress."""
        self.state = row.state
        self.ended_ms = row.ended_ms
        for stored in row.tasks:
            found = self._by_name.get(_task_id(self.job_id, stored.name))
            if found is None:
                continue
            task = found[1]
            task.run = stored.run
            task.failures = stored.failures
            task.is_done = stored.is_done
            task.checkpoint = stored.checkpoint

    def progress_row(self) -> ProgressRow:
        """Return the progress to store."""
        return ProgressRow(
            state=self.state,
            tasks=[
                TaskRow(
                    str(task.task_id).partition('.')[2],
                    task.run,
                    task.failures,
                    task.is_done,
                    task.checkpoint,
                )
                for task in self.tasks()
                if task.run
            ],
            ended_ms=self.ended_ms,
        )

    def apply_end(
        self, step: Step, task: Task, kind: EndKind, checkpoint: str
    ) -> None:
        """Take note of the end of the active run of a task."""
        run = task.active.run if task.active else task.run
        task.active = None
        if step.spec.has_checkpoints and checkpoint:
            self.save_checkpoint(step, task, checkpoint)
        if kind is EndKind.done:
            # A gang ends as a whole, so one end stands for all members.
            for member in step.tasks if step.spec.is_gang else (task,):
                member.is_done = not step.spec.is_long_running
        elif kind is EndKind.failed:
            self._count_failure(step, task, run)

    def _count_failure(self, step: Step, task: Task, run: int) -> None:
        if not step.spec.is_gang:
            task.failures += 1
        elif run not in step.failed_runs:
            step.failed_runs.add(run)
            for member in step.tasks:
                member.failures += 1

    def save_checkpoint(self, step: Step, task: Task, checkpoint: str) -> None:
        """Keep a checkpoint; that of any member is valid for its gang."""
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


def _task_id(job_id: str, name: str) -> TaskId:
    occurrence, step, index = name.split('.')
    return TaskId(job_id, int(occurrence), int(step), int(index))
