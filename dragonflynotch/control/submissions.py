"""Submission, cancellation and state of jobs for callers."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from hashlib import sha256
from typing import TypeVar

import msgspec

from dragonflynotch.control.clocks import Deadline, SteadyClock, StoreClock
from dragonflynotch.control.job_sizes import check_storable
from dragonflynotch.control.leadership import LEASE_NAME
from dragonflynotch.control.rows import (
    ABSENT,
    EARLY_CANCELLATION_PREFIX,
    PROGRESS,
    SCHEDULER_PART,
    SUBMISSIONS,
    Committed,
    Conflict,
    Row,
    RowName,
    RowStore,
    RowWrite,
    shard_of,
)
from dragonflynotch.control.store_health import StoreHealth
from dragonflynotch.control.unsettled_writes import UnsettledWrites
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import (
    CancellationRow,
    JobState,
    LeaseRow,
    ProgressRow,
    decode_row,
    encode_row,
)

__all__ = (
    'Accepted',
    'JobStatus',
    'SubmissionService',
    'NotAccepted',
    'NotFound',
    'Unavailable',
    'Unknown',
)

_RETRY_DELAY_S = 0.1
# A healthy store responds to an entry several times in this time. After a
# longer silence it is read before a write.
_MAX_STORE_SILENCE_MS = 1200
# Attempts that the store certainly refused are repeated for this long only,
# because the store may refuse this entry while it serves others.
_REFUSED_RETRY_PERIOD = timedelta(milliseconds=300)
# A store that has failed is asked for this long before each write. A caller
# that is refused soon has time for several attempts, some after its return.
_PROBE_TIMEOUT = timedelta(milliseconds=400)
# While the store is unreachable, an unknown outcome is returned after this
# time. Several such attempts fit into the deadline of a caller, and by the last
# ones the load balancer has removed this entry.
_SETTLE_PERIOD = timedelta(milliseconds=700)
# An older count of waiting jobs is not told to callers.
_MAX_COUNT_AGE_MS = 2000
_NO_COUNT = 'no scheduler has told the count of this queue'
_NO_RESPONSE = 'no response of the row store before the deadline of the caller'

_RowT = TypeVar('_RowT')
_FULL_ACCESS = JobAccess()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job or its cancellation is stored."""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """Nothing was stored, and nothing will be stored later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is unknown; the caller should repeat the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job, and why it failed if it did."""

    state: JobState
    reason: str = ''


@dataclass(frozen=True, slots=True)
class NotFound:
    """No such job exists."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not respond to a read."""

    reason: str


