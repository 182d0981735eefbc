"""Tests of candidates that are too slow to hold the lease."""

import asyncio
import time
from collections import Counter

import pytest

from dragonflynotch.control import leader_pace
from dragonflynotch.control.rows import (
    ORDER_TABLES,
    REPORTS,
    RowName,
    shard_of,
)
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.evacuations import OPERATOR_TABLE
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import JobState
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings
from tests.control.cluster import Cluster, tasks


class StoreWithoutTable(MemoryRowStore):
    """Store as seen over a link on which one table never arrives."""

    def __init__(self, store, table):
        super().__init__(store._clock)
        self.__dict__.update(store.__dict__)
        self._store = store
        self._table = table

    async def read(self, table, part, first='', last=''):
        if table == self._table:
            await asyncio.sleep(0.2)
            raise PlatformUnavailableError('no byte', step='read', peer='store')
        return await self._store.read(table, part, first, last)

    async def commit(self, writes, conditions):
        return await self._store.commit(writes, conditions)

    async def changes(self, table, after, wait):
        return await self._store.changes(table, after, wait)


@pytest.fixture
def events(monkeypatch):
    events = []
    monkeypatch.setattr(
        decision_log,
        'record',
        lambda event, **fields: events.append((event, fields)),
    )
    return events


@pytest.fixture
async def cluster():
    cluster = Cluster()
    yield cluster
    await cluster.stop()


def count(events, name):
    return Counter(event for event, _ in events)[name]


async def test_leader_whose_load_never_completes_is_replaced(cluster, events):
    """A holder that never finishes loading must not keep the lease.

    It renewed the lease and repeated the load until the end of the day, and no
    order was issued.
    """
    cluster.start_candidate(
        'a', store=StoreWithoutTable(cluster.store, ORDER_TABLES[0].name)
    )
    async with asyncio.timeout(3):
        while not count(events, 'takeover_read_failed'):
            await asyncio.sleep(0.02)
    cluster.start_candidate('b')
    cluster.add_minion('n0', 'm0')
    await cluster.submit('j', tasks(1))
    await cluster.wait_for_state('j', JobState.completed, limit_s=9)
    assert count(events, 'lease_handed_over') == 1
    assert count(events, 'scheduling_started') == 1


async def test_load_is_not_given_up_while_the_store_is_down(cluster, events):
    """An outage of the store is no reason to change the leader."""
    cluster.start_candidate(
        'a', store=StoreWithoutTable(cluster.store, ORDER_TABLES[0].name)
    )
    async with asyncio.timeout(3):
        while not count(events, 'takeover_read_failed'):
            await asyncio.sleep(0.02)
    commit = cluster.store.commit
    is_down = True

    async def fail_commit(writes, conditions):
        if is_down:
            raise PlatformUnavailableError('down', step='commit', peer='store')
        return await commit(writes, conditions)

    cluster.store.commit = fail_commit
    await asyncio.sleep(6)
    is_down = False
    await asyncio.sleep(1.5)
    assert not count(events, 'lease_handed_over')


async def test_lease_is_renewed_while_the_load_lasts(cluster, events):
    """A load that takes longer than the takeover timeout keeps the lease.

    Another candidate took over meanwhile, and its load began anew.
    """

    class SlowStore(StoreWithoutTable):
        async def read(self, table, part, first='', last=''):
            if table == self._table:
                await asyncio.sleep(3)
            return await self._store.read(table, part, first, last)

    cluster.start_candidate(
        'a', store=SlowStore(cluster.store, ORDER_TABLES[0].name)
    )
    await asyncio.sleep(0.3)
    cluster.start_candidate('b')
    async with asyncio.timeout(5):
        while not count(events, 'scheduling_started'):
            await asyncio.sleep(0.02)
    assert count(events, 'lease_claimed') == 1
    assert not count(events, 'lease_lost')


async def test_first_election_has_one_winner(cluster, events):
    """Several candidates of a fresh deployment must not replace each other."""
    for name in ('a', 'b', 'c'):
        cluster.start_candidate(name)
    async with asyncio.timeout(3):
        while not count(events, 'scheduling_started'):
            await asyncio.sleep(0.02)
    await asyncio.sleep(1)
    assert count(events, 'lease_claimed') == 1


async def test_leader_with_slow_decisions_is_replaced(
    cluster, events, monkeypatch
):
    """A holder whose rounds cannot keep up must not keep the lease."""
    monkeypatch.setattr(leader_pace, '_LATE_LIMIT_MS', 1000)
    monkeypatch.setattr(leader_pace, '_SLOW_DECISION_MS', 100)
    slow_schedulers = []
    decide = Scheduler.decide

    def decide_slowly(self, *args):
        # The scheduler of the first term is the slow one.
        if not slow_schedulers:
            slow_schedulers.append(self)
        if self in slow_schedulers:
            time.sleep(0.15)
        return decide(self, *args)

    monkeypatch.setattr(Scheduler, 'decide', decide_slowly)
    cluster.start_candidate('a')
    cluster.start_candidate('b')
    async with asyncio.timeout(8):
        while count(events, 'scheduling_started') < 2:
            await asyncio.sleep(0.02)
    await asyncio.sleep(2)
    [fields] = [
        fields for event, fields in events if event == 'lease_handed_over'
    ]
    assert fields['too_slow_for'] == 'rounds'
    claims = [fields for event, fields in events if event == 'lease_claimed']
    assert len(claims) == 2


