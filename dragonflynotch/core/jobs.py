"""Jobs, their states and the gang members that run them."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from dragonflynotch.core.shapes import Shape

__all__ = ('Job', 'JobSpec', 'JobState', 'Member', 'PriorityClass')


class JobState(Enum):
    """State of a job, as in its record."""

    waiting = 'waiting'
    starting = 'starting'
    running = 'running'
    stopping = 'stopping'
    finished = 'finished'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the state of the job no longer changes."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    (JobState.finished, JobState.failed, JobState.cancelled)
)


class PriorityClass(Enum):
    """Scheduling class of a job, most important first."""

    urgent = 'urgent'
    normal = 'normal'
    batch = 'batch'

    @property
    def rank(self) -> int:
        """Position in the order of importance; 0 for the most important."""
        return _RANKS[self]


_RANKS = {
    PriorityClass.urgent: 0,
    PriorityClass.normal: 1,
    PriorityClass.batch: 2,
}


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Requirements of a job as its caller states them.

    Parameters
    ----------
    workspace : str
        Workspace that submits the job.
    kind : str
        Kind of work, for example ``'profile-recut'``; run times are learned
        per workspace and kind.
    shape : Shape
        Number of accelerators and their proximity.
    cores_per_accelerator : float
        CPU cores for each accelerator, or for the job if it has none.
    memory_mb_per_accelerator : int
        Memory in MiB for each accelerator, or for the job if it has none.
    declared_run_time : timedelta
        Run time that the caller estimates; often wrong by a large factor.
    priority : PriorityClass
        Scheduling class.
    is_checkpointable : bool
        Whether the job can be checkpointed and resumed.
    deadline : datetime or None
        When the caller needs the result.
    command : str
        Command that the worker runs.
    """

    workspace: str
    kind: str
    shape: Shape
    cores_per_accelerator: float = 1
    memory_mb_per_accelerator: int = 1024
    declared_run_time: timedelta = timedelta(hours=1)
    priority: PriorityClass = PriorityClass.normal
    is_checkpointable: bool = True
    deadline: datetime | None = None
    command: str = ''

    @property
    def is_urgent(self) -> bool:
        """Whether the job is of the class ``urgent``."""
        return self.priority is PriorityClass.urgent


@dataclass(frozen=True, slots=True)
class Member:
    """Part of a gang that runs on one worker.

    Parameters
    ----------
    worker_id : str
        Worker that runs the member.
    accelerators : tuple of int
        Indexes of the accelerators on the worker.
    """

    worker_id: str
    accelerators: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Job:
    """Accepted job, as in its record.

    Parameters
    ----------
    job_id : str
        Unique name.
    spec : JobSpec
        Requirements of the job.
    submitted_at : datetime
        When the job was accepted.
    state : JobState
        Current state.
    attempt : int
        Number of the latest attempt to run the job; 0 before the first.
    members : tuple of Member
        Placement of the latest attempt.
    started_at : datetime or None
        When the latest attempt started.
    ended_at : datetime or None
        When the job reached a final state.
    checkpoint : str
        Object-store key of the last checkpoint, or ``''``.
    work_done : timedelta
        Run time whose results the last checkpoint holds.
    detail : str
        Why the job ended or waits, in one sentence.
    failed_workers : tuple of str
        Distinct workers on which a member of the job failed.
    failures : int
        Attempts that ended with the failure of a member.
    is_cancel_requested : bool
        Whether the job ends as cancelled once its gang has stopped. Stored
        in the record so that a new owner completes the cancellation.
    """

    job_id: str
    spec: JobSpec
    submitted_at: datetime
    state: JobState = JobState.waiting
    attempt: int = 0
    members: tuple[Member, ...] = ()
    started_at: datetime | None = None
    ended_at: datetime | None = None
    checkpoint: str = ''
    work_done: timedelta = timedelta()
    detail: str = ''
    failed_workers: tuple[str, ...] = field(default=())
    failures: int = 0
    is_cancel_requested: bool = False
