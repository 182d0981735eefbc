"""Stored rows through which entries, the scheduler and guards share state."""

from enum import StrEnum
from typing import TypeVar

import msgspec

from dragonflynotch.workflows.crash_records import MinionCrash, TaskCrash
from dragonflynotch.workflows.resources import Resources

__all__ = (
    'NO_ROOM',
    'EndKind',
    'JobState',
    'LeaseRow',
    'Order',
    'ProgressRow',
    'Rejection',
    'Report',
    'RunEnd',
    'RunningTask',
    'TaskRow',
    'decode_row',
    'encode_row',
)

# Reason of the rejection of a start for which the minion had no room.
NO_ROOM = 'room'

_RowT = TypeVar('_RowT')


class JobState(StrEnum):
    """State of a job as callers see it."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self not in {JobState.queued, JobState.running}


class EndKind(StrEnum):
    """How a run ended."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    # The lease of the minion expired.
    lapsed = 'lapsed'
    # The run was ended because another member of its gang ended.
    broken = 'broken'
    # The other members of the gang did not start in time.
    alone = 'alone'


class TaskRow(msgspec.Struct, array_like=True):
    """Stored state of a task that has had at least one run.

    Parameters
    ----------
    name : str
        Identifier of the task without the job: ``occurrence.step.index``.
    run : int
        Number of the last run; the first is 1.
    failures : int
        Runs that ended as failed.
    is_done : bool
        Whether a run completed.
    checkpoint : str
        Last checkpoint, or ``''``.
    failed_on : dict of str to int
        Store time of the last failed or stalled run, by minion.
    last_failed_run : int
        Last run that was counted as a failure of the gang; 0 if there is none.
    crashes : list of TaskCrash
        Crashes of minions that the task may have caused. Empty in rows of
        releases that did not store them.
    """

    name: str
    run: int
    failures: int
    is_done: bool
    checkpoint: str = ''
    failed_on: dict[str, int] = {}
    last_failed_run: int = 0
    crashes: list[TaskCrash] = []


class ProgressRow(msgspec.Struct, omit_defaults=True):
    """Stored progress of a job.

    Parameters
    ----------
    state : JobState
        State of the job.
    tasks : list of TaskRow
        Tasks that have had at least one run.
    ended_ms : int
        Store time of the end of the job; 0 before.
    workspace : str or None
        Workspace of the job. ``None`` in rows of releases that did not store
        it.
    reason : str
        Why the job failed, for its caller; ``''`` if it did not fail.
    """

    state: JobState
    tasks: list[TaskRow] = []
    ended_ms: int = 0
    workspace: str | None = None
    reason: str = ''


class LeaseRow(msgspec.Struct, omit_defaults=True):
    """Scheduling lease; each transaction of the holder rewrites this row.

    Parameters
    ----------
    holder : str
        Node of the holder, or ``''`` after it released the lease.
    epoch : int
        Fencing token; increases with each change of holder.
    sequence : int
        Number of the transaction within the epoch.
    waiting : dict of str to int
        Number of accepted jobs without a started task, by queue.
    handovers : int
        How many holders in a row released the lease because they were too slow.
    """

    holder: str
    epoch: int
    sequence: int = 0
    waiting: dict[str, int] = {}
    handovers: int = 0


class Order(msgspec.Struct, omit_defaults=True):
    """Order to a guard to run a task; stored until the run has ended.

    Parameters
    ----------
    payload : str
        Text passed to the task.
    run : int
        Number of the run.
    start_by_ms : int
        Store time after which the guard must not start the run.
    checkpoint : str
        Checkpoint to resume from, or ``''``.
    is_stopped : bool
        Whether the run must be stopped.
    needs : tuple of int
        Millicores, megabytes and accelerators that the run takes up.
    is_backfill : bool
        Whether the run uses room that is reserved for a step that comes
        earlier, and stops when that step can start. ``False`` in rows of
        releases that did not store it.
    """

    payload: str
    run: int
    start_by_ms: int
    checkpoint: str = ''
    is_stopped: bool = False
    needs: tuple[int, int, int] = (0, 0, 0)
    is_backfill: bool = False

    @property
    def resources(self) -> Resources:
        """Resources that the run takes up."""
        return Resources(*self.needs)


class RunningTask(msgspec.Struct, array_like=True):
    """A run that its minion reports as running."""

    task: str
    run: int
    checkpoint: str
    percent: int


class RunEnd(msgspec.Struct, array_like=True):
    """The end of a run; ``number`` increases within one incarnation."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


class Rejection(msgspec.Struct, array_like=True):
    """An ordered run that was not started and never will be."""

    task: str
    run: int
    reason: str


class Report(msgspec.Struct, omit_defaults=True):
    """State of a minion, written by the guard on the same worker.

    Parameters
    ----------
    minion_id : str
        Identifier of the minion's incarnation, or ``''`` before its first
        heartbeat.
    service : str
        Name of the service.
    is_ready : bool
        Whether new runs may be started.
    is_reachable : bool
        ``False`` while the minion does not respond, so that no run could be
        started. ``True`` in rows of releases that did not store it.
    is_live : bool
        ``False`` once the lease of the incarnation has expired for certain.
    authority_end_ms : int
        Store time up to which the guard may extend the lease of the minion.
    labels : tuple of str
        Labels of the worker.
    rack : str
        Rack of the worker.
    data_centre : str
        Data centre of the worker. ``''`` in rows of releases that did not
        store it.
    capacity : tuple of int
        Millicores, megabytes and accelerators.
    token : int
        Fencing token of the guard process.
    address : str
        Address at which the minion accepts calls. A restarted guard reads it
        from here.
    abandoned : list of RunningTask
        Runs of the previous incarnation, with their checkpoints.
    runs_age_ms : int
        How long before this report the minion last told its runs. 0 in rows
        of releases that did not store it.
    leaves_at_ms : int or None
        Store time at which the worker leaves at the earliest. ``None`` if it
        stays, or if the time is not known.
    crashes : list of MinionCrash
        Recent crashes of minions of this guard. Empty in rows of releases
        that did not store them.
    """

    minion_id: str
    service: str
    is_ready: bool
    is_live: bool
    authority_end_ms: int
    token: int
    address: str = ''
    labels: tuple[str, ...] = ()
    rack: str = ''
    capacity: tuple[int, int, int] = (0, 0, 0)
    running: list[RunningTask] = []
    ended: list[RunEnd] = []
    rejected: list[Rejection] = []
    abandoned: list[RunningTask] = []
    runs_age_ms: int = 0
    data_centre: str = ''
    leaves_at_ms: int | None = None
    crashes: list[MinionCrash] = []
    is_reachable: bool = True

    @property
    def accepts_runs(self) -> bool:
        """Whether new runs can be started."""
        return self.is_ready and self.is_reachable

    @property
    def resources(self) -> Resources:
        """Capacity of the worker."""
        return Resources(*self.capacity)


_encoder = msgspec.json.Encoder()


def encode_row(row: msgspec.Struct) -> bytes:
    """Return the stored form of a row."""
    return _encoder.encode(row)


def decode_row(content: bytes, model: type[_RowT]) -> _RowT | None:
    """Return the row, or ``None`` if the bytes cannot be decoded."""
    try:
        return msgspec.json.decode(content, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