async def test_leader_on_a_slow_store_stays(cluster, events, monkeypatch):
    """A store that responds slowly is no reason to change the leader."""
    monkeypatch.setattr(leader_pace, '_LATE_LIMIT_MS', 1000)
    store = cluster.store
    commit, read, changes = store.commit, store.read, store.changes

    async def commit_slowly(*args):
        await asyncio.sleep(0.5)
        return await commit(*args)

    async def read_slowly(*args):
        await asyncio.sleep(0.5)
        return await read(*args)

    async def follow_slowly(*args):
        await asyncio.sleep(2)
        return await changes(*args)

    monkeypatch.setattr(store, 'commit', commit_slowly)
    monkeypatch.setattr(store, 'read', read_slowly)
    monkeypatch.setattr(store, 'changes', follow_slowly)
    cluster.start_candidate('a')
    async with asyncio.timeout(8):
        while not count(events, 'decisions_paused'):
            await asyncio.sleep(0.02)
    await asyncio.sleep(5)
    assert not count(events, 'lease_handed_over')
    assert not count(events, 'lease_lost')


async def test_candidate_competes_again_after_unreadable_answers(
    cluster, events, monkeypatch
):
    """An error while the lease is released must not end the candidacy."""
    cluster.start_candidate('a')
    async with asyncio.timeout(3):
        while not count(events, 'scheduling_started'):
            await asyncio.sleep(0.02)

    async def fail_commit(writes, conditions):
        raise InvalidInputError('$.version', None, 'a number')

    with monkeypatch.context() as context:
        context.setattr(cluster.store, 'commit', fail_commit)
        async with asyncio.timeout(3):
            while not count(events, 'scheduling_failed'):
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
    async with asyncio.timeout(5):
        while count(events, 'scheduling_started') < 2:
            await asyncio.sleep(0.02)


class StoreWithStalledFeed(StoreWithoutTable):
    """Store as seen over a link on which one feed stalls after the load."""

    async def read(self, table, part, first='', last=''):
        return await self._store.read(table, part, first, last)

    async def changes(self, table, after, wait):
        if table == self._table:
            await asyncio.Event().wait()
        return await self._store.changes(table, after, wait)


async def test_leader_whose_operator_feed_stalls_is_replaced(
    events, monkeypatch
):
    """A holder that starts nothing must not keep the lease.

    Without recent rows of the operator no run may be started, but these rounds
    counted as on time.
    """
    monkeypatch.setattr(leader_pace, '_LATE_LIMIT_MS', 1000)
    cluster = Cluster(settings=SchedulerSettings(evacuation_bound_ms=2000))
    cluster.start_candidate(
        'a', store=StoreWithStalledFeed(cluster.store, OPERATOR_TABLE.name)
    )
    async with asyncio.timeout(3):
        while not count(events, 'scheduling_started'):
            await asyncio.sleep(0.02)
    cluster.start_candidate('b')
    async with asyncio.timeout(8):
        while count(events, 'scheduling_started') < 2:
            await asyncio.sleep(0.02)
    await cluster.stop()
    [fields] = [
        fields for event, fields in events if event == 'lease_handed_over'
    ]
    assert fields['too_slow_for'] == 'feeds'


async def test_new_leader_orders_nothing_from_a_silent_worker(events):
    """A stored report counted as new after each takeover, however old."""
    cluster = Cluster(settings=SchedulerSettings(max_report_age_ms=1000))
    cluster.add_minion('n0', 'm0')
    name = RowName(REPORTS.name, shard_of('n0'), 'n0')
    async with asyncio.timeout(3):
        while await cluster.store.read_row(name) is None:
            await asyncio.sleep(0.02)
    await cluster.kill('n0')
    await asyncio.sleep(1.2)
    cluster.start_candidate('a')
    await cluster.submit('j', tasks(1))
    async with asyncio.timeout(3):
        while not count(events, 'scheduling_started'):
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    assert not count(events, 'guard_lost')
    assert not count(events, 'run_ordered')
    await cluster.stop()


class StoreWithSlowReports(StoreWithoutTable):
    """Store as seen by a leader whose writes of reports take long."""

    def __init__(self, store):
        super().__init__(store, REPORTS.name)
        self.has_voided = asyncio.Event()

    async def read(self, table, part, first='', last=''):
        return await self._store.read(table, part, first, last)

    async def commit(self, writes, conditions):
        if writes[0].name.table == REPORTS.name:
            self.has_voided.set()
            await asyncio.sleep(1.5)
        return await self._store.commit(writes, conditions)


async def test_jobs_start_while_reports_of_lost_guards_are_replaced(events):
    """Each lost guard held up all decisions for one call of the store."""
    cluster = Cluster(settings=SchedulerSettings(max_report_age_ms=1500))
    store = StoreWithSlowReports(cluster.store)
    cluster.start_candidate('a', store=store)
    for number in range(3):
        cluster.add_minion(f'n{number}', f'm{number}')
    await cluster.submit('first', tasks(3))
    await cluster.wait_for_state('first', JobState.completed)
    await cluster.kill('n0')
    await cluster.kill('n1')
    async with asyncio.timeout(4):
        await store.has_voided.wait()
    await cluster.submit('second', tasks(1))
    await cluster.wait_for_starts(4, limit_s=1)
    async with asyncio.timeout(4):
        while count(events, 'guard_lost') < 2:
            await asyncio.sleep(0.02)
    assert count(events, 'lease_claimed') == 1
    await cluster.stop()
