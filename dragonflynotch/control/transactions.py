"""Transactions that keep the limits of the row store."""

from collections.abc import Iterator, Sequence

import msgspec

from dragonflynotch.control.rows import RowWrite, StoreLimits
from dragonflynotch.core.errors import InvalidInputError

__all__ = ('check_rows', 'cut_transactions', 'encoded_bytes')

# Names of the fields of a row in a transaction, and its version.
_ROW_OVERHEAD_BYTES = 100


def encoded_bytes(write: RowWrite) -> int:
    """Return an upper bound on the size of a write in a transaction.

    Contents are encoded as base64, and names as JSON strings.
    """
    content = write.content or b''
    base64_bytes = (len(content) + 2) // 3 * 4
    name = write.name
    names = msgspec.json.encode((name.table, name.part, name.key))
    return base64_bytes + len(names) + _ROW_OVERHEAD_BYTES


def cut_transactions(
    writes: Sequence[RowWrite], limits: StoreLimits, common: RowWrite
) -> Iterator[list[RowWrite]]:
    """Iterate over writes that fit into one transaction each, in order.

    A write that alone is too large is a transaction of its own.

    Parameters
    ----------
    common : RowWrite
        Write that is added to each transaction, with a condition on its row.
    """
    max_bytes = limits.call_bytes - 2 * encoded_bytes(common)
    max_rows = limits.call_rows - 2
    transaction: list[RowWrite] = []
    size = 0
    for write in writes:
        write_bytes = encoded_bytes(write)
        is_full = len(transaction) >= max_rows or size + write_bytes > max_bytes
        if transaction and is_full:
            yield transaction
            transaction = []
            size = 0
        transaction.append(write)
        size += write_bytes
    if transaction:
        yield transaction


def check_rows(writes: Sequence[RowWrite], limits: StoreLimits) -> None:
    """Check that no row is longer than the store accepts.

    Raises
    ------
    InvalidInputError
        If a row is too long; names the first one.
    """
    for write in writes:
        size = len(write.content or b'')
        if size > limits.row_bytes:
            raise InvalidInputError(
                f'row {write.name.table}/{write.name.key}',
                f'{size} bytes',
                f'at most {limits.row_bytes} bytes',
            )
