"""Inputs of the task that owns the partition."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.jobs import Job
from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.entry.jobs.job_recorder import FlushResult
from dragonflynotch.entry.members.guard_channel import ChannelEvent
from dragonflynotch.services.table import ConditionalWrite

__all__ = (
    'Cancellation',
    'CancelVerdict',
    'GuardHeard',
    'JobAccepted',
    'JobRefused',
    'JobUnknown',
    'OwnerInput',
    'OwnershipLoaded',
    'OwnershipWasLost',
    'RecordsFlushed',
    'Submission',
    'SubmissionVerdict',
)


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """The first record of the job is committed."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobRefused:
    """The job was not accepted and will not run.

    Parameters
    ----------
    reason : str
        Stable code.
    detail : str
        One sentence.
    retry_after : timedelta or None
        When to try again; ``None`` if it is of no use.
    """

    reason: str
    detail: str
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """The call may have taken effect; repeat it with the same key."""

    reason: str
    detail: str
    retry_after: timedelta


SubmissionVerdict = JobAccepted | JobRefused | JobUnknown
CancelVerdict = JobAccepted | JobRefused | JobUnknown


@dataclass(frozen=True, slots=True)
class GuardHeard:
    """A guard announced itself."""

    info: GuardInfo
    digest: int


@dataclass(frozen=True, slots=True)
class Submission:
    """A valid job whose key is free; without a key, ``key_write`` is None."""

    job: Job
    key_write: ConditionalWrite | None
    verdict: asyncio.Future[SubmissionVerdict]


@dataclass(frozen=True, slots=True)
class Cancellation:
    """A caller cancels a job."""

    job_id: str
    verdict: asyncio.Future[CancelVerdict]


@dataclass(frozen=True, slots=True)
class OwnershipLoaded:
    """The records were read after a gain of ownership."""

    fence: int
    jobs: tuple[Job, ...]
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class OwnershipWasLost:
    """Another entry owns the partition."""


@dataclass(frozen=True, slots=True)
class RecordsFlushed:
    """A commit of job records ended."""

    result: FlushResult


OwnerInput = (
    GuardHeard
    | Submission
    | Cancellation
    | OwnershipLoaded
    | OwnershipWasLost
    | RecordsFlushed
    | ChannelEvent
)
