"""Registration of entries in the table service."""

import uuid
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Annotated

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    parse_address,
)
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
# Rows of entries that ended without removing them are deleted after this time.
_ROW_RETENTION = timedelta(days=1)
# An entry that has not refreshed its row for longer is not contacted.
_MAX_CONTACT_AGE = timedelta(seconds=90)

_ROW_PREFIX = 'entry/'

_log = part_logger('entry.registry')


class _RegistrationRow(msgspec.Struct, frozen=True):
    link: str
    schema_versions: tuple[int, ...]
    refreshed_at: Annotated[datetime, msgspec.Meta(tz=True)]


_row_decoder = msgspec.json.Decoder(_RegistrationRow)


@dataclass(frozen=True, slots=True)
class RegisteredEntry:
    """Registration of another entry.

    Parameters
    ----------
    entry_id : str
        Unique name of the entry.
    data_centre : str
        Data centre of the entry.
    link : str
        Address ``host:port`` of its entry link.
    schema_versions : tuple of int
        Schema versions that the entry and all its guards read.
    is_recent : bool
        Whether the row was refreshed within 90 s.
    """

    entry_id: str
    data_centre: str
    link: str
    schema_versions: tuple[int, ...]
    is_recent: bool


class EntryRegistry:
    """Writes the row of this entry and reads those of the others."""

    def __init__(
        self, identity: EntryIdentity, table: TableService, clock: Clock
    ) -> None:
        """Create the registry; ``refresh`` registers ``identity``."""
        self._identity = identity
        self._table = table
        self._clock = clock
        self._entries: tuple[RegisteredEntry, ...] = ()

    @property
    def entries(self) -> tuple[RegisteredEntry, ...]:
        """The other entries at the last refresh."""
        return self._entries

    async def refresh(self, schema_versions: tuple[int, ...]) -> bool:
        """Write the row of this entry, read the others, remove expired rows.

        Parameters
        ----------
        schema_versions : tuple of int
            Schema versions that this entry and all its guards read.

        Returns
        -------
        bool
            Whether all rows were read and written.
        """
        try:
            rows = await self._table.scan(_ROW_PREFIX)
            await self._write_own_row(rows, schema_versions)
            await self._remove_expired_rows(rows)
        except DragonflynotchError as error:
            _log.warning('registration of this entry failed: {}', error)
            return False
        self._entries = tuple(self._other_entries(rows))
        return True

    async def remove(self) -> None:
        """Delete the row of this entry on a planned stop."""
        try:
            row = await self._table.read(self._own_key())
            if row is not None:
                await self._commit(row.key, None, row.version)
        except DragonflynotchError as error:
            _log.warning(
                'removal of the registration of this entry failed: {}', error
            )

    async def _write_own_row(
        self, rows: tuple[Row, ...], schema_versions: tuple[int, ...]
    ) -> None:
        host, port = self._identity.link
        content = _RegistrationRow(
            f'{host}:{port}', schema_versions, self._clock.now()
        )
        versions = {row.key: row.version for row in rows}
        key = self._own_key()
        await self._commit(
            key,
            msgspec.json.encode(content),
            versions.get(key, ABSENT_VERSION),
        )

    async def _remove_expired_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            content = decode_untrusted(_row_decoder.decode, row.content)
            if isinstance(content, Unreadable):
                continue
            if self._clock.now() - content.refreshed_at > _ROW_RETENTION:
                await self._commit(row.key, None, row.version)

    async def _commit(
        self, key: str, content: bytes | None, version: int
    ) -> None:
        await self._table.commit(
            [ConditionalWrite(key, content, version)], uuid.uuid4().hex
        )

    def _other_entries(self, rows: Iterable[Row]) -> Iterator[RegisteredEntry]:
        for row in rows:
            if row.key == self._own_key():
                continue
            entry = decode_untrusted(self._registered_entry, row)
            if isinstance(entry, Unreadable):
                _log.error('ignoring row {}: {}', row.key, entry.reason)
            else:
                yield entry

    def _registered_entry(self, row: Row) -> RegisteredEntry:
        data_centre, entry_id = row.key.removeprefix(_ROW_PREFIX).split('/', 1)
        content = _row_decoder.decode(row.content)
        if parse_address(content.link) is None:
            raise ValueError('malformed address')
        age = self._clock.now() - content.refreshed_at
        return RegisteredEntry(
            entry_id=entry_id,
            data_centre=data_centre,
            link=content.link,
            schema_versions=content.schema_versions,
            is_recent=age <= _MAX_CONTACT_AGE,
        )

    def _own_key(self) -> str:
        identity = self._identity
        return f'{_ROW_PREFIX}{identity.data_centre}/{identity.entry_id}'
