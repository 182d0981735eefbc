"""Inputs of the task that owns the partition, and its replies to callers."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.jobs import Job
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.entry.jobs.job_recorder import FlushResult
from dragonflynotch.entry.members.guard_channel import ChannelEvent
from dragonflynotch.services.table import ConditionalWrite

__all__ = (
    'CancelResult',
    'Cancellation',
    'GuardAnnounced',
    'JobAccepted',
    'JobOutcomeUnknown',
    'JobRefused',
    'LeaseLost',
    'OwnerInput',
    'RecordsFlushed',
    'RecordsLoaded',
    'Submission',
    'SubmissionResult',
)


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """The job record with the submission or cancellation is committed."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobRefused:
    """The job was not accepted and will not run.

    Parameters
    ----------
    reason : str
        Stable code for callers.
    detail : str
        One sentence for people.
    retry_after : timedelta or None
        How long to wait before a retry; ``None`` if a retry cannot succeed.
    """

    reason: str
    detail: str
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class JobOutcomeUnknown:
    """The call may have taken effect; it may be repeated with the same key."""

    reason: str
    detail: str
    retry_after: timedelta


SubmissionResult = JobAccepted | JobRefused | JobOutcomeUnknown
CancelResult = JobAccepted | JobRefused | JobOutcomeUnknown


@dataclass(frozen=True, slots=True)
class GuardAnnounced:
    """A guard announced itself."""

    info: GuardInfo
    digest: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A valid job whose idempotency key, if any, is not in use.

    ``key_write`` reserves the key; ``None`` if the job has none.
    """

    job: Job
    key_write: ConditionalWrite | None
    result: asyncio.Future[SubmissionResult]


@dataclass(frozen=True, slots=True)
class Cancellation:
    """A caller cancels a job."""

    job_id: str
    result: asyncio.Future[CancelResult]


@dataclass(frozen=True, slots=True)
class RecordsLoaded:
    """The job records were read after ownership was gained."""

    fence: int
    jobs: tuple[Job, ...]
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This entry no longer owns the partition."""


@dataclass(frozen=True, slots=True)
class RecordsFlushed:
    """A commit of job records completed."""

    result: FlushResult


OwnerInput = (
    GuardAnnounced
    | Submission
    | Cancellation
    | RecordsLoaded
    | LeaseLost
    | RecordsFlushed
    | ChannelEvent
)
