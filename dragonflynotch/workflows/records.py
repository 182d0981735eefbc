"""Stored rows through which entries, the scheduler and guards share state."""

from enum import StrEnum
from functools import partial
from typing import TypeVar

import msgspec

from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.bounds import (
    Accelerators,
    Count,
    IncarnationId,
    Label,
    Megabytes,
    Millicores,
    TimeMs,
)
from dragonflynotch.workflows.crash_records import MinionCrash, TaskCrash
from dragonflynotch.workflows.queue_policy import QueuePolicy
from dragonflynotch.workflows.resources import Resources

__all__ = (
    'INVALID',
    'MISSING',
    'NO_ROOM',
    'STOPPED',
    'CancellationRow',
    'EarlierEnd',
    'EndKind',
    'JobState',
    'LeaseRow',
    'Order',
    'ProgressRow',
    'Rejection',
    'Report',
    'RunEnd',
    'RunningTask',
    'StartedRun',
    'TaskRow',
    'decode_row',
    'encode_row',
)

# Reason of the rejection of a start for which the minion had no room.
NO_ROOM = 'room'
# Reason of the rejection of a start that the minion does not understand.
INVALID = 'invalid'
# Reason of the rejection of an order that was stopped before its start.
STOPPED = 'stopped'
# Reason of the rejection of an order whose run its minion has lost.
MISSING = 'missing'

_RowT = TypeVar('_RowT')
# Millicores, megabytes and accelerators.
_Amounts = tuple[Millicores, Megabytes, Accelerators]


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
        Last run that was counted as a failure; 0 if there is none. Outside
        gangs, 0 in rows of releases that did not store it.
    crashes : list of TaskCrash
        Crashes of minions that the task may have caused. Empty in rows of
        releases that did not store them.
    """

    name: str
    run: Count
    failures: Count
    is_done: bool
    checkpoint: str = ''
    failed_on: dict[str, TimeMs] = {}
    last_failed_run: Count = 0
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
        Why the job failed or was set aside, for its caller; ``''`` if neither.
    queue : str
        Queue of the job. ``''`` in rows of releases that did not store it.
    has_started : bool
        Whether a minion is known to have begun any run of the job. ``False`` in
        rows of releases that did not store it.
    policy : QueuePolicy or None
        What the queue sets for the job, if that has changed since the job was
        accepted.
    """

    state: JobState
    tasks: list[TaskRow] = []
    ended_ms: TimeMs = 0
    workspace: str | None = None
    reason: str = ''
    queue: str = ''
    has_started: bool = False
    policy: QueuePolicy | None = None


class CancellationRow(msgspec.Struct, omit_defaults=True):
    """Cancellation of a job that was not there; see ``EarlyCancellation``.

    Parameters
    ----------
    workspace, public_queue
        Rights of the caller, see ``JobAccess``.
    cancelled_ms : int
        Store time of the cancellation.
    """

    workspace: str | None = None
    public_queue: str = ''
    cancelled_ms: TimeMs = 0


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
    omits_counts : bool
        Whether queues that ``waiting`` lacks may have such jobs. ``False`` in
        rows of releases that did not store it.
    counted_ms : int
        Store time at which the jobs were counted. 0 in rows of releases that
        did not store it.
    """

    holder: str
    epoch: Count
    sequence: Count = 0
    waiting: dict[str, Count] = {}
    handovers: Count = 0
    omits_counts: bool = False
    counted_ms: TimeMs = 0

    def count_waiting(self, queue: str) -> int | None:
        """Return how many jobs of a queue wait; ``None`` if not known."""
        missing = None if self.omits_counts else 0
        return self.waiting.get(queue, missing)


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
        Whether the run uses room that was reserved or on an excluded worker.
        It stops when a step that comes earlier fits without it. ``False`` in
        rows of releases that did not store it.
    """

    payload: str
    run: Count
    start_by_ms: TimeMs
    checkpoint: str = ''
    is_stopped: bool = False
    needs: _Amounts = (0, 0, 0)
    is_backfill: bool = False

    @property
    def resources(self) -> Resources:
        """Resources that the run takes up."""
        return Resources(*self.needs)


class RunningTask(msgspec.Struct, array_like=True):
    """A run that its minion reports as running."""

    task: str
    run: Count
    checkpoint: str
    percent: Count


class StartedRun(msgspec.Struct, array_like=True):
    """A run whose start its minion has confirmed."""

    task: str
    run: Count


class RunEnd(msgspec.Struct, array_like=True):
    """The end of a run; ``number`` increases within one incarnation."""

    number: Count
    task: str
    run: Count
    kind: EndKind
    checkpoint: str


class EarlierEnd(msgspec.Struct, array_like=True):
    """The end of a run of an earlier incarnation."""

    minion_id: IncarnationId
    end: RunEnd


class Rejection(msgspec.Struct, array_like=True):
    """An ordered run that is not at work and will not start any more."""

    task: str
    run: Count
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
        Runs with checkpoints that no leader may have read: those of the
        previous incarnation, those of a lost one, and those that an earlier
        guard process knew. They do not count as running.
    runs_age_ms : int
        How long before this report the minion last told its runs. 0 in rows
        of releases that did not store it.
    leaves_at_ms : int or None
        Store time at which the worker leaves at the earliest. ``None`` if it
        stays, or if the time is not known.
    crashes : list of MinionCrash
        Recent crashes of minions of this guard. Empty in rows of releases
        that did not store them.
    built_ms : int
        Lower bound on the store time at which the report was built. 0 in rows
        of releases that did not store it.
    earlier_ends : list of EarlierEnd
        Ends of runs of earlier incarnations whose orders still exist. Empty in
        rows of releases that did not store them.
    started : list of StartedRun
        Runs that have started and that ``running`` does not list, since the
        minion has not told its runs after the start, or has ended. Empty in
        rows of releases that did not store them.
    """

    minion_id: IncarnationId
    service: Label
    is_ready: bool
    is_live: bool
    authority_end_ms: TimeMs
    token: Count
    address: str = ''
    labels: tuple[Label, ...] = ()
    rack: Label = ''
    capacity: _Amounts = (0, 0, 0)
    running: list[RunningTask] = []
    ended: list[RunEnd] = []
    rejected: list[Rejection] = []
    abandoned: list[RunningTask] = []
    runs_age_ms: TimeMs = 0
    data_centre: Label = ''
    leaves_at_ms: TimeMs | None = None
    crashes: list[MinionCrash] = []
    is_reachable: bool = True
    built_ms: TimeMs = 0
    earlier_ends: list[EarlierEnd] = []
    started: list[StartedRun] = []

    @property
    def accepts_runs(self) -> bool:
        """Whether new runs can be started."""
        return self.is_ready and self.is_reachable

    @property
    def all_ends(self) -> list[RunEnd]:
        """Ends of runs of this and of earlier incarnations."""
        return [*self.ended, *(earlier.end for earlier in self.earlier_ends)]

    @property
    def resources(self) -> Resources:
        """Capacity of the worker."""
        return Resources(*self.capacity)


_encoder = msgspec.json.Encoder()


def encode_row(row: msgspec.Struct) -> bytes:
    """Return the stored form of a row."""
    return _encoder.encode(row)


def decode_row(content: bytes, model: type[_RowT]) -> _RowT | Unreadable:
    """Return the row, or why it is unreadable.

    A row with a field out of range is unreadable, since later steps calculate
    with all of them.
    """
    return decode_untrusted(partial(_decode, model), content)


def _decode(model: type[_RowT], content: bytes) -> _RowT:
    return msgspec.json.decode(content, type=model)