class SubmissionService:
    """Serves callers from the row store, without the scheduler.

    Parameters
    ----------
    store : RowStore
        Store of the jobs.
    store_clock : StoreClock
        Bounds on the time of the store.
    health : StoreHealth
        Whether the store can be reached.
    clock : SteadyClock
        Measures how long calls take.
    """

    def __init__(
        self,
        store: RowStore,
        store_clock: StoreClock,
        health: StoreHealth,
        clock: SteadyClock,
    ) -> None:
        """Create a service for the jobs in ``store``."""
        self._store = store
        self._store_clock = store_clock
        self._health = health
        self._clock = clock
        self._unsettled_writes = UnsettledWrites(clock)

    async def submit(
        self, job_id: str, spec: JobSpec, limit: timedelta
    ) -> Accepted | NotAccepted | Unknown:
        """Store a job once, also if the call is repeated.

        A write without a response may still be carried out, so the result is
        ``NotAccepted`` only if every attempt of this entry, in this call and in
        recent ones, was certainly refused.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        spec : JobSpec
            Description of the job.
        limit : timedelta
            Time until the caller stops waiting.

        Raises
        ------
        InvalidInputError
            If the store would refuse a row of the job; nothing is stored.
        """
        row = msgspec.structs.replace(
            spec, accepted_ms=self._store_clock.earliest_ms()
        )
        name = _submission_row(job_id, 'spec')
        check_storable(job_id, row, self._store.limits)
        deadline = Deadline(self._clock, limit)
        return await self._write_with_retries(name, encode_row(row), deadline)

    async def cancel(
        self, job_id: str, limit: timedelta, access: JobAccess = _FULL_ACCESS
    ) -> Accepted | NotFound | NotAccepted | Unknown:
        """Store the cancellation of a job.

        A submission of the job may still be under way, so the cancellation is
        also stored if there is no such job.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        limit : timedelta
            Time until the caller stops waiting.
        access : JobAccess, optional
            Rights of the caller. Other jobs do not exist for it. By default,
            the caller may cancel any job.
        """
        deadline = Deadline(self._clock, limit)
        state = await self.state(job_id, limit, access)
        if isinstance(state, NotFound):
            return await self._cancel_early(job_id, access, deadline)
        if isinstance(state, Unavailable):
            return NotAccepted(state.reason)
        if state.is_final:
            return Accepted()
        name = _submission_row(job_id, 'cancel')
        return await self._write_with_retries(name, b'{}', deadline)

    async def state(
        self, job_id: str, limit: timedelta, access: JobAccess = _FULL_ACCESS
    ) -> JobState | NotFound | Unavailable:
        """Return the state of a job; see ``status``."""
        status = await self.status(job_id, limit, access)
        return status.state if isinstance(status, JobStatus) else status

    async def status(
        self, job_id: str, limit: timedelta, access: JobAccess = _FULL_ACCESS
    ) -> JobStatus | NotFound | Unavailable:
        """Return the status of a job, within the time limit of the caller.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        limit : timedelta
            Time until the caller stops waiting.
        access : JobAccess, optional
            Rights of the caller. Other jobs do not exist for it. By default,
            the caller may read any job.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await self._read_status(job_id, access)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))
        except TimeoutError:
            return Unavailable(_NO_RESPONSE)

    async def waiting_jobs(
        self, queue: str, limit: timedelta
    ) -> int | Unavailable:
        """Return how many accepted jobs of a queue have no started task.

        A count that is not known, or too old, is ``Unavailable``.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                row = await self._store.read_row(LEASE_NAME)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))
        except TimeoutError:
            return Unavailable(_NO_RESPONSE)
        lease = _decode(row, LeaseRow)
        count = None if lease is None else lease.count_waiting(queue)
        if lease is None or count is None:
            return Unavailable(_NO_COUNT)
        # Rows of earlier releases do not tell the age.
        counted_ms = lease.counted_ms or self._store_clock.earliest_ms()
        age_ms = self._store_clock.earliest_ms() - counted_ms
        if age_ms > _MAX_COUNT_AGE_MS:
            return Unavailable(f'the jobs were counted {age_ms} ms ago')
        return count

    async def _cancel_early(
        self, job_id: str, access: JobAccess, deadline: Deadline
    ) -> Accepted | NotFound | NotAccepted | Unknown:
        """Store the cancellation of a job that is not there.

        It applies to a job of the caller that arrives before or after it.
        """
        row = CancellationRow(
            access.workspace,
            access.public_queue,
            self._store_clock.earliest_ms(),
        )
        name = _submission_row(job_id, _early_kind(row))
        outcome = await self._write_with_retries(
            name, encode_row(row), deadline
        )
        if not isinstance(outcome, Accepted):
            return outcome
        # The job may have arrived since its state was read.
        limit = timedelta(seconds=deadline.remaining_s)
        state = await self.state(job_id, limit, access)
        return state if isinstance(state, NotFound) else Accepted()

    async def _read_status(
        self, job_id: str, access: JobAccess
    ) -> JobStatus | NotFound:
        # Most jobs have started when their state is read, so their progress
        # is read first.
        row = await self._store.read_row(
            RowName(PROGRESS.name, SCHEDULER_PART, job_id)
        )
        progress = _decode(row, ProgressRow)
        if progress is not None and progress.queue:
            if access.covers(progress.workspace or '', progress.queue):
                return JobStatus(progress.state, progress.reason)
            return NotFound()
        row = await self._store.read_row(_submission_row(job_id, 'spec'))
        spec = _decode(row, JobSpec)
        if spec is not None and not access.covers(spec.workspace, spec.queue):
            return NotFound()
        if progress is not None:
            # The description of an ended job is deleted before its progress.
            owner = progress.workspace
            is_hidden = owner is not None and not access.covers(owner, '')
            if spec is None and is_hidden:
                return NotFound()
            return JobStatus(progress.state, progress.reason)
        return NotFound() if row is None else JobStatus(JobState.queued)

    async def _write_with_retries(
        self, name: RowName, content: bytes, deadline: Deadline
    ) -> Accepted | NotAccepted | Unknown:
        while True:
            outcome = await self._try_write(name, content, deadline)
            is_uncertain = self._unsettled_writes.contains(name)
            if isinstance(outcome, Committed | Conflict):
                self._unsettled_writes.remove(name)
                decision_log.record(
                    'row_stored',
                    row=name.key,
                    is_new=isinstance(outcome, Committed),
                    was_uncertain=is_uncertain,
                )
                return Accepted()
            if self._should_give_up(is_uncertain, deadline):
                reason = outcome.reason
                return Unknown(reason) if is_uncertain else NotAccepted(reason)
            await asyncio.sleep(_RETRY_DELAY_S)

    def _should_give_up(self, is_uncertain: bool, deadline: Deadline) -> bool:
        """Return whether the caller should rather ask another entry.

        An unknown outcome is settled by the next write that the store answers.
        While this entry has lost the store, that is sooner at another one.
        """
        if deadline.has_passed:
            return True
        if not is_uncertain:
            return deadline.elapsed > _REFUSED_RETRY_PERIOD
        return (
            deadline.elapsed > _SETTLE_PERIOD and not self._health.is_reachable
        )

    async def _try_write(
        self, name: RowName, content: bytes, deadline: Deadline
    ) -> Committed | Conflict | NotAccepted | Unknown:
        """Write a row if it is absent and the store responds.

        After a write without a response the call can no longer be refused. So
        if the store has been silent, it is read first: while it does not
        respond nothing is written, and the caller gets a definite refusal.
        """
        try:
            async with asyncio.timeout(deadline.remaining_s):
                await self._probe_silent_store()
        except PlatformUnavailableError as error:
            return NotAccepted(str(error))
        except TimeoutError:
            return NotAccepted(_NO_RESPONSE)
        try:
            async with asyncio.timeout(deadline.remaining_s):
                return await self._store.commit(
                    [RowWrite(name, content)], [(name, ABSENT)]
                )
        except PlatformUnavailableError as error:
            return NotAccepted(str(error))
        except UncertainWriteError as error:
            self._unsettled_writes.add(name)
            return Unknown(str(error))
        except TimeoutError:
            self._unsettled_writes.add(name)
            return Unknown(_NO_RESPONSE)

    async def _probe_silent_store(self) -> None:
        if not self._health.is_reachable:
            async with asyncio.timeout(_PROBE_TIMEOUT.total_seconds()):
                await self._store.read_row(LEASE_NAME)
        elif self._store_clock.age_ms > _MAX_STORE_SILENCE_MS:
            await self._store.read_row(LEASE_NAME)


def _early_kind(row: CancellationRow) -> str:
    """Return the key of a cancellation within its job.

    Callers who may not cancel each other's jobs have rows of their own.
    """
    caller = msgspec.json.encode((row.workspace, row.public_queue))
    return f'{EARLY_CANCELLATION_PREFIX}{sha256(caller).hexdigest()[:16]}'


def _submission_row(job_id: str, kind: str) -> RowName:
    return RowName(SUBMISSIONS.name, shard_of(job_id), f'{job_id}/{kind}')


def _decode(row: Row | None, model: type[_RowT]) -> _RowT | None:
    """Return the content, or ``None`` if the row is absent or unreadable."""
    if row is None:
        return None
    content = decode_row(row.content, model)
    if isinstance(content, Unreadable):
        unreadable_entries.record('row_unreadable', content, key=row.key)
        return None
    return content
