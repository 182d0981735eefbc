"""Reads and writes the configuration in the platform's table service."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from dragonflynotch.core.configuration import (
    Change,
    RecordKey,
    Snapshot,
    StoredRecord,
)
from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableService,
    Written,
)

__all__ = ('ConfigurationStore', 'HeadMoved', 'RecordMoved')

_HEAD_KEY = 'configuration/head'
_RECORD_PREFIX = 'configuration/record/'
# A commit whose answer was lost is recognised as long as its token is among
# the recent ones, also after other entries committed changes on top of it.
_RECENT_TOKENS = 64
_COMMIT_TRIES = 4


class _Head(msgspec.Struct, frozen=True):
    revision: int = 0
    recent_tokens: tuple[tuple[int, str], ...] = ()


class _RecordContent(msgspec.Struct, frozen=True):
    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class HeadMoved:
    """Another change was committed first; the write may be tried again."""


@dataclass(frozen=True, slots=True)
class RecordMoved:
    """The record has another revision than the operator has seen."""

    current_revision: int


class ConfigurationStore:
    """The configuration rows of the table service.

    All methods raise ``PlatformUnavailableError`` while the service is down.
    """

    def __init__(
        self,
        table: TableService,
        new_token: Callable[[], str] | None = None,
    ) -> None:
        """Use ``table``; ``new_token`` names each transaction."""
        self._table = table
        self._new_token = new_token or _random_token

    async def revision(self) -> int:
        """Return the revision of the last committed change."""
        return _head(await self._table.read(_HEAD_KEY)).revision

    async def snapshot(self) -> Snapshot:
        """Return all records at one revision."""
        while True:
            before = await self._table.read(_HEAD_KEY)
            rows = await self._table.scan(_RECORD_PREFIX)
            after = await self._table.read(_HEAD_KEY)
            if _version(before) == _version(after):
                return Snapshot(
                    _head(before).revision,
                    MappingProxyType(dict(map(_stored_record, rows))),
                )

    async def write(
        self, key: RecordKey, document: bytes | None, expected_revision: int
    ) -> Change | HeadMoved | RecordMoved:
        """Commit one change on condition of the record's revision.

        Parameters
        ----------
        key : RecordKey
            Record to write.
        document : bytes or None
            New JSON document; ``None`` deletes the record.
        expected_revision : int
            Revision of the record that the operator has seen; 0 if it must
            not exist.

        Returns
        -------
        Change or HeadMoved or RecordMoved
            The committed change, or why nothing was written.

        Raises
        ------
        PlatformUnavailableError
            If nothing was written.
        UncertainWriteError
            If the change may have been written and that cannot be found out.
        """
        row_key = f'{_RECORD_PREFIX}{key.kind}/{key.name}'
        head_row = await self._table.read(_HEAD_KEY)
        record_row = await self._table.read(row_key)
        found = 0 if record_row is None else _content(record_row).revision
        if found != expected_revision:
            return RecordMoved(found)
        head = _head(head_row)
        change = Change(head.revision + 1, key, document)
        token = self._new_token()
        writes = (
            ConditionalWrite(
                _HEAD_KEY, _next_head(head, token), _version(head_row)
            ),
            ConditionalWrite(
                row_key, _encoded_record(change), _version(record_row)
            ),
        )
        is_written = await self._commit(writes, change.revision, token)
        return change if is_written else HeadMoved()

    async def _commit(
        self,
        writes: tuple[ConditionalWrite, ...],
        change_revision: int,
        token: str,
    ) -> bool:
        """Repeat one transaction until its outcome is certain.

        Both writes depend on the version of the head, so repeating them under
        the same token takes effect at most once.
        """
        is_uncertain = False
        for _ in range(_COMMIT_TRIES):
            try:
                outcome = await self._table.commit(writes, token)
            except UncertainWriteError:
                is_uncertain = True
                continue
            if isinstance(outcome, Written):
                return True
            return is_uncertain and await self._took_effect(
                change_revision, token
            )
        raise _uncertain()

    async def _took_effect(self, revision: int, token: str) -> bool:
        """Return whether a transaction whose answer was lost took effect.

        The last writer alone would not tell: a later change hides it.
        """
        head = _head(await self._table.read(_HEAD_KEY))
        if any(recent == token for _, recent in head.recent_tokens):
            return True
        oldest = head.recent_tokens[0][0] if head.recent_tokens else 1
        if oldest > revision:
            raise _uncertain()
        return False


def _uncertain() -> UncertainWriteError:
    return UncertainWriteError(
        'the change may or may not have been committed',
        step='commit configuration',
        peer='table service',
    )


def _random_token() -> str:
    return uuid.uuid4().hex


def _version(row: Row | None) -> int:
    return ABSENT_VERSION if row is None else row.version


def _head(row: Row | None) -> _Head:
    if row is None:
        return _Head()
    return msgspec.json.decode(row.content, type=_Head)


def _next_head(head: _Head, token: str) -> bytes:
    revision = head.revision + 1
    tokens = (*head.recent_tokens, (revision, token))[-_RECENT_TOKENS:]
    return msgspec.json.encode(_Head(revision, tokens))


def _content(row: Row) -> _RecordContent:
    return msgspec.json.decode(row.content, type=_RecordContent)


def _encoded_record(change: Change) -> bytes | None:
    if change.document is None:
        return None
    document = change.document.decode()
    return msgspec.json.encode(_RecordContent(change.revision, document))


def _stored_record(row: Row) -> tuple[RecordKey, StoredRecord]:
    kind, name = row.key.removeprefix(_RECORD_PREFIX).split('/', 1)
    content = _content(row)
    return (
        RecordKey(kind, name),
        StoredRecord(content.document.encode(), content.revision),
    )
