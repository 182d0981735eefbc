"""Actions that a partition returns for its daemon to carry out."""

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
    """Order to a guard for one gang member, valid under a fence.

    Orders are idempotent. A guard rejects an order whose fence is below the
    highest that it has seen.
    """

    job_id: str
    attempt: int
    worker_id: str
    fence: int


@dataclass(frozen=True, slots=True)
class PrepareMember(MemberOrder):
    """Reserve the accelerators and launch the task, paused until its start."""

    member: Member
    spec: JobSpec
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StartMember(MemberOrder):
    """Let the prepared task run."""


@dataclass(frozen=True, slots=True)
class CheckpointMember(MemberOrder):
    """Write a checkpoint while the task goes on."""


@dataclass(frozen=True, slots=True)
class ThrottleMember(MemberOrder):
    """Limit the task to its declared cores and memory."""


@dataclass(frozen=True, slots=True)
class StopMember(MemberOrder):
    """Stop the task and release its accelerators.

    Parameters
    ----------
    checkpoint_limit : timedelta
        Time limit of a checkpoint before the stop; zero for no checkpoint.
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
    """The job can never run in this data centre."""

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
    """Whether the present workers can honour a guarantee."""

    workspace: str
    shape: Shape
    is_honoured: bool


@dataclass(frozen=True, slots=True)
class QuarantineWorker:
    """Report that the worker is quarantined and gets no new work."""

    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ReadmitWorker:
    """Report that the quarantine of the worker has ended."""

    worker_id: str


Action = (
    MemberOrder
    | WriteJob
    | AnswerSubmission
    | ReportGuarantee
    | QuarantineWorker
    | ReadmitWorker
)
