"""Reads and writes the lease row of a partition in the table service."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from dragonflynotch.core.errors import (
    DragonflynotchError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.ownership import LeaseRow
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.services.readable_rows import require_readable
from dragonflynotch.services.table import (
    ABSENT_VERSION,
    ConditionalWrite,
    TableService,
    WriteConflict,
    Written,
)

__all__ = ('LeaseRowStore', 'NotOwnerError', 'StoredLease')


class NotOwnerError(DragonflynotchError):
    """Another entry owns the partition."""


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The stored lease row.

    Parameters
    ----------
    row : LeaseRow or None
        Content; ``None`` if the row does not exist.
    version : int
        Version of the row.
    is_own : bool
        Whether this process wrote the row.
    """

    row: LeaseRow | None
    version: int
    is_own: bool


class LeaseRowStore:
    """Writes the lease row, alone or with other rows in one transaction.

    Parameters
    ----------
    table : TableService
        Holds the rows.
    data_centre : str
        Partition.
    writer : str
        Unique name of this process; the prefix of its writer tokens.
    """

    def __init__(
        self, table: TableService, data_centre: str, writer: str
    ) -> None:
        """Create a store that has not read the row yet."""
        self._table = table
        self._key = f'partition/{data_centre}'
        self._registration_prefix = f'entry/{data_centre}/'
        self._token_prefix = f'{writer}.'
        self._token_numbers = itertools.count(1)
        self.version = ABSENT_VERSION

    def is_own_token(self, token: str) -> bool:
        """Whether a writer token belongs to this process."""
        return token.startswith(self._token_prefix)

    async def read(self) -> StoredLease:
        """Return the stored row.

        Raises
        ------
        PlatformUnavailableError
            If the table service did not answer or the row is unreadable.
        """
        found = await self._table.read(self._key)
        if found is None:
            return StoredLease(None, ABSENT_VERSION, is_own=False)
        return StoredLease(
            require_readable(found, _decode_lease),
            found.version,
            self.is_own_token(found.writer_token),
        )

    async def read_registered_entries(self) -> frozenset[str]:
        """Return the ids of the entries registered in the data centre."""
        rows = await self._table.scan(self._registration_prefix)
        return frozenset(
            row.key.removeprefix(self._registration_prefix) for row in rows
        )

    async def write(
        self, row: LeaseRow, writes: Sequence[ConditionalWrite] = ()
    ) -> Written | WriteConflict:
        """Write the lease row and others if their versions are unchanged.

        Returns
        -------
        Written or WriteConflict
            A conflict names only rows of ``writes``. ``versions`` is empty if
            the answer was lost and the row, read back, showed that the write
            had taken effect.

        Raises
        ------
        NotOwnerError
            If another process wrote the lease row.
        PlatformUnavailableError
            If nothing was written.
        UncertainWriteError
            If the write may have taken effect, now or later.
        """
        token = f'{self._token_prefix}{next(self._token_numbers)}'
        lease = ConditionalWrite(
            self._key, msgspec.json.encode(row), self.version
        )
        try:
            outcome = await self._table.commit([lease, *writes], token)
        except UncertainWriteError:
            await self._read_back(token)
            return Written({})
        if isinstance(outcome, Written):
            self.version = outcome.versions[self._key]
            return outcome
        if self._key not in outcome.current_rows:
            return outcome
        found = outcome.current_rows[self._key]
        if found is None or not self.is_own_token(found.writer_token):
            raise NotOwnerError(
                'another entry wrote the lease row', step='commit'
            )
        # An earlier write whose answer was lost took effect after all.
        self.version = found.version
        return await self.write(row, writes)

    async def _read_back(self, token: str) -> None:
        """Read the row back to learn whether a write took effect.

        Raises
        ------
        UncertainWriteError
            If the row does not carry ``token`` or cannot be read.
        """
        try:
            found = await self._table.read(self._key)
        except PlatformUnavailableError as error:
            raise UncertainWriteError(
                'commit got no answer and the row could not be read back',
                step='commit',
            ) from error
        if found is None or found.writer_token != token:
            raise UncertainWriteError(
                'commit got no answer and has not taken effect yet',
                step='commit',
            )
        self.version = found.version


_lease_decoder = msgspec.json.Decoder(LeaseRow)


def _decode_lease(content: bytes) -> LeaseRow | Unreadable:
    return decode_untrusted(_lease_decoder.decode, content)
