"""The stand-in for the row store."""

import asyncio
from datetime import timedelta

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.testing.row_store import MemoryRowStore

NAME = RowName('table', 'part', 'key')


async def test_feed_reports_a_change_at_the_end_of_its_wait():
    """A change at the end of a wait must appear in this or the next answer.

    The feed used to skip such a change, so that the scheduler never saw an
    accepted job (soak test, seed 6).
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
