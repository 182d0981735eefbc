"""The stand-in of the row store."""

import asyncio
from datetime import timedelta

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.testing.row_store import MemoryRowStore

NAME = RowName('table', 'part', 'key')


async def test_feed_misses_no_change_at_the_end_of_its_wait():
    """A change during the last poll was neither returned nor repeated.

    The soak found it with seed 6: an accepted job was never seen by the
    scheduler.
    """
    store = MemoryRowStore(BootClock())
    for wait_ms in range(12):
        wait = timedelta(milliseconds=wait_ms)
        feed = asyncio.create_task(store.changes('table', 0, wait))
        await asyncio.sleep(wait_ms / 1000)
        await store.commit([RowWrite(NAME, b'')], [])
        answer = await feed
        if not answer.rows:
            answer = await store.changes('table', answer.version, wait)
        assert answer.rows
        store = MemoryRowStore(BootClock())
