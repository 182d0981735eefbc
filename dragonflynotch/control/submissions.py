"""Submission, cancellation and state of jobs for callers."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.leadership import LEASE_NAME
from dragonflynotch.control.rows import (
    ABSENT,
    PROGRESS,
    SCHEDULER_PART,
    SUBMISSIONS,
    Committed,
    Conflict,
    RowName,
    RowStore,
    RowWrite,
    shard_of,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import (
    JobState,
    LeaseRow,
    ProgressRow,
    decode_row,
    encode_row,
)

__all__ = (
    'Accepted',
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
class NotFound:
    """No such job exists."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not respond to a read."""

    reason: str


class SubmissionService:
    """Serves callers from the row store, without the scheduler."""

    def __init__(
        self, store: RowStore, store_clock: StoreClock, clock: SteadyClock
    ) -> None:
        """Create a service for the jobs in ``store``."""
        self._store = store
        self._store_clock = store_clock
        self._clock = clock

    async def submit(
        self, job_id: str, spec: JobSpec, limit: timedelta
    ) -> Accepted | NotAccepted | Unknown:
        """Store a job once, also if the call is repeated.

        A write without a response may still be carried out, so the result is
        ``NotAccepted`` only if every attempt was certainly refused.

        Parameters
        ----------
        job_id : str
            Identifier of the job.
        spec : JobSpec
            Description of the job.
        limit : timedelta
            Time until the caller stops waiting.
        """
        row = msgspec.structs.replace(
            spec, accepted_ms=self._store_clock.earliest_ms()
        )
        name = _submission_row(job_id, 'spec')
        return await self._write_with_retries(name, encode_row(row), limit)

    async def cancel(
        self, job_id: str, limit: timedelta
    ) -> Accepted | NotFound | NotAccepted | Unknown:
        """Store the cancellation of a job."""
        state = await self.state(job_id)
        if isinstance(state, NotFound):
            return state
        if isinstance(state, Unavailable):
            return NotAccepted(state.reason)
        if state.is_final:
            return Accepted()
        name = _submission_row(job_id, 'cancel')
        return await self._write_with_retries(name, b'{}', limit)

    async def state(self, job_id: str) -> JobState | NotFound | Unavailable:
        """Return the state of a job."""
        try:
            return await self._read_state(job_id)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))

    async def waiting_jobs(self, queue: str) -> int | Unavailable:
        """Return how many accepted jobs of a queue have no started task."""
        try:
            row = await self._store.read_row(LEASE_NAME)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))
        lease = None if row is None else decode_row(row.content, LeaseRow)
        return 0 if lease is None else lease.waiting.get(queue, 0)

    async def _read_state(self, job_id: str) -> JobState | NotFound:
        # Most jobs have started when their state is read, so their progress
        # is read first.
        row = await self._store.read_row(
            RowName(PROGRESS.name, SCHEDULER_PART, job_id)
        )
        progress = None if row is None else decode_row(row.content, ProgressRow)
        if progress is not None:
            return progress.state
        if await self._store.read_row(_submission_row(job_id, 'spec')) is None:
            return NotFound()
        return JobState.queued

    async def _write_if_absent(
        self, name: RowName, content: bytes
    ) -> Committed | Conflict:
        """Write a row if it is absent and the store responds.

        After a write without a response the call can no longer be refused. So
        if the store has been silent, it is read first: while it does not
        respond nothing is written, and the caller gets a definite refusal.
        """
        if self._store_clock.age_ms > _MAX_STORE_SILENCE_MS:
            await self._store.read_row(LEASE_NAME)
        return await self._store.commit(
            [RowWrite(name, content)], [(name, ABSENT)]
        )

    async def _write_with_retries(
        self, name: RowName, content: bytes, limit: timedelta
    ) -> Accepted | NotAccepted | Unknown:
        started_ms = self._clock.now_ms()
        limit_ms = limit.total_seconds() * 1000
        is_uncertain = False
        while True:
            try:
                outcome = await self._write_if_absent(name, content)
            except PlatformUnavailableError as error:
                reason = str(error)
            except UncertainWriteError as error:
                is_uncertain = True
                reason = str(error)
            else:
                decision_log.record(
                    'row_stored',
                    row=name.key,
                    is_new=isinstance(outcome, Committed),
                    was_uncertain=is_uncertain,
                )
                return Accepted()
            elapsed_ms = self._clock.now_ms() - started_ms
            if not is_uncertain and elapsed_ms > (
                _REFUSED_RETRY_PERIOD.total_seconds() * 1000
            ):
                return NotAccepted(reason)
            if elapsed_ms > limit_ms:
                return Unknown(reason) if is_uncertain else NotAccepted(reason)
            await asyncio.sleep(_RETRY_DELAY_S)


def _submission_row(job_id: str, kind: str) -> RowName:
    return RowName(SUBMISSIONS.name, shard_of(job_id), f'{job_id}/{kind}')
