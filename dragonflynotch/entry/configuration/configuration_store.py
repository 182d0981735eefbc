"""Reads and writes the configuration in the platform's table service.

The head row holds the revision of the last change. Each commit also writes the
head, so changes are committed one after another.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

import msgspec

from dragonflynotch.core.configuration import (
    Change,
    RecordKey,
    Snapshot,
    StoredRecord,
)
from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.core.untrusted import decode_untrusted
from dragonflynotch.records.bounds import Count
from dragonflynotch.services.readable_rows import require_readable
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableService,
    Written,
)

__all__ = ('ConfigurationStore', 'HeadChanged', 'RevisionMismatch')

_HEAD_KEY = 'configuration/head'
_RECORD_PREFIX = 'configuration/record/'
# The head lists the tokens of the last transactions. A transaction whose answer
# was lost can be recognised by its token, even after later changes of other
# entries, as long as the token is listed.
_MAX_RECENT_TOKENS = 64
_MAX_COMMIT_ATTEMPTS = 4


class _Head(msgspec.Struct, frozen=True):
    revision: Count = 0
    recent_tokens: tuple[tuple[Count, str], ...] = ()


class _RecordContent(msgspec.Struct, frozen=True):
    revision: Count
    document: str


@dataclass(frozen=True, slots=True)
class HeadChanged:
    """Another change was committed first; the write can be retried."""


@dataclass(frozen=True, slots=True)
class RevisionMismatch:
    """The record is not at the expected revision."""

    current_revision: int


_head_decoder = msgspec.json.Decoder(_Head)
_content_decoder = msgspec.json.Decoder(_RecordContent)


class ConfigurationStore:
    """The configuration rows of the table service.

    All methods raise ``PlatformUnavailableError`` while the service is down.
    """

    def __init__(
        self,
        table: TableService,
        new_token: Callable[[], str] | None = None,
    ) -> None:
        """Use ``table``; ``new_token`` returns a unique transaction token."""
        self._table = table
        self._new_token = new_token or _random_token

    async def revision(self) -> int:
        """Return the revision of the last committed change."""
        return _decode_head(await self._table.read(_HEAD_KEY)).revision

    async def snapshot(self) -> Snapshot:
        """Return all records as of one revision.

        Reads again if the head changed during the scan.
        """
        while True:
            before = await self._table.read(_HEAD_KEY)
            rows = await self._table.scan(_RECORD_PREFIX)
            after = await self._table.read(_HEAD_KEY)
            if _row_version(before) == _row_version(after):
                return Snapshot(
                    _decode_head(before).revision,
                    MappingProxyType(dict(map(_decode_record, rows))),
                )

    async def write(
        self, key: RecordKey, document: bytes | None, expected_revision: int
    ) -> Change | HeadChanged | RevisionMismatch:
        """Commit one change if the record is at the expected revision.

        Parameters
        ----------
        key : RecordKey
            Record to write.
        document : bytes or None
            New JSON document; ``None`` deletes the record.
        expected_revision : int
            Revision that the record must have; 0 if it must not exist.

        Returns
        -------
        Change or HeadChanged or RevisionMismatch
            The committed change, or why nothing was written.

        Raises
        ------
        PlatformUnavailableError
            If nothing was written.
        UncertainWriteError
            If it cannot be determined whether the change was written.
        """
        row_key = f'{_RECORD_PREFIX}{key.kind}/{key.name}'
        head_row = await self._table.read(_HEAD_KEY)
        record_row = await self._table.read(row_key)
        current_revision = (
            0 if record_row is None else _decode_content(record_row).revision
        )
        if current_revision != expected_revision:
            return RevisionMismatch(current_revision)
        head = _decode_head(head_row)
        change = Change(head.revision + 1, key, document)
        token = self._new_token()
        writes = (
            ConditionalWrite(
                _HEAD_KEY, _next_head(head, token), _row_version(head_row)
            ),
            ConditionalWrite(
                row_key, _encode_record(change), _row_version(record_row)
            ),
        )
        is_written = await self._commit(writes, change.revision, token)
        return change if is_written else HeadChanged()

    async def _commit(
        self,
        writes: tuple[ConditionalWrite, ...],
        revision: int,
        token: str,
    ) -> bool:
        """Repeat a transaction until its outcome is known.

        The transaction is conditional on the version of the head, so repeating
        it with the same token takes effect at most once.

        Returns
        -------
        bool
            Whether the transaction was committed.
        """
        is_uncertain = False
        for _ in range(_MAX_COMMIT_ATTEMPTS):
            try:
                outcome = await self._table.commit(writes, token)
            except UncertainWriteError:
                is_uncertain = True
                continue
            if isinstance(outcome, Written):
                return True
            return is_uncertain and await self._was_committed(revision, token)
        raise _uncertain_write()

    async def _was_committed(self, revision: int, token: str) -> bool:
        """Return whether a transaction whose answer was lost was committed.

        The writer of the head row alone does not show this, because a later
        change replaces it.
        """
        head = _decode_head(await self._table.read(_HEAD_KEY))
        if any(recent == token for _, recent in head.recent_tokens):
            return True
        oldest = head.recent_tokens[0][0] if head.recent_tokens else 1
        if oldest > revision:
            raise _uncertain_write()
        return False


def _uncertain_write() -> UncertainWriteError:
    return UncertainWriteError(
        'the configuration change may or may not have been committed',
        step='commit configuration',
        peer='table service',
    )


def _random_token() -> str:
    return uuid.uuid4().hex


def _row_version(row: Row | None) -> int:
    return ABSENT_VERSION if row is None else row.version


def _decode_head(row: Row | None) -> _Head:
    if row is None:
        return _Head()
    return require_readable(
        row, partial(decode_untrusted, _head_decoder.decode)
    )


def _next_head(head: _Head, token: str) -> bytes:
    revision = head.revision + 1
    tokens = (*head.recent_tokens, (revision, token))[-_MAX_RECENT_TOKENS:]
    return msgspec.json.encode(_Head(revision, tokens))


def _decode_content(row: Row) -> _RecordContent:
    return require_readable(
        row, partial(decode_untrusted, _content_decoder.decode)
    )


def _encode_record(change: Change) -> bytes | None:
    if change.document is None:
        return None
    document = change.document.decode()
    return msgspec.json.encode(_RecordContent(change.revision, document))


def _decode_record(row: Row) -> tuple[RecordKey, StoredRecord]:
    kind, _, name = row.key.removeprefix(_RECORD_PREFIX).partition('/')
    # A record that is left out would count as deleted.
    content = _decode_content(row)
    return (
        RecordKey(kind, name),
        StoredRecord(content.document.encode(), content.revision),
    )
