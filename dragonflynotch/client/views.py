"""Answers of an entry. Unknown fields are ignored, so newer entries work."""

from datetime import datetime
from typing import Any

import msgspec

__all__ = (
    'EntryStatus',
    'GuardDraining',
    'JobList',
    'JobView',
    'RecordView',
    'RecordWritten',
    'RequestAnswer',
    'Snapshot',
    'WaitingView',
)


class RequestAnswer(msgspec.Struct, frozen=True):
    """The checked answer to a request.

    Parameters
    ----------
    request_id : str
        Identifier that the entry gave the request.
    body : bytes
        Answer of the minion.
    key : str
        Idempotency key that was sent, or ``''``.
    """

    request_id: str
    body: bytes
    key: str = ''


class RecordWritten(msgspec.Struct, frozen=True):
    """A committed change with its revision and warnings."""

    revision: int
    warnings: tuple[str, ...] = ()


class RecordView(msgspec.Struct, frozen=True):
    """A record with the revision that last changed it."""

    revision: int
    document: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True):
    """All records of a revision."""

    revision: int
    records: tuple[RecordView, ...] = ()


class GuardDraining(msgspec.Struct, frozen=True):
    """A guard that was told to drain."""

    guard: str


class WaitingView(msgspec.Struct, frozen=True):
    """Why a job waits.

    Parameters
    ----------
    reason : str
        Why it waits, in one sentence.
    guarantee : str
        Guarantee whose capacity it waits for, or ``''``.
    start_by : datetime or None
        Upper bound of the start stated by a reservation or a reclaim.
    work_done_ms : int
        Run time preserved in the last checkpoint, in milliseconds.
    """

    job_id: str
    workspace: str = ''
    kind: str = 'default'
    accelerators: int = 0
    waited_ms: int = 0
    reason: str = ''
    guarantee: str = ''
    start_by: datetime | None = None
    attempt: int = 0
    work_done_ms: int = 0


class EntryStatus(msgspec.Struct, frozen=True):
    """Status of an entry and of the partition that it owns.

    Parameters
    ----------
    is_deciding : bool
        Whether this entry decides about the jobs of its data centre; only
        then ``waiting`` and ``running_jobs`` say something.
    content : dict
        The whole answer, with fields that this version does not know.
    """

    entry: str
    data_centre: str
    configuration_revision: int
    is_table_reachable: bool
    guards: tuple[dict[str, Any], ...] = ()
    entries: tuple[dict[str, Any], ...] = ()
    is_deciding: bool = False
    owned_fence: int = 0
    running_jobs: int = 0
    waiting: tuple[WaitingView, ...] = ()
    content: dict[str, Any] = {}


class JobView(msgspec.Struct, frozen=True):
    """A job as callers see it.

    Parameters
    ----------
    waits_for : str
        Why a waiting job waits, with its guarantee or reservation.
    work_done_ms : int
        Run time preserved in the last checkpoint, in milliseconds.
    """

    job_id: str
    workspace: str
    state: str
    kind: str = 'default'
    priority: str = 'normal'
    accelerators: int = 0
    proximity: str = 'rack'
    submitted_at: datetime | None = None
    started_at: datetime | None = None
    ended_at: datetime | None = None
    attempt: int = 0
    workers: tuple[str, ...] = ()
    checkpoint: str = ''
    work_done_ms: int = 0
    waited_ms: int = 0
    waits_for: str = ''
    detail: str = ''

    @property
    def is_final(self) -> bool:
        """Whether the job will not change any more."""
        return self.state in {'finished', 'failed', 'cancelled'}


class JobList(msgspec.Struct, frozen=True):
    """All jobs of a workspace, the oldest first."""

    jobs: tuple[JobView, ...] = ()
