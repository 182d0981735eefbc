"""Tests of the configuration in force in a process."""

import asyncio

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.configuration import ConfigurationWatch
from dragonflynotch.control.rows import RowName, RowWrite, Table
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.deployment import Deployment

TABLE = Table('op', ('',))
NAME = RowName('op', '', 'config')


async def _versions_in_force(*contents):
    """Return the version in force after each write of the row."""
    clock = BootClock()
    store = MemoryRowStore(clock)
    watch = ConfigurationWatch(
        store,
        TABLE,
        'config',
        lambda content: Deployment(int(content)) if content else None,
        clock,
    )
    watch_task = asyncio.create_task(watch.run())
    versions = []
    for content in contents:
        await store.commit([RowWrite(NAME, content)], [])
        await asyncio.sleep(0.3)
        versions.append(watch.deployment and watch.deployment.version)
    watch_task.cancel()
    return versions


async def test_older_version_is_not_put_in_force():
    """A stale read after a newer version must not remove a queue."""
    assert await _versions_in_force(b'7', b'5', b'9') == [7, 7, 9]


async def test_unreadable_content_leaves_the_last_version_in_force():
    """Unreadable bytes must not leave a process without queues."""
    assert await _versions_in_force(b'7', b'') == [7, 7]
