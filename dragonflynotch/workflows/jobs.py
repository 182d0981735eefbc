"""Submitted jobs, which consist of steps of identical tasks."""

import re
from dataclasses import dataclass

import msgspec

from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.bounds import (
    Accelerators,
    Count,
    DurationMs,
    Megabytes,
    Millicores,
    TimeMs,
)
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.resources import Resources

__all__ = (
    'JobSpec',
    'StepId',
    'StepSpec',
    'TaskId',
    'decode_job_spec',
    'is_job_key',
    'parse_task_id',
)

# The digits are limited because ``int`` refuses long numbers.
_TASK_ID = re.compile(r'([^.]+)\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})', re.ASCII)
_JOB_ID = re.compile('[0-9A-Za-z_-]{1,64}')
# Each task is kept in memory and in the row of the job's progress.
_MAX_TASKS = 20_000


@dataclass(frozen=True, slots=True, order=True)
class StepId:
    """Identifier of a step: a job, an occurrence and a number."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Return the text form used in logs."""
        return f'{self.job_id}.{self.occurrence}.{self.step}'


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Identifier of a task: a job, an occurrence, a step and an index."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_id(self) -> StepId:
        """Step that the task belongs to."""
        return StepId(self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        """Return the text form used in rows and orders."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_id(text: str) -> TaskId | None:
    """Return the identifier, or ``None`` if ``text`` is malformed."""
    match = _TASK_ID.fullmatch(text)
    if match is None:
        return None
    job_id, *numbers = match.groups()
    return TaskId(job_id, *map(int, numbers))


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step: identical tasks that may start at the same time.

    Parameters
    ----------
    count : int
        Number of tasks.
    millicores, memory_mb, accelerators : int
        Resources needed by each task.
    estimated_ms : int
        The caller's estimate of the run time of a task.
    after : tuple of int
        Numbers of the steps that must have completed before this one starts.
    is_gang : bool
        Whether the tasks can only work while all of them run.
    wants_one_rack : bool
        Whether the tasks run much slower when spread over several racks.
    has_checkpoints : bool
        Whether a stopped task can resume from a checkpoint.
    constraint : str
        Label that the worker must have, or ``''``.
    data_rack : str
        Rack that holds the data of the tasks, on which they run fastest, or
        ``''``.
    max_per_worker : int
        Most tasks of one occurrence of the step on one worker; 0 for no
        limit.
    is_speculative : bool
        Whether copies of a task may run at the same time.
    is_long_running : bool
        Whether tasks run until the job is cancelled.
    ignores_cpu : bool
        Whether ``millicores`` is not counted against the worker's capacity.
    max_unavailable : int or None
        How many tasks the scheduler may make unavailable at a time. If set,
        the tasks are never stopped for more urgent work.
    """

    count: Count
    millicores: Millicores = 0
    memory_mb: Megabytes = 0
    accelerators: Accelerators = 0
    estimated_ms: DurationMs = 0
    after: tuple[Count, ...] = ()
    is_gang: bool = False
    wants_one_rack: bool = False
    has_checkpoints: bool = False
    constraint: str = ''
    data_rack: str = ''
    max_per_worker: Count = 0
    is_speculative: bool = False
    is_long_running: bool = False
    ignores_cpu: bool = msgspec.field(name='fills', default=False)
    max_unavailable: Count | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the step has tasks and no amount is negative."""
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
        """Resources of a worker that one task takes up."""
        return Resources(
            0 if self.ignores_cpu else self.millicores,
            self.memory_mb,
            self.accelerators,
        )


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submitted job; its stored row never changes.

    Parameters
    ----------
    queue : str
        Name of the queue.
    workspace : str
        Name of the workspace, or ``''`` for a public queue.
    payload : str
        Text passed to each task.
    steps : tuple of StepSpec
        Steps, in the order of their numbers.
    service : str
        Service of the queue at the time the job was accepted.
    accepted_ms : int
        Store time at which the job was accepted.
    repetitions : int
        How many times the steps run; 0 to run them once, without a due time.
    first_due_ms, interval_ms : int
        Unix time of the first occurrence, and the time between two
        occurrences.
    policy : QueuePolicy or None
        What the queue set for its jobs when the job was accepted. ``None`` in
        rows of releases that did not store it.
    """

    queue: str
    workspace: str
    service: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: TimeMs = 0
    repetitions: Count = 0
    first_due_ms: TimeMs = 0
    interval_ms: TimeMs = 0
    policy: QueuePolicy | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the steps are valid and only depend on earlier ones.

        The tasks of all occurrences must not be too many.
        """
        return 0 < self.task_count <= _MAX_TASKS and all(
            step.is_valid
            and all(0 <= earlier < number for earlier in step.after)
            for number, step in enumerate(self.steps)
        )

    @property
    def task_count(self) -> int:
        """Number of tasks of all occurrences."""
        return self.occurrences * sum(step.count for step in self.steps)

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repetitions)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence is due; 0 for now."""
        if not self.repetitions:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


_spec_decoder = msgspec.json.Decoder(JobSpec)


def is_job_key(text: str) -> bool:
    """Return whether a text can be the identifier of a stored job.

    Task names contain it, and so do the keys of rows, which have a limited
    length.
    """
    return _JOB_ID.fullmatch(text) is not None


def decode_job_spec(job_id: str, content: bytes) -> JobSpec | Unreadable:
    """Return the job in a stored row, or why it cannot be used."""
    if not is_job_key(job_id):
        return Unreadable('malformed job identifier')
    spec = decode_untrusted(_spec_decoder.decode, content)
    if isinstance(spec, JobSpec) and not spec.is_valid:
        return Unreadable('inconsistent job')
    return spec
