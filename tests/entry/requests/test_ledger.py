"""Conditional writes, recorded answers and clean-up of ledger rows."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.core.handover import claimed_row, ledger_key
from dragonflynotch.entry.requests.ledger import (
    Ledger,
    RowChanged,
    VersionedRow,
)
from dragonflynotch.services.table import ConditionalWrite
from dragonflynotch.testing.object_store import (
    MemoryObjectStore,
    ObjectStoreFaults,
)
from dragonflynotch.testing.table import MemoryTable

NOW = ManualClock().now()
KEY = ledger_key('resort', 'key')
CLAIM = claimed_row('digest', 1, ('guard-1', 5), NOW)


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def objects():
    return MemoryObjectStore()


@pytest.fixture
def ledger(table, objects):
    return Ledger(table, objects)


async def test_second_claim_of_a_row_is_refused(ledger):
    """Guards against two entries that both run the first attempt."""
    absent = await ledger.read(KEY)
    assert isinstance(await ledger.write(absent, CLAIM), VersionedRow)
    assert await ledger.write(absent, CLAIM) == RowChanged()


async def test_rows_are_deleted_after_24_h(ledger):
    """Guards against a ledger that grows without bound."""
    await ledger.write(await ledger.read(KEY), CLAIM)
    assert await ledger.delete_expired(NOW + timedelta(hours=23)) == 0
    assert await ledger.delete_expired(NOW + timedelta(hours=25)) == 1
    assert (await ledger.read(KEY)).row is None


async def test_answer_replaces_an_unknown_of_the_same_attempt(ledger):
    """Guards against the loss of an answer that another call gave up on."""
    claimed = await ledger.write(await ledger.read(KEY), CLAIM)
    await ledger.mark_unknown(claimed)
    await ledger.record_answer(claimed, b'answer', 'minion-1')
    assert (await ledger.read(KEY)).row.result.body == b'answer'


async def test_unreadable_row_counts_as_an_outage(table, ledger):
    """Guards against a new claim over a row that cannot be decoded.

    A later release may have written it in a newer schema version.
    """
    await table.commit((ConditionalWrite(KEY, b'{}', 0),), 'token')
    with pytest.raises(PlatformUnavailableError):
        await ledger.read(KEY)


async def test_large_answer_is_written_when_the_object_store_returns(
    ledger, objects
):
    """Guards against a large answer lost in an object store outage."""
    claimed = await ledger.write(await ledger.read(KEY), CLAIM)
    objects.faults = ObjectStoreFaults(is_down=True)
    await ledger.record_answer(claimed, b'x' * 20_000, 'minion-1')
    assert ledger.pending_writes == 1
    objects.faults = ObjectStoreFaults()
    await ledger.close(timedelta(seconds=2))
    stored = (await ledger.read(KEY)).row.result
    assert await ledger.load_result(stored) == b'x' * 20_000
