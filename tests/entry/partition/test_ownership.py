"""Lease row with two competing entries, table outages and lost answers."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.core.ownership import OwnershipPolicy
from dragonflynotch.entry.partition.lease_row import (
    LeaseRowStore,
    NotOwnerError,
)
from dragonflynotch.entry.partition.ownership import (
    OwnershipListener,
    OwnershipManager,
)
from dragonflynotch.services.table import ABSENT_VERSION, ConditionalWrite
from dragonflynotch.testing.table import MemoryTable, TableFault

JOB_WRITE = ConditionalWrite('job/dc/1', b'{}', ABSENT_VERSION)


class RecordingListener(OwnershipListener):
    def __init__(self):
        self.changes = []

    def ownership_gained(self, fence):
        self.changes.append(fence)

    def ownership_lost(self):
        self.changes.append('lost')


class TwoEntries:
    """Two entries with one table and one manual clock, run step by step."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.listeners = [RecordingListener(), RecordingListener()]
        self.managers = [
            OwnershipManager(
                f'entry-{number}',
                LeaseRowStore(self.table, 'dc', f'entry-{number}.1'),
                self.clock,
                OwnershipPolicy(),
                listener,
            )
            for number, listener in enumerate(self.listeners)
        ]

    async def register(self):
        for number in range(2):
            key = f'entry/dc/entry-{number}'
            await self.table.commit(
                [ConditionalWrite(key, b'{}', ABSENT_VERSION)], 'test'
            )

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))


@pytest.fixture
async def entries():
    entries = TwoEntries()
    await entries.register()
    await entries.managers[0]._compete()
    assert entries.listeners[0].changes == [1]
    # A new process may neither take over nor grant for some time; wait it out.
    await entries.managers[1]._compete()
    entries.advance(10)
    await entries.managers[0]._renew()
    await entries.managers[1]._compete()
    return entries


async def test_lease_is_taken_after_it_expired(entries):
    """Guards against two owners at once and against a partition without one."""
    first, second = entries.managers
    await second._compete()
    entries.advance(5.9)
    await second._compete()
    assert not second.fence
    entries.advance(0.2)
    await second._compete()
    assert second.fence == 2
    with pytest.raises(NotOwnerError):
        await first.commit([JOB_WRITE])
    assert entries.listeners[0].changes == [1, 'lost']
    assert await entries.table.read(JOB_WRITE.key) is None


async def test_renewal_keeps_the_lease(entries):
    """Guards against a takeover from a live owner."""
    first, second = entries.managers
    for _ in range(8):
        entries.advance(2)
        await first._renew()
        await second._compete()
    assert (first.fence, second.fence) == (1, 0)
    assert first.acknowledged_fence() == 1


async def test_unregistered_entry_does_not_take_over(entries):
    """Guards against a takeover by an entry that no owner asks for a grant."""
    row = await entries.table.read('entry/dc/entry-1')
    await entries.table.commit(
        [ConditionalWrite(row.key, None, row.version)], 'test'
    )
    await entries.managers[1]._compete()
    entries.advance(7)
    await entries.managers[1]._compete()
    assert not entries.managers[1].fence


async def test_task_leases_end_in_an_outage_without_a_grant(entries):
    """Guards against renewing task leases in an outage without a grant."""
    first = entries.managers[0]
    entries.table.fault = TableFault.down
    await first._renew()
    entries.advance(4)
    assert first.acknowledged_fence() == 1
    entries.advance(2)
    assert first.acknowledged_fence() == 0


async def test_grantor_does_not_take_over_before_its_grant_ends(entries):
    """Guards against a takeover by an entry while its grant is in force."""
    first, second = entries.managers
    await first._renew()
    await second._compete()
    entries.table.fault = TableFault.down
    await first._renew()
    entries.advance(3)
    first.acknowledged_fence()
    entries.advance(3)
    assert second.grant('entry-0', 1) == timedelta(seconds=9)
    first.receive_grant('entry-1', entries.clock.now())
    assert first.acknowledged_fence() == 1
    entries.table.fault = TableFault.none
    for _ in range(2):
        await second._compete()
        entries.advance(6.5)
    assert not second.fence
    await second._compete()
    assert second.fence == 2
    assert first.acknowledged_fence() == 0


async def test_lost_answers_are_settled_by_reading_back(entries):
    """Guards against an owner that misses a write that took effect."""
    first = entries.managers[0]
    entries.table.fault = TableFault.lose_answers
    await first.commit([JOB_WRITE])
    entries.table.fault = TableFault.none
    await first._renew()
    assert first.fence == 1
    assert await entries.table.read(JOB_WRITE.key) is not None


async def test_takeover_with_a_lost_answer_is_noticed(entries):
    """Guards against a lease row that names an owner which does not know it."""
    second = entries.managers[1]
    await second._compete()
    entries.advance(7)
    entries.table.fault = TableFault.lose_answers
    await second._compete()
    assert second.fence == 2


async def test_write_that_takes_effect_late(entries, monkeypatch):
    """Guards against mistaking an own late write for that of another owner."""
    first = entries.managers[0]
    commit = entries.table.commit
    late = []

    async def lose(writes, token):
        late.append((writes, token))
        raise UncertainWriteError('lost')

    monkeypatch.setattr(entries.table, 'commit', lose)
    with pytest.raises(UncertainWriteError):
        await first.commit([JOB_WRITE])
    monkeypatch.setattr(entries.table, 'commit', commit)
    await commit(*late[0])
    await first.commit([])
    assert first.fence == 1
    assert entries.listeners[0].changes == [1]


async def test_planned_stop_clears_the_row(entries):
    """Guards against a planned stop that leaves no owner for a whole lease."""
    first, second = entries.managers
    await second._compete()
    await first.step_down()
    assert not first.acknowledged_fence()
    await second._compete()
    assert second.fence == 2
    await asyncio.sleep(0)
    await first._compete()
    assert not first.fence
