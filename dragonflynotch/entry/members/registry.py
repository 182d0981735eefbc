"""Registration of entries in the table service."""

import uuid
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.entry.peers.exchange import EntryIdentity
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    Row,
    TableService,
)

__all__ = ('REGISTRATION_INTERVAL', 'EntryRegistry', 'RegisteredEntry')

REGISTRATION_INTERVAL = timedelta(seconds=30)
# Rows of entries that were replaced are removed after a day.
_RETENTION = timedelta(days=1)
# An entry that did not refresh its row for this time is not contacted.
_CONTACT_LIMIT = timedelta(seconds=90)

_PREFIX = 'entry/'

_log = part_logger('entry.registry')


class _Row(msgspec.Struct, frozen=True):
    link: str
    schema_versions: tuple[int, ...]
    refreshed_at: datetime


@dataclass(frozen=True, slots=True)
class RegisteredEntry:
    """Another entry as its row describes it.

    Parameters
    ----------
    entry_id : str
        Unique name.
    data_centre : str
        Data centre of the entry.
    link : str
        ``host:port`` of its entry link.
    schema_versions : tuple of int
        Versions that the entry and all its guards read.
    is_recent : bool
        Whether the row was refreshed within 90 s.
    """

    entry_id: str
    data_centre: str
    link: str
    schema_versions: tuple[int, ...]
    is_recent: bool


class EntryRegistry:
    """Owns the row of this entry and reads those of the others."""

    def __init__(
        self, identity: EntryIdentity, table: TableService, clock: Clock
    ) -> None:
        """Register ``identity`` in ``table``."""
        self._identity = identity
        self._table = table
        self._clock = clock
        self._entries: tuple[RegisteredEntry, ...] = ()

    @property
    def entries(self) -> tuple[RegisteredEntry, ...]:
        """The other entries, as read last."""
        return self._entries

    async def refresh(self, schema_versions: tuple[int, ...]) -> bool:
        """Write the own row, read the others, remove abandoned ones.

        Parameters
        ----------
        schema_versions : tuple of int
            Versions that this entry and all its guards read.

        Returns
        -------
        bool
            Whether the table service was reachable.
        """
        try:
            rows = await self._table.scan(_PREFIX)
            await self._write_own(rows, schema_versions)
            await self._remove_abandoned(rows)
        except DragonflynotchError as error:
            _log.warning('registration failed: {}', error)
            return False
        self._entries = tuple(
            self._entry(row) for row in rows if row.key != self._own_key()
        )
        return True

    async def remove(self) -> None:
        """Delete the own row on a planned stop."""
        try:
            row = await self._table.read(self._own_key())
            if row is not None:
                await self._commit(row.key, None, row.version)
        except DragonflynotchError as error:
            _log.warning('removal of the registration failed: {}', error)

    async def _write_own(
        self, rows: tuple[Row, ...], schema_versions: tuple[int, ...]
    ) -> None:
        host, port = self._identity.link
        content = _Row(f'{host}:{port}', schema_versions, self._clock.now())
        versions = {row.key: row.version for row in rows}
        key = self._own_key()
        await self._commit(
            key,
            msgspec.json.encode(content),
            versions.get(key, ABSENT_VERSION),
        )

    async def _remove_abandoned(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            age = self._clock.now() - _decode(row).refreshed_at
            if age > _RETENTION:
                await self._commit(row.key, None, row.version)

    async def _commit(
        self, key: str, content: bytes | None, version: int
    ) -> None:
        await self._table.commit(
            [ConditionalWrite(key, content, version)], uuid.uuid4().hex
        )

    def _entry(self, row: Row) -> RegisteredEntry:
        data_centre, entry_id = row.key.removeprefix(_PREFIX).split('/', 1)
        content = _decode(row)
        age = self._clock.now() - content.refreshed_at
        return RegisteredEntry(
            entry_id=entry_id,
            data_centre=data_centre,
            link=content.link,
            schema_versions=content.schema_versions,
            is_recent=age <= _CONTACT_LIMIT,
        )

    def _own_key(self) -> str:
        identity = self._identity
        return f'{_PREFIX}{identity.data_centre}/{identity.entry_id}'


def _decode(row: Row) -> _Row:
    return msgspec.json.decode(row.content, type=_Row)
