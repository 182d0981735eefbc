"""Calls of callers: submit, cancel and read jobs."""

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

_RETRY_S = 0.1
# An entry hears from a sound store several times in this time.
_SUSPICIOUS_SILENCE_MS = 1200
# The store may refuse this entry and serve others, so it is not tried longer.
_REFUSED_FOR = timedelta(milliseconds=300)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job or its cancellation is stored."""


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """Nothing was stored, and nothing will be."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The outcome is not known; the call should be repeated."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotFound:
    """No such job exists."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer a read."""

    reason: str


class SubmissionService:
    """Serves callers from the rows; it does not need the scheduler."""

    def __init__(
        self, store: RowStore, store_clock: StoreClock, clock: SteadyClock
    ) -> None:
        """Serve from ``store``."""
        self._store = store
        self._store_clock = store_clock
        self._clock = clock

    async def submit(
        self, job_id: str, spec: JobSpec, limit: timedelta
    ) -> Accepted | NotAccepted | Unknown:
        """Store a job once.

        A write without an answer may still be carried out, so "not accepted"
        is said only if every attempt was certainly refused.

        Parameters
        ----------
        limit : timedelta
            Time until the caller stops waiting.
        """
        row = msgspec.structs.replace(
            spec, accepted_ms=self._store_clock.earliest_ms()
        )
        name = _submission(job_id, 'spec')
        return await self._write_once(name, encode_row(row), limit)

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
        name = _submission(job_id, 'cancel')
        return await self._write_once(name, b'{}', limit)

    async def state(self, job_id: str) -> JobState | NotFound | Unavailable:
        """Return the state of a job."""
        try:
            return await self._read_state(job_id)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))

    async def waiting(self, queue: str) -> int | Unavailable:
        """Return the number of accepted jobs without a started task."""
        try:
            row = await self._store.read_row(LEASE_NAME)
        except PlatformUnavailableError as error:
            return Unavailable(str(error))
        lease = None if row is None else decode_row(row.content, LeaseRow)
        return 0 if lease is None else lease.waiting.get(queue, 0)

    async def _read_state(self, job_id: str) -> JobState | NotFound:
        # Most jobs have started when they are asked for.
        row = await self._store.read_row(
            RowName(PROGRESS.name, SCHEDULER_PART, job_id)
        )
        progress = None if row is None else decode_row(row.content, ProgressRow)
        if progress is not None:
            return progress.state
        if await self._store.read_row(_submission(job_id, 'spec')) is None:
            return NotFound()
        return JobState.queued

    async def _write(
        self, name: RowName, content: bytes
    ) -> Committed | Conflict:
        """Write a row if it is absent, if the store seems to answer.

        A write that gets no answer cannot be refused any more, so a store
        that has been silent is read first: nothing is written while it does
        not answer, and the caller can be told so at once.
        """
        if self._store_clock.age_ms > _SUSPICIOUS_SILENCE_MS:
            await self._store.read_row(LEASE_NAME)
        return await self._store.commit(
            [RowWrite(name, content)], [(name, ABSENT)]
        )

    async def _write_once(
        self, name: RowName, content: bytes, limit: timedelta
    ) -> Accepted | NotAccepted | Unknown:
        began_ms = self._clock.now_ms()
        limit_ms = limit.total_seconds() * 1000
        is_uncertain = False
        while True:
            try:
                outcome = await self._write(name, content)
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
            elapsed_ms = self._clock.now_ms() - began_ms
            if not is_uncertain and elapsed_ms > (
                _REFUSED_FOR.total_seconds() * 1000
            ):
                return NotAccepted(reason)
            if elapsed_ms > limit_ms:
                return Unknown(reason) if is_uncertain else NotAccepted(reason)
            await asyncio.sleep(_RETRY_S)


def _submission(job_id: str, kind: str) -> RowName:
    return RowName(SUBMISSIONS.name, shard_of(job_id), f'{job_id}/{kind}')
