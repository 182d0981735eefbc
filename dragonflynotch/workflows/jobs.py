"""Jobs as callers submit them: steps of identical tasks."""

import re
from dataclasses import dataclass

import msgspec

from dragonflynotch.workflows.resources import Resources

__all__ = ('JobSpec', 'StepSpec', 'TaskId', 'parse_task_id')

_TASK_NAME = re.compile(r'([^.]+)\.(\d+)\.(\d+)\.(\d+)', re.ASCII)


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Name of a task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the form used in rows and orders."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_id(text: str) -> TaskId | None:
    """Return the identifier, or ``None`` if ``text`` is not one."""
    match = _TASK_NAME.fullmatch(text)
    if match is None:
        return None
    job_id, *numbers = match.groups()
    return TaskId(job_id, *map(int, numbers))


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks that need the same and may start together.

    Parameters
    ----------
    count : int
        Number of tasks.
    millicores, memory_mb, accelerators : int
        Needs of each task.
    estimated_ms : int
        The caller's estimate of the run time of a task.
    after : tuple of int
        Steps whose tasks must all have completed.
    is_gang : bool
        Whether the tasks only work while all of them run.
    wants_one_rack : bool
        Whether the tasks are much slower when spread over racks.
    has_checkpoints : bool
        Whether a stopped task can resume.
    constraint : str
        Label that the worker must have, or ``''``.
    data_rack : str
        Rack on which the tasks are fast, or ``''``.
    max_per_worker : int
        Most tasks of one occurrence on a worker; 0 for no limit.
    is_speculative : bool
        Whether copies may run at the same time.
    is_long_running : bool
        Whether tasks run until the job is cancelled.
    fills : bool
        Whether the processor need is not counted against the worker.
    max_unavailable : int or None
        How many tasks the scheduler may make unavailable at a time.
    """

    count: int
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    wants_one_rack: bool = False
    has_checkpoints: bool = False
    constraint: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    fills: bool = False
    max_unavailable: int | None = None

    @property
    def is_sound(self) -> bool:
        """Whether the step has tasks and asks for no negative amount."""
        return self.count > 0 and not any(
            amount < 0
            for amount in (
                self.millicores,
                self.memory_mb,
                self.accelerators,
                self.estimated_ms,
                self.max_per_worker,
            )
        )

    @property
    def needs(self) -> Resources:
        """Needs of one task that count against its worker."""
        return Resources(
            0 if self.fills else self.millicores,
            self.memory_mb,
            self.accelerators,
        )


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted job; its row is written once.

    Parameters
    ----------
    queue : str
        Name of the queue.
    workspace : str
        Name of the workspace, or ``''`` on a public queue.
    payload : str
        Text passed to each task.
    steps : tuple of StepSpec
        Steps, in the order of their numbers.
    service : str
        Service of the queue when the job was accepted.
    accepted_ms : int
        Store time of the acceptance.
    repetitions : int
        How many times the steps run; 0 for once and at once.
    first_due_ms, interval_ms : int
        Times of the occurrences, from 1970.
    """

    queue: str
    workspace: str
    service: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int = 0
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_sound(self) -> bool:
        """Whether all numbers make sense and steps follow earlier ones."""
        return bool(self.steps) and all(
            step.is_sound and all(0 <= one < number for one in step.after)
            for number, step in enumerate(self.steps)
        )

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repetitions)

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence; 0 for at once."""
        if not self.repetitions:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms
