"""Replicas of tables follow every change."""

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

WAIT = timedelta(milliseconds=20)


def name_of(key):
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

    watch = TableWatch(store, SUBMISSIONS, apply, clock, WAIT)
    task = asyncio.create_task(watch.run())
    yield rows
    task.cancel()


async def settle():
    await asyncio.sleep(0.3)


async def test_follows_rows_of_all_parts(store, replica):
    """Rows are spread over parts; none may be missed."""
    keys = [f'job{number}/spec' for number in range(20)]
    for key in keys[:10]:
        await store.commit([RowWrite(name_of(key), b'x')], [])
    await settle()
    for key in keys[10:]:
        await store.commit([RowWrite(name_of(key), b'x')], [])
    await settle()
    assert sorted(replica) == sorted(keys)


async def test_lost_history_is_read_anew(store, replica):
    """Changes and removals in a gap of the history must not be missed."""
    await store.commit([RowWrite(name_of('gone'), b'x')], [])
    await settle()
    store.fault = StoreFault.down
    await asyncio.sleep(0.05)
    store.fault = StoreFault.none
    await store.commit([RowWrite(name_of('gone'), None)], [])
    await store.commit([RowWrite(name_of('new'), b'y')], [])
    store.forget_history()
    await settle()
    assert replica == {'new': b'y'}


async def test_outage_is_survived(store, replica):
    """A watch goes on after the store comes back."""
    store.fault = StoreFault.down
    await settle()
    store.fault = StoreFault.none
    await store.commit([RowWrite(name_of('a'), b'x')], [])
    await settle()
    assert replica == {'a': b'x'}
