"""Encodes and decodes the stored form of ledger rows."""

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.handover import LedgerRow
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted

__all__ = ('decode_row', 'encode_row')

_SCHEMA_VERSION = 1


class _StoredRow(msgspec.Struct):
    schema_version: int
    row: LedgerRow


_decoder = msgspec.json.Decoder(_StoredRow)


def encode_row(row: LedgerRow) -> bytes:
    """Return the stored form of a row."""
    return msgspec.json.encode(_StoredRow(_SCHEMA_VERSION, row))


def decode_row(content: bytes) -> LedgerRow:
    """Return the row that a stored form holds.

    Raises
    ------
    InvalidInputError
        If the content is not a ledger row.
    """
    stored = decode_untrusted(_decoder.decode, content)
    if isinstance(stored, Unreadable):
        raise InvalidInputError(
            '$', content[:80], f'a ledger row: {stored.reason}'
        )
    return stored.row
