"""Actions that a partition asks its daemon to carry out."""

from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.jobs import Job, JobSpec, Member
from dragonflynotch.core.shapes import Shape

__all__ = (
    'Accepted',
    'Action',
    'AnswerSubmission',
    'CheckpointMember',
    'MemberOrder',
    'NeverRunnable',
    'NotOwner',
    'PrepareMember',
    'QuarantineWorker',
    'ReadmitWorker',
    'ReportGuarantee',
    'StartMember',
    'StopMember',
    'ThrottleMember',
    'WriteJob',
)


@dataclass(frozen=True, slots=True)
class MemberOrder:
    """An order for one gang member, valid under a fence.

    Orders are idempotent; a guard refuses a fence below the highest seen.
    """

    job_id: str
    attempt: int
    worker_id: str
    fence: int


@dataclass(frozen=True, slots=True)
class PrepareMember(MemberOrder):
    """Reserve the accelerators and launch the task, held before its start."""

    member: Member
    spec: JobSpec
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StartMember(MemberOrder):
    """Let the prepared task compute."""


@dataclass(frozen=True, slots=True)
class CheckpointMember(MemberOrder):
    """Write a checkpoint and continue."""


@dataclass(frozen=True, slots=True)
class ThrottleMember(MemberOrder):
    """Limit the task to its declared size."""


@dataclass(frozen=True, slots=True)
class StopMember(MemberOrder):
    """Stop the task and release its accelerators.

    Parameters
    ----------
    checkpoint_limit : timedelta
        How long a checkpoint before the stop may take; zero for none.
    """

    checkpoint_limit: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class WriteJob:
    """Write the record of a job."""

    job: Job


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is accepted once its record is committed."""


@dataclass(frozen=True, slots=True)
class NeverRunnable:
    """The job can never run here."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotOwner:
    """The job was not accepted, because another entry owns the partition."""


@dataclass(frozen=True, slots=True)
class AnswerSubmission:
    """Answer to ``JobSubmitted``."""

    job_id: str
    verdict: Accepted | NeverRunnable | NotOwner


@dataclass(frozen=True, slots=True)
class ReportGuarantee:
    """A guarantee can or cannot be honoured on the present hardware."""

    workspace: str
    shape: Shape
    is_honoured: bool


@dataclass(frozen=True, slots=True)
class QuarantineWorker:
    """Give the worker no new work."""

    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReadmitWorker:
    """Give the worker work again."""

    worker_id: str


Action = (
    MemberOrder
    | WriteJob
    | AnswerSubmission
    | ReportGuarantee
    | QuarantineWorker
    | ReadmitWorker
)
