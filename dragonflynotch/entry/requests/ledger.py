"""Stores ledger rows in the table and large answers in the object store."""

import asyncio
import uuid
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.errors import (
    DragonflynotchError,
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.handover import (
    LEDGER_PREFIX,
    LEDGER_ROW_LIFETIME,
    LedgerRow,
    StoredResult,
)
from dragonflynotch.core.requests import content_digest
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.ledger import decode_row, encode_row
from dragonflynotch.services.object_store import ObjectStore
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableService,
    Written,
)

__all__ = ('Ledger', 'RowChanged', 'VersionedRow')

_MAX_INLINE_BYTES = 16 * 1024
_WRITE_WAIT = timedelta(milliseconds=300)
_FIRST_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 10.0
_MAX_PENDING_WRITES = 1024

_log = part_logger('entry.ledger')


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A ledger row as last read or written.

    Parameters
    ----------
    key : str
        Key of the row in the table.
    row : LedgerRow or None
        The row, or ``None`` if it is absent.
    version : int
        Version for the next conditional write.
    """

    key: str
    row: LedgerRow | None
    version: int


@dataclass(frozen=True, slots=True)
class RowChanged:
    """The row was changed by another write and must be read again."""


class Ledger:
    """Reads and writes ledger rows and answers.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    objects : ObjectStore or None
        Holds answers above 16 KB.
    """

    def __init__(
        self, table: TableService, objects: ObjectStore | None
    ) -> None:
        """Create a ledger on the services of the platform."""
        self._table = table
        self._objects = objects
        self._write_tasks: set[asyncio.Task[None]] = set()

    @property
    def pending_writes(self) -> int:
        """Number of answers that are not recorded yet."""
        return len(self._write_tasks)

    async def read(self, key: str) -> VersionedRow:
        """Return a row; its content is ``None`` if it is absent.

        Raises
        ------
        PlatformUnavailableError
            If the table does not answer or the row cannot be decoded.
        """
        return _versioned(key, await self._table.read(key))

    async def write(
        self, current: VersionedRow, row: LedgerRow | None
    ) -> VersionedRow | RowChanged:
        """Replace a row if its version is unchanged.

        Parameters
        ----------
        current : VersionedRow
            The row as read.
        row : LedgerRow or None
            The new row; ``None`` deletes it.

        Raises
        ------
        PlatformUnavailableError, UncertainWriteError
            If it is not certain that the row was written.
        """
        token = uuid.uuid4().hex
        content = None if row is None else encode_row(row)
        write = ConditionalWrite(current.key, content, current.version)
        try:
            outcome = await self._table.commit((write,), token)
        except UncertainWriteError:
            return await self._read_back(current.key, row, token)
        if isinstance(outcome, Written):
            return VersionedRow(current.key, row, outcome.versions[current.key])
        return RowChanged()

    async def load_result(self, stored: StoredResult) -> bytes:
        """Return a recorded answer.

        Raises
        ------
        PlatformUnavailableError
            If the answer cannot be obtained now.
        """
        body = stored.body
        if body is None and self._objects is not None:
            body = await self._objects.get(stored.object_key)
        if body is None or content_digest(body) != stored.digest:
            raise PlatformUnavailableError(
                'the recorded answer is missing or damaged',
                step='load result',
                peer='object store',
            )
        return body

    async def record_answer(
        self, current: VersionedRow, body: bytes, minion: str
    ) -> None:
        """Record an answer; after a short wait, continue in the background."""
        if len(self._write_tasks) >= _MAX_PENDING_WRITES:
            _log.warning(
                'too many answers wait to be recorded; a row stays claimed'
            )
            return
        task = asyncio.create_task(
            self._record_until_written(current, body, minion)
        )
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        await asyncio.wait((task,), timeout=_WRITE_WAIT.total_seconds())

    async def delete(self, current: VersionedRow) -> None:
        """Try to delete the row of an attempt that is proven not to run."""
        await self._try_write(current, None)

    async def mark_unknown(self, current: VersionedRow) -> None:
        """Try to record that the outcome can never be known."""
        if current.row is not None:
            await self._try_write(current, current.row.as_unknown())

    async def delete_expired(self, now: datetime) -> int:
        """Delete the rows that were claimed more than 24 h ago.

        Returns
        -------
        int
            Number of deleted rows.

        Raises
        ------
        PlatformUnavailableError, UncertainWriteError
            If the table does not answer; the rest is deleted next time.
        """
        deleted = 0
        for found in await self._table.scan(LEDGER_PREFIX):
            current = _versioned(found.key, found)
            if (
                current.row
                and now - current.row.claimed_at > LEDGER_ROW_LIFETIME
            ):
                outcome = await self.write(current, None)
                deleted += isinstance(outcome, VersionedRow)
        return deleted

    async def close(self, limit: timedelta) -> None:
        """Wait up to ``limit`` for unfinished writes, then cancel them."""
        if self._write_tasks:
            await asyncio.wait(self._write_tasks, timeout=limit.total_seconds())
        for task in tuple(self._write_tasks):
            task.cancel()

    async def _read_back(
        self, key: str, row: LedgerRow | None, token: str
    ) -> VersionedRow | RowChanged:
        found = await self._table.read(key)
        if found is not None and found.writer_token == token:
            return VersionedRow(key, row, found.version)
        if found is None and row is None:
            return VersionedRow(key, None, ABSENT_VERSION)
        # The write may still take effect later.
        raise UncertainWriteError(
            'the write got no answer and was not found on reading back',
            step='read back',
            peer='table service',
        )

    async def _try_write(
        self, current: VersionedRow, row: LedgerRow | None
    ) -> None:
        try:
            async with asyncio.timeout(_WRITE_WAIT.total_seconds()):
                await self.write(current, row)
        except (DragonflynotchError, TimeoutError) as error:
            _log.info('ledger row {} may stay claimed: {}', current.key, error)

    async def _record_until_written(
        self, current: VersionedRow, body: bytes, minion: str
    ) -> None:
        backoff_s = _FIRST_BACKOFF_S
        while True:
            try:
                await self._write_answer(current, body, minion)
            except DragonflynotchError as error:
                _log.info(
                    'answer for {} was not recorded; will retry: {}',
                    current.key,
                    error,
                )
            else:
                return
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def _write_answer(
        self, current: VersionedRow, body: bytes, minion: str
    ) -> None:
        claimed = current.row
        if claimed is None:
            return
        stored = await self._store_answer(body, minion)
        if isinstance(
            await self.write(current, claimed.as_done(stored)), RowChanged
        ):
            await self._overwrite_unknown(current.key, claimed, stored)

    async def _overwrite_unknown(
        self, key: str, claimed: LedgerRow, stored: StoredResult
    ) -> None:
        """Record the answer over a row that another entry marked unknown."""
        found = await self.read(key)
        if found.row == claimed.as_unknown():
            await self.write(found, claimed.as_done(stored))

    async def _store_answer(self, body: bytes, minion: str) -> StoredResult:
        digest = content_digest(body)
        if len(body) <= _MAX_INLINE_BYTES:
            return StoredResult(digest, minion, body=body)
        if self._objects is None:
            raise PlatformUnavailableError(
                'no object store is configured', step='store result'
            )
        # Replaces characters of the digest that could separate parts of a path.
        key = 'result-{}'.format(
            digest.translate(str.maketrans('+/=:', '-_..'))
        )
        await self._objects.put(key, body)
        return StoredResult(digest, minion, object_key=key)


def _versioned(key: str, found: Row | None) -> VersionedRow:
    if found is None:
        return VersionedRow(key, None, ABSENT_VERSION)
    try:
        row = decode_row(found.content)
    except InvalidInputError as error:
        raise PlatformUnavailableError(
            f'ledger row {key!r} cannot be decoded: {error}',
            step='read ledger',
            peer='table service',
        ) from error
    return VersionedRow(key, row, found.version)
