"""Tests of table replicas."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.rows import (
    SUBMISSIONS,
    RowName,
    RowWrite,
    shard_of,
)
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.testing.row_store import StoreFault

FEED_TIMEOUT = timedelta(milliseconds=20)


def row_name(key):
    return RowName(SUBMISSIONS.name, shard_of(key), key)


@pytest.fixture
async def replica(store, clock):
    rows = {}

    def apply(changes):
        for change in changes:
            if change.content is None:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.content

    watch = TableWatch(store, SUBMISSIONS, apply, clock, FEED_TIMEOUT)
    task = asyncio.create_task(watch.run())
    yield rows
    task.cancel()


async def wait_for_replica():
    await asyncio.sleep(0.3)


async def test_replica_follows_rows_of_all_parts(store, replica):
    """Rows are spread over parts, and none may be missed."""
    keys = [f'job{number}/spec' for number in range(20)]
    for key in keys[:10]:
        await store.commit([RowWrite(row_name(key), b'x')], [])
    await wait_for_replica()
    for key in keys[10:]:
        await store.commit([RowWrite(row_name(key), b'x')], [])
    await wait_for_replica()
    assert sorted(replica) == sorted(keys)


async def test_table_is_read_again_after_lost_history(store, replica):
    """Writes and deletions in a gap of the history must not be missed."""
    await store.commit([RowWrite(row_name('gone'), b'x')], [])
    await wait_for_replica()
    store.fault = StoreFault.down
    await asyncio.sleep(0.05)
    store.fault = StoreFault.none
    await store.commit([RowWrite(row_name('gone'), None)], [])
    await store.commit([RowWrite(row_name('new'), b'y')], [])
    store.truncate_history()
    await wait_for_replica()
    assert replica == {'new': b'y'}


async def test_watch_continues_after_an_outage(store, replica):
    """The replica follows new changes when the store responds again."""
    store.fault = StoreFault.down
    await wait_for_replica()
    store.fault = StoreFault.none
    await store.commit([RowWrite(row_name('a'), b'x')], [])
    await wait_for_replica()
    assert replica == {'a': b'x'}


async def test_first_call_after_an_outage_does_not_wait(
    store, replica, monkeypatch
):
    """A replica without changes must not stay old after the store returned.

    An entry is ready only while its configuration is known to be current. If
    the first call after an outage waits for changes, callers find no entry for
    that long although the store responds.
    """
    waits = []
    changes = store.changes

    async def record_wait(table, after, wait):
        found = await changes(table, after, wait)
        waits.append(wait)
        return found

    monkeypatch.setattr(store, 'changes', record_wait)
    await wait_for_replica()
    assert set(waits) == {FEED_TIMEOUT}
    store.fault = StoreFault.down
    await wait_for_replica()
    waits.clear()
    store.fault = StoreFault.none
    await wait_for_replica()
    assert waits[0] == timedelta()
    assert set(waits[1:]) == {FEED_TIMEOUT}


async def test_confirmed_age_starts_when_the_call_was_sent(
    store, clock, monkeypatch
):
    """A response that took long may lack the rows written meanwhile."""
    watch = TableWatch(store, SUBMISSIONS, lambda _: None, clock, FEED_TIMEOUT)
    assert watch.confirmed_age_ms is None
    read, changes = store.read, store.changes

    async def read_slowly(*args):
        snapshot = await read(*args)
        clock.advance(100)
        return snapshot

    async def follow_slowly(*args):
        feed_changes = await changes(*args)
        clock.advance(700)
        return feed_changes

    monkeypatch.setattr(store, 'read', read_slowly)
    await watch.load()
    parts = len(SUBMISSIONS.parts)
    assert watch.confirmed_age_ms == 100 * parts
    monkeypatch.setattr(store, 'changes', follow_slowly)
    await store.commit([RowWrite(row_name('a/spec'), b'x')], [])
    task = asyncio.create_task(watch.run())
    async with asyncio.timeout(2):
        while watch.confirmed_age_ms == 100 * parts:
            await asyncio.sleep(0.001)
    assert watch.confirmed_age_ms >= 700
    task.cancel()
