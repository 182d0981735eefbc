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
    'WORKER_RESTARTED',
    'WorkerLost',
    'WorkerReported',
)


class MemberState(Enum):
    """State of a gang member as its guard reports it."""

    prepared = 'prepared'
    running = 'running'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'


# Reason of a member that ended because its worker crashed and started again.
WORKER_RESTARTED = 'worker_restarted'


@dataclass(frozen=True, slots=True)
class Guarantee:
    """Shape that a workspace is guaranteed in a data centre.

    Parameters
    ----------
    workspace : str
        Workspace that holds the guarantee.
    shape : Shape
        Guaranteed shape.
    is_urgent : bool
        Whether borrowers are stopped without a new checkpoint when the
        workspace reclaims the capacity.
    """

    workspace: str
    shape: Shape
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker announced itself for the first time or again."""

    worker: Worker


@dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker leaves, or was not heard within its time to live."""

    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class MemberReport:
    """State and usage of one gang member in a report of its guard."""

    job_id: str
    attempt: int
    state: MemberState
    accelerators: tuple[int, ...]
    cores_used: float = 0
    memory_used_mb: int = 0


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A guard reported all gang members on its worker."""

    worker_id: str
    members: tuple[MemberReport, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller submitted a job; ``AnswerSubmission`` is the answer."""

    job: Job


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller or operator cancelled a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class GuaranteesChanged:
    """The configuration has a new set of guarantees for the data centre."""

    guarantees: tuple[Guarantee, ...]


@dataclass(frozen=True, slots=True)
class QuotasChanged:
    """The configuration has new accelerator quotas of the workspaces.

    Parameters
    ----------
    max_accelerators : mapping of str to int
        Accelerators, including borrowed ones, that the running jobs of a
        workspace may hold in the data centre. A workspace that is not listed
        has no quota.
    """

    max_accelerators: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class MemberEvent:
    """Event of one gang member."""

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
    """The member runs."""


@dataclass(frozen=True, slots=True)
class MemberFinished(MemberEvent):
    """The member ended successfully."""


@dataclass(frozen=True, slots=True)
class MemberFailed(MemberEvent):
    """The member failed."""

    reason: str = ''


@dataclass(frozen=True, slots=True)
class MemberStopped(MemberEvent):
    """The member stopped and released its accelerators."""


@dataclass(frozen=True, slots=True)
class CheckpointTaken(MemberEvent):
    """The member wrote its part of a checkpoint."""

    checkpoint: str = ''
    work_done: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class OwnershipGained:
    """This process became the owner of the partition.

    Parameters
    ----------
    fence : int
        Fencing token of the ownership.
    jobs : tuple of Job
        Records of all jobs that are not in a final state.
    """

    fence: int
    jobs: tuple[Job, ...]


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """This process is no longer the owner of the partition."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time in ``Partition.next_deadline`` was reached."""


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
