"""Stored form of ledger rows."""

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.handover import LedgerRow

__all__ = ('decode_row', 'encode_row')

_SCHEMA_VERSION = 1


class _RowRecord(msgspec.Struct):
    schema_version: int
    row: LedgerRow


_decoder = msgspec.json.Decoder(_RowRecord)


def encode_row(row: LedgerRow) -> bytes:
    """Return the stored form of a row."""
    return msgspec.json.encode(_RowRecord(_SCHEMA_VERSION, row))


def decode_row(content: bytes) -> LedgerRow:
    """Return the row in its stored form.

    Raises
    ------
    InvalidInputError
        If the content is not a ledger row.
    """
    try:
        return _decoder.decode(content).row
    except msgspec.DecodeError as error:
        raise InvalidInputError('$', content, f'ledger row: {error}') from error
