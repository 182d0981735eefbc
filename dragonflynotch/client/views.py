"""Decoded answers of an entry.

Unknown fields are ignored, so that the client can talk to newer entries.
"""

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
    """The answer to a request, verified against its content digest.

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
    """Result of a committed record change."""

    revision: int
    warnings: tuple[str, ...] = ()


class RecordView(msgspec.Struct, frozen=True):
    """A record with the revision that last changed it."""

    revision: int
    document: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True):
    """All records at one configuration revision."""

    revision: int
    records: tuple[RecordView, ...] = ()


class GuardDraining(msgspec.Struct, frozen=True):
    """Confirmation that a guard was told to drain."""

    guard: str


class WaitingView(msgspec.Struct, frozen=True):
    """A waiting job and why it waits.

    Parameters
    ----------
    reason : str
        Why the job waits, in one sentence.
    guarantee : str
        Guarantee whose capacity it waits for, or ``''``.
    start_by : datetime or None
        Latest start time, if a reservation or a reclaim states one.
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
        Whether this entry schedules the jobs of its data centre; ``waiting``
        and ``running_jobs`` are meaningful only then.
    content : dict
        The whole answer, including fields unknown to this version.
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
        """Whether the job has ended."""
        return self.state in {'finished', 'failed', 'cancelled'}


class JobList(msgspec.Struct, frozen=True):
    """All jobs of a workspace, oldest first."""

    jobs: tuple[JobView, ...] = ()
