"""Ledger rows are written on condition and deleted after a day."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.core.handover import ledger_key, next_claim
from dragonflynotch.entry.requests.ledger import Ledger, LostRace, VersionedRow
from dragonflynotch.services.table import ConditionalWrite
from dragonflynotch.testing.object_store import (
    MemoryObjectStore,
    ObjectStoreFaults,
)
from dragonflynotch.testing.table import MemoryTable

NOW = ManualClock().now()
KEY = ledger_key('resort', 'key')
ROW = next_claim('digest', 1, ('guard-1', 5), NOW)


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def objects():
    return MemoryObjectStore()


@pytest.fixture
def ledger(table, objects):
    return Ledger(table, objects)


async def test_second_claim_loses(ledger):
    """Guards against two entries that both hand the first attempt over."""
    absent = await ledger.read(KEY)
    assert isinstance(await ledger.write(absent, ROW), VersionedRow)
    assert await ledger.write(absent, ROW) == LostRace()


async def test_rows_are_deleted_after_24_h(ledger):
    """Guards against a ledger that grows without bound."""
    await ledger.write(await ledger.read(KEY), ROW)
    assert await ledger.delete_expired(NOW + timedelta(hours=23)) == 0
    assert await ledger.delete_expired(NOW + timedelta(hours=25)) == 1
    assert (await ledger.read(KEY)).row is None


async def test_answer_replaces_an_unknown_of_the_same_attempt(ledger):
    """Guards against losing an answer that arrived after all."""
    claimed = await ledger.write(await ledger.read(KEY), ROW)
    await ledger.mark_unknown(claimed)
    await ledger.record_done(claimed, b'answer', 'minion-1')
    assert (await ledger.read(KEY)).row.result.body == b'answer'


async def test_unreadable_row_counts_as_an_outage(table, ledger):
    """Guards against a new claim over a row of a later version."""
    await table.commit((ConditionalWrite(KEY, b'{}', 0),), 'token')
    with pytest.raises(PlatformUnavailableError):
        await ledger.read(KEY)


async def test_large_answer_is_written_when_the_object_store_returns(
    ledger, objects
):
    """Guards against a large answer that is never recorded."""
    claimed = await ledger.write(await ledger.read(KEY), ROW)
    objects.faults = ObjectStoreFaults(is_down=True)
    await ledger.record_done(claimed, b'x' * 20_000, 'minion-1')
    assert ledger.pending_writes == 1
    objects.faults = ObjectStoreFaults()
    await ledger.close(timedelta(seconds=2))
    stored = (await ledger.read(KEY)).row.result
    assert await ledger.load_result(stored) == b'x' * 20_000
