"""Tests of reads from a store behind a slow link."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.rows import SCHEDULER_PART, Table
from dragonflynotch.control.table_reader import TableReader
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.platform import row_store
from dragonflynotch.platform.row_store import HttpRowStore
from tests.platform.programs import free_address
from tests.platform.slow_store import SlowStore

IDLE_S = 0.2
ROWS = 1500

ORDERS = Table('orders', (SCHEDULER_PART,))


@pytest.fixture
async def slow_store(monkeypatch):
    # Shorter limits, so that the tests take less time.
    monkeypatch.setattr(row_store, '_CALL_TIMEOUT', timedelta(seconds=IDLE_S))
    monkeypatch.setattr(row_store, '_MAX_TRANSFER', timedelta(seconds=3))
    store = SlowStore(free_address(), 100_000)
    store.rows = {f'm/{number:04}': b'x' * 60 for number in range(ROWS)}
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
def client(slow_store):
    client = HttpRowStore(slow_store.address, BootClock())
    yield client
    client._pool.close()


def reader_of(client):
    return TableReader(client, (ORDERS,), BootClock())


async def test_page_that_arrives_slowly_is_read(slow_store, client):
    """A page must not fail because it takes longer than a call may be silent.

    Each page had a fixed limit, so a front with a slow link never loaded.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    page = await client.read_page('orders', '')
    assert loop.time() - started_s > 2 * IDLE_S
    assert len(page.rows) == 500


async def test_silent_store_is_noticed_soon(slow_store, client):
    """A response that stops to arrive must fail without the whole limit."""
    slow_store.stall_after = 5000
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    with pytest.raises(PlatformUnavailableError, match='no byte'):
        await client.read_page('orders', '')
    assert loop.time() - started_s < 1


async def test_slow_response_is_limited_in_total(
    slow_store, client, monkeypatch
):
    """A response that arrives byte by byte must not exceed the total limit."""
    monkeypatch.setattr(row_store, '_MAX_TRANSFER', timedelta(seconds=0.3))
    slow_store.bytes_per_s = 2000
    with pytest.raises(PlatformUnavailableError, match='no complete'):
        await client.read_page('orders', '')


async def test_pages_are_smaller_on_a_slow_link(slow_store, client):
    """Large pages would delay the other calls of the process."""
    snapshot = await client.read('orders', '')
    assert [row.key for row in snapshot.rows] == sorted(slow_store.rows)
    limits = [query.get('limit') for query in slow_store.queries]
    assert limits[0] is None
    assert all(16 <= int(limit) < 450 for limit in limits[1:])


async def test_fast_link_has_no_limit(slow_store, client):
    """Earlier deployments are served by as many calls as before."""
    slow_store.bytes_per_s = 1_000_000_000
    await client.read('orders', '')
    assert [query.get('limit') for query in slow_store.queries] == [None] * 3


async def test_retry_continues_after_the_pages_read(slow_store, client):
    """A failed page must not discard the pages before it.

    The version stays that of the first page, so that the feed delivers the
    changes between the attempts.
    """
    reader = reader_of(client)
    slow_store.stall_after = 1000
    slow_store.calls_before_stall = 3
    with pytest.raises(PlatformUnavailableError):
        await reader.read()
    slow_store.stall_after = None
    slow_store.version = 9
    calls = len(slow_store.queries)
    snapshot = await reader.read()
    assert [row.key for row in snapshot.rows] == sorted(slow_store.rows)
    assert snapshot.version == 1
    repeated = slow_store.queries[calls]
    assert repeated['from'] == slow_store.queries[calls - 1]['from']


async def test_page_after_a_failure_is_smaller(slow_store, client):
    """A page that did not arrive would fail again in the same size."""
    slow_store.stall_after = 1000
    for _ in range(2):
        with pytest.raises(PlatformUnavailableError):
            await client.read_page('orders', '')
    limits = [query.get('limit') for query in slow_store.queries]
    assert limits == [None, '250']


async def test_replica_is_loaded_in_spite_of_failed_pages(slow_store, client):
    """Guards and fronts must load their tables after a restart of everything.

    Each failure discarded what was read, so a table of several pages never
    arrived over a link that failed now and then.
    """
    replica = {}

    def apply(changes):
        replica.update({change.key: change.content for change in changes})

    watch = TableWatch(
        client, ORDERS, apply, BootClock(), timedelta(milliseconds=100)
    )
    slow_store.stall_after = 1000
    slow_store.stall_every = 2
    following = asyncio.create_task(watch.run())
    async with asyncio.timeout(20):
        while not watch.is_loaded:
            await asyncio.sleep(0.01)
    following.cancel()
    assert sorted(replica) == sorted(slow_store.rows)
