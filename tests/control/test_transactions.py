"""Transactions that keep the limits of the store."""

import base64

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflynotch.control.rows import RowName, RowWrite, StoreLimits
from dragonflynotch.control.transactions import (
    check_rows,
    cut_transactions,
    encoded_bytes,
)
from dragonflynotch.core.errors import InvalidInputError

LIMITS = StoreLimits(row_bytes=500, call_bytes=3000, call_rows=10)
COMMON = RowWrite(RowName('lease', 'part', 'holder'), b'x' * 100)
CONTENTS = st.none() | st.binary(max_size=400)
WRITES = st.lists(
    st.builds(
        lambda key, content: RowWrite(RowName('t', 'part', key), content),
        st.text(max_size=30),
        CONTENTS,
    ),
    max_size=60,
)


def wire_bytes(writes):
    """Return the size of writes as the platform's client encodes them."""
    rows = [
        {
            'table': write.name.table,
            'key': write.name.key,
            'part': write.name.part,
            'value': base64.b64encode(write.content or b'').decode(),
            'ver': 2**53,
        }
        for write in writes
    ]
    return len(msgspec.json.encode(rows))


@given(WRITES)
def test_each_transaction_keeps_the_limits(writes):
    """One round that was too large for a call stopped all scheduling."""
    cut = list(cut_transactions(writes, LIMITS, COMMON))
    assert [write for transaction in cut for write in transaction] == writes
    for transaction in cut:
        assert len(transaction) + 2 <= LIMITS.call_rows
        with_common = [*transaction, COMMON, COMMON]
        assert wire_bytes(with_common) <= LIMITS.call_bytes


@given(WRITES)
def test_size_of_a_write_is_not_underestimated(writes):
    """Control characters take six bytes as JSON; base64 adds a third."""
    for write in writes:
        assert wire_bytes([write]) <= encoded_bytes(write)


def test_too_long_row_is_named():
    """A refusal of the store did not say which row it was."""
    check_rows([COMMON], LIMITS)
    long = RowWrite(RowName('t', 'part', 'long'), b'x' * 501)
    with pytest.raises(InvalidInputError, match='row t/long'):
        check_rows([COMMON, long], LIMITS)
