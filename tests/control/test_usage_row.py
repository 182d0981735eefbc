"""Tests of the stored usage of workspaces."""

import json

import pytest

from dragonflynotch.control.rows import RowWrite
from dragonflynotch.control.usage_row import (
    USAGE_NAME,
    UsageRowWriter,
    restore_usage,
)
from dragonflynotch.testing.row_store import StoreFault
from dragonflynotch.workflows.ordering.shares import RecentUsage
from dragonflynotch.workflows.resources import Resources

TOTAL = Resources(1000, 1000, 100)
NOW_MS = 100_000
VALID = {'version': 1, 'stored_ms': NOW_MS, 'shares': {'a': 0.5}}


@pytest.fixture
def usage():
    return RecentUsage()


async def put(store, content):
    await store.commit([RowWrite(USAGE_NAME, content)], [])


async def test_usage_survives_a_change_of_leader(store, usage):
    """A flood must not count anew with each change of leader."""
    usage.update([], TOTAL, NOW_MS - 15_000)
    usage.update([('a', Resources(0, 0, 80))], TOTAL, NOW_MS)
    [write] = UsageRowWriter().take_write(usage, NOW_MS)
    await store.commit([write], [])
    restored = RecentUsage()
    await restore_usage(store, restored, NOW_MS)
    assert restored.recent == usage.recent
    # The time without a leader counts too.
    restored.update([], TOTAL, NOW_MS + 15_000)
    assert restored.recent['a'] == pytest.approx(0.2)


def test_usage_is_written_at_most_once_per_interval(usage):
    """The row must not add a write to each transaction."""
    writer = UsageRowWriter()
    usage.update([('a', Resources(0, 0, 80))], TOTAL, 0)
    for now_ms in range(0, 10_000, 100):
        usage.update([('a', Resources(0, 0, 80))], TOTAL, now_ms)
        writer.take_write(usage, now_ms)
    assert not writer.take_write(usage, 10_001)
    usage.update([('a', Resources(0, 0, 80))], TOTAL, 13_000)
    assert writer.take_write(usage, 13_000)
    assert not writer.take_write(usage, 16_000)


@pytest.mark.parametrize(
    'content',
    [
        b'\xff',
        b'[1]',
        b'{}',
        json.dumps({**VALID, 'version': 2}).encode(),
        json.dumps({**VALID, 'stored_ms': NOW_MS + 60_000}).encode(),
        json.dumps({**VALID, 'shares': {'a': -1}}).encode(),
        json.dumps({**VALID, 'shares': {'a': 'x'}}).encode(),
        json.dumps(VALID).encode()[:-5],
    ],
)
async def test_unreadable_usage_counts_for_nothing(store, usage, content):
    """A damaged row or one of a later release must not stop a leader."""
    await put(store, content)
    await restore_usage(store, usage, NOW_MS)
    assert not usage.recent


async def test_usage_that_cannot_be_read_delays_no_takeover(store, usage):
    """The usage is not worth a later start of all jobs."""
    await put(store, json.dumps(VALID).encode())
    store.fault = StoreFault.down
    await restore_usage(store, usage, NOW_MS)
    assert not usage.recent


async def test_absent_usage_is_that_of_a_new_deployment(store, usage):
    """The first leader finds no row."""
    await restore_usage(store, usage, NOW_MS)
    assert not usage.recent
