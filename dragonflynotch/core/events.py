"""Input events of a partition."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from dragonflynotch.core.jobs import Job
from dragonflynotch.core.shapes import Shape
from dragonflynotch.core.topology import Worker

__all__ = (
    'CheckpointTaken',
    'Event',
    'Guarantee',
    'GuaranteesChanged',
    'JobCancelled',
    'JobSubmitted',
    'MemberEvent',
    'MemberFailed',
    'MemberFinished',
    'MemberPrepared',
    'MemberRefused',
    'MemberReport',
    'MemberStarted',
    'MemberState',
    'MemberStopped',
    'OwnershipGained',
    'OwnershipLost',
    'QuotasChanged',
    'TimerFired',
    'WorkerJoined',
    'WorkerLost',
    'WorkerReported',
)


class MemberState(Enum):
    """State of a gang member at its guard."""

    prepared = 'prepared'
    running = 'running'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A guaranteed shape of a workspace in this data centre.

    Parameters
    ----------
    workspace : str
        Workspace that holds the guarantee.
    shape : Shape
        Guaranteed shape.
    is_urgent : bool
        Whether the capacity is reclaimed by an immediate stop.
    """

    workspace: str
    shape: Shape
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker announced itself, or came back."""

    worker: Worker


@dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker is silent for its time to live, or leaves."""

    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class MemberReport:
    """State of one gang member in a report of its guard."""

    job_id: str
    attempt: int
    state: MemberState
    accelerators: tuple[int, ...]
    cores_used: float = 0
    memory_used_mb: int = 0


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A guard reported all gang members that it holds."""

    worker_id: str
    members: tuple[MemberReport, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller submitted a job; it is accepted or refused by an action."""

    job: Job


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller or operator cancels a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class GuaranteesChanged:
    """The configuration holds these guarantees for this data centre."""

    guarantees: tuple[Guarantee, ...]


@dataclass(frozen=True, slots=True)
class QuotasChanged:
    """The configuration holds these limits of running jobs.

    Parameters
    ----------
    max_accelerators : mapping of str to int
        Accelerators that the running jobs of a workspace may hold in this
        data centre, borrowed ones included; others are not limited.
    """

    max_accelerators: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class MemberEvent:
    """Something happened to a gang member."""

    job_id: str
    attempt: int
    worker_id: str


@dataclass(frozen=True, slots=True)
class MemberPrepared(MemberEvent):
    """The member holds its accelerators and is ready to start."""


@dataclass(frozen=True, slots=True)
class MemberRefused(MemberEvent):
    """The guard refused to prepare the member."""

    reason: str = ''


@dataclass(frozen=True, slots=True)
class MemberStarted(MemberEvent):
    """The member computes."""


@dataclass(frozen=True, slots=True)
class MemberFinished(MemberEvent):
    """The member ended with success."""


@dataclass(frozen=True, slots=True)
class MemberFailed(MemberEvent):
    """The member ended with a failure."""

    reason: str = ''


@dataclass(frozen=True, slots=True)
class MemberStopped(MemberEvent):
    """The member stopped on an order and released its accelerators."""


@dataclass(frozen=True, slots=True)
class CheckpointTaken(MemberEvent):
    """A member wrote its part of a checkpoint."""

    checkpoint: str = ''
    work_done: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """This process owns the partition from now on.

    Parameters
    ----------
    fence : int
        Fencing number of the ownership.
    jobs : tuple of Job
        All job records that are not final.
    """

    fence: int
    jobs: tuple[Job, ...]


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another process owns the partition."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time named by ``Partition.next_deadline`` was reached."""


Event = (
    WorkerJoined
    | WorkerLost
    | WorkerReported
    | JobSubmitted
    | JobCancelled
    | GuaranteesChanged
    | QuotasChanged
    | MemberEvent
    | OwnershipGained
    | OwnershipLost
    | TimerFired
)
