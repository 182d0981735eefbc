"""Tests of tables that are read in several attempts."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.rows import (
    SUBMISSIONS,
    Page,
    RowName,
    RowWrite,
    shard_of,
)
from dragonflynotch.control.table_reader import TableReader
from dragonflynotch.control.watch import TableWatch
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.testing.row_store import MemoryRowStore

KEYS = [f'job{number}/spec' for number in range(40)]


class PagedStore(MemoryRowStore):
    """Store with pages of two rows; fails once after some of them."""

    def __init__(self, clock):
        super().__init__(clock)
        self.pages = 0
        self.failing_page = None

    async def read_page(self, table, part, first='', last=''):
        self.pages += 1
        if self.pages == self.failing_page:
            raise PlatformUnavailableError('cut', step='read', peer='store')
        snapshot = await self.read(table, part, first, last)
        rows = snapshot.rows[:2]
        is_last = len(snapshot.rows) <= 2
        return Page(
            rows, snapshot.version, None if is_last else rows[-1].key + '\0'
        )


def row_name(key):
    return RowName(SUBMISSIONS.name, shard_of(key), key)


@pytest.fixture
async def store(clock):
    store = PagedStore(clock)
    for key in KEYS:
        await store.commit([RowWrite(row_name(key), b'x')], [])
    return store


async def test_all_parts_are_read(store, clock):
    """No page of any part may be missing or read twice."""
    snapshot = await TableReader(store, (SUBMISSIONS,), clock).read()
    assert sorted(row.key for row in snapshot.rows) == sorted(KEYS)


async def test_failure_discards_no_page(store, clock):
    """A load that begins anew after each failure may never complete."""
    reader = TableReader(store, (SUBMISSIONS,), clock)
    await TableReader(store, (SUBMISSIONS,), clock).read()
    needed = store.pages
    store.pages = 0
    store.failing_page = 10
    with pytest.raises(PlatformUnavailableError):
        await reader.read()
    snapshot = await reader.read()
    assert store.pages == needed + 1
    assert sorted(row.key for row in snapshot.rows) == sorted(KEYS)


async def test_watch_misses_no_change_between_attempts(store, clock):
    """Changes of rows in pages that were kept must come with the feed."""
    replica = {}

    def apply(changes):
        for change in changes:
            if change.content is None:
                replica.pop(change.key, None)
            else:
                replica[change.key] = change.content

    watch = TableWatch(
        store, SUBMISSIONS, apply, clock, timedelta(milliseconds=20)
    )
    store.failing_page = 20
    with pytest.raises(PlatformUnavailableError):
        await watch.load()
    clock.advance(700)
    for key in KEYS[::3]:
        await store.commit([RowWrite(row_name(key), None)], [])
    for key in (*KEYS[1::3], 'new/spec'):
        await store.commit([RowWrite(row_name(key), b'y')], [])
    await watch.load()
    assert watch.age_ms == 700
    following = asyncio.create_task(watch.run())
    await asyncio.sleep(0.1)
    following.cancel()
    expected = dict.fromkeys(KEYS[2::3], b'x')
    expected.update(dict.fromkeys((*KEYS[1::3], 'new/spec'), b'y'))
    assert replica == expected


async def test_watch_discards_pages_that_the_feed_has_overtaken(store, clock):
    """Pages of a reading that was given up must not undo later changes."""
    replica = {}

    def apply(changes):
        replica.update({change.key: change.content for change in changes})

    watch = TableWatch(
        store, SUBMISSIONS, apply, clock, timedelta(milliseconds=20)
    )
    await watch.load()
    pages_per_reading = store.pages
    store.failing_page = 2 * pages_per_reading
    with pytest.raises(PlatformUnavailableError):
        await watch.load()
    for key in KEYS:
        await store.commit([RowWrite(row_name(key), b'z')], [])
    following = asyncio.create_task(watch.run())
    await asyncio.sleep(0.1)
    following.cancel()
    assert replica == dict.fromkeys(KEYS, b'z')
    store.pages = 0
    store.failing_page = None
    await watch.load()
    assert store.pages == pages_per_reading
    assert replica == dict.fromkeys(KEYS, b'z')
