"""The lease row under competition, outages and lost answers."""

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
    OwnershipKeeper,
    OwnershipListener,
)
from dragonflynotch.services.table import ABSENT_VERSION, ConditionalWrite
from dragonflynotch.testing.table import MemoryTable, TableFault

JOB = ConditionalWrite('job/dc/1', b'{}', ABSENT_VERSION)


class Listener(OwnershipListener):
    def __init__(self):
        self.heard = []

    def ownership_gained(self, fence):
        self.heard.append(fence)

    def ownership_lost(self):
        self.heard.append('lost')


class Site:
    """Two entries on one table, driven step by step on one clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.listeners = [Listener(), Listener()]
        self.keepers = [
            OwnershipKeeper(
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
async def site():
    site = Site()
    await site.register()
    await site.keepers[0]._compete()
    assert site.listeners[0].heard == [1]
    # Past the time in which a new process neither takes over nor grants.
    await site.keepers[1]._compete()
    site.advance(10)
    await site.keepers[0]._renew()
    await site.keepers[1]._compete()
    return site


async def test_lease_is_taken_after_it_expired(site):
    """Guards against two owners, and against none."""
    first, second = site.keepers
    await second._compete()
    site.advance(5.9)
    await second._compete()
    assert not second.fence
    site.advance(0.2)
    await second._compete()
    assert second.fence == 2
    with pytest.raises(NotOwnerError):
        await first.commit([JOB])
    assert site.listeners[0].heard == [1, 'lost']
    assert await site.table.read(JOB.key) is None


async def test_renewal_keeps_the_lease(site):
    """Guards against a takeover from a live owner."""
    first, second = site.keepers
    for _ in range(8):
        site.advance(2)
        await first._renew()
        await second._compete()
    assert (first.fence, second.fence) == (1, 0)
    assert first.acknowledged_fence() == 1


async def test_unregistered_entry_does_not_take_over(site):
    """Guards against a takeover that no grant could have prevented."""
    row = await site.table.read('entry/dc/entry-1')
    await site.table.commit(
        [ConditionalWrite(row.key, None, row.version)], 'test'
    )
    await site.keepers[1]._compete()
    site.advance(7)
    await site.keepers[1]._compete()
    assert not site.keepers[1].fence


async def test_outage_without_a_grant(site):
    """Guards against renewals in an outage right after the takeover."""
    first = site.keepers[0]
    site.table.fault = TableFault.down
    await first._renew()
    site.advance(4)
    assert first.acknowledged_fence() == 1
    site.advance(2)
    assert first.acknowledged_fence() == 0


async def test_grant_of_the_other_entry(site):
    """Guards against a takeover by an entry that gave its grant."""
    first, second = site.keepers
    await first._renew()
    await second._compete()
    site.table.fault = TableFault.down
    await first._renew()
    site.advance(3)
    first.acknowledged_fence()
    site.advance(3)
    assert second.grant('entry-0', 1) == timedelta(seconds=9)
    first.receive_grant('entry-1', site.clock.now())
    assert first.acknowledged_fence() == 1
    site.table.fault = TableFault.none
    for _ in range(2):
        await second._compete()
        site.advance(6.5)
    assert not second.fence
    await second._compete()
    assert second.fence == 2
    assert first.acknowledged_fence() == 0


async def test_lost_answers_are_settled_by_reading_back(site):
    """Guards against an owner that forgets a write that took effect."""
    first = site.keepers[0]
    site.table.fault = TableFault.lose_answers
    await first.commit([JOB])
    site.table.fault = TableFault.none
    await first._renew()
    assert first.fence == 1
    assert await site.table.read(JOB.key) is not None


async def test_lost_answer_of_a_takeover(site):
    """Guards against a row whose owner does not know of it."""
    second = site.keepers[1]
    await second._compete()
    site.advance(7)
    site.table.fault = TableFault.lose_answers
    await second._compete()
    assert second.fence == 2


async def test_write_that_takes_effect_late(site, monkeypatch):
    """Guards against a lost ownership after an own write landed late."""
    first = site.keepers[0]
    commit = site.table.commit
    late = []

    async def lose(writes, token):
        late.append((writes, token))
        raise UncertainWriteError('lost')

    monkeypatch.setattr(site.table, 'commit', lose)
    with pytest.raises(UncertainWriteError):
        await first.commit([JOB])
    monkeypatch.setattr(site.table, 'commit', commit)
    await commit(*late[0])
    await first.commit([])
    assert first.fence == 1
    assert site.listeners[0].heard == [1]


async def test_planned_stop_clears_the_row(site):
    """Guards against a gap of a whole lease after a planned stop."""
    first, second = site.keepers
    await second._compete()
    await first.step_down()
    assert not first.acknowledged_fence()
    await second._compete()
    assert second.fence == 2
    await asyncio.sleep(0)
    await first._compete()
    assert not first.fence
