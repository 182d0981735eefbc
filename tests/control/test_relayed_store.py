"""Tests of store calls that go through a peer, and of what a peer refuses."""

import asyncio
from datetime import timedelta
from random import Random

import pytest

from dragonflynotch.control.guard import Guard
from dragonflynotch.control.relay_directory import (
    RelayAnnouncement,
    RelayDirectory,
)
from dragonflynotch.control.relay_peer import SilentPeerError
from dragonflynotch.control.relay_service import RelayLimits, RelayService
from dragonflynotch.control.relayed_store import RelayedRowStore
from dragonflynotch.control.rows import (
    ORDER_TABLES,
    REPORTS,
    SUBMISSIONS,
    Committed,
    Conflict,
    RowName,
    RowWrite,
    shard_of,
)
from dragonflynotch.control.submissions import SubmissionService
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.testing.minion_model import ModelMinionClient
from dragonflynotch.testing.row_store import MemoryRowStore, StoreFault
from dragonflynotch.workflows.records import Report, decode_row, encode_row
from tests.control.cluster import LIMITS, Cluster, tasks

NAME = RowName(REPORTS.name, shard_of('node'), 'node')


def report(token=1):
    return encode_row(Report('m', 'planner', True, True, 0, token))


class StoreView(MemoryRowStore):
    """The same store as seen by one process, with faults of its own."""

    def __init__(self, store):
        super().__init__(store._clock)
        self._store = store
        self.loses_answers = False

    async def read(self, *args):
        self._begin_call('read')
        return await self._store.read(*args)

    async def commit(self, *args):
        self._begin_call('commit')
        outcome = await self._store.commit(*args)
        if self.loses_answers:
            raise UncertainWriteError('peer is gone')
        return outcome

    async def changes(self, *args):
        self._begin_call('feed')
        changes = await self._store.changes(*args)
        self._begin_call('feed')
        return changes


class Site:
    """A guard's view of a store, with two peers."""

    def __init__(self, store, clock):
        self.store = store
        self.own = StoreView(store)
        self.views = {}
        self.services = {}
        self.receive_report = lambda _: False
        self.directory = RelayDirectory('node', self.own, self._connect, clock)
        self.relayed = RelayedRowStore(
            self.own, self.directory, clock, Random(1)
        )
        self._clock = clock

    async def start(self):
        for port in (1, 2):
            announcement = RelayAnnouncement(
                f'front-{port}', ('10.0.0.1', port), self.store
            )
            await announcement.publish()
        await self.directory.refresh()

    def _connect(self, address):
        view = StoreView(self.store)
        service = RelayService(
            view,
            lambda: view.fault is StoreFault.none,
            self._clock,
            lambda taken: self.receive_report(taken),
        )
        self.views[address] = view
        self.services[address] = service
        return service

    def first_view(self):
        return self.views[self.directory.peers[0].address]


@pytest.fixture
async def site(store, clock):
    site = Site(store, clock)
    await site.start()
    return site


def commit(store, version=0, token=1):
    return store.commit([RowWrite(NAME, report(token))], [(NAME, version)])


async def test_report_of_a_guard_that_is_turned_away_is_written(site, store):
    """A report waited until the store accepted calls of its machine again."""
    site.own.fault = StoreFault.down
    outcome = await commit(site.relayed)
    assert isinstance(outcome, Committed)
    assert (await store.read_row(NAME)).version == outcome.version
    assert site.relayed.is_relaying
    calls = site.own.call_count
    await commit(site.relayed, outcome.version)
    assert site.own.call_count == calls


async def test_duplicate_of_a_relayed_commit_has_no_effect(site, store):
    """A call that is delivered twice or late must not replace a newer one."""
    site.own.fault = StoreFault.down
    first = await commit(site.relayed)
    newer = await commit(site.relayed, first.version, token=2)
    for version in (0, first.version):
        assert isinstance(await commit(site.relayed, version), Conflict)
    assert (await store.read_row(NAME)).version == newer.version


async def test_peer_lost_between_commit_and_answer_leaves_it_uncertain(
    site, store
):
    """An answer that is lost with the peer must not count as a refusal.

    The row is read back through the other peer.
    """
    site.own.fault = StoreFault.down
    first = site.first_view()
    first.loses_answers = True
    with pytest.raises(UncertainWriteError):
        await commit(site.relayed)
    assert site.first_view() is not first
    row = await site.relayed.read_row(NAME)
    assert decode_row(row.content, Report).token == 1
    assert isinstance(
        await commit(site.relayed, row.version, token=2), Committed
    )


async def test_uncertain_own_commit_is_read_back_through_a_peer(site):
    """After a call without an answer, the next one must not wait as long."""
    site.own.loses_answers = True
    with pytest.raises(UncertainWriteError):
        await commit(site.relayed)
    calls = site.own.call_count
    assert await site.relayed.read_row(NAME) is not None
    assert site.own.call_count == calls


async def test_outage_of_the_whole_store_does_not_multiply_calls(
    site, store, clock
):
    """Peers must refuse at once, and guards must ask them less and less."""
    site.own.fault = StoreFault.down
    for view in site.views.values():
        view.fault = StoreFault.down
    for _ in range(50):
        with pytest.raises(PlatformUnavailableError):
            await commit(site.relayed)
        clock.advance(200)
    assert site.own.call_count <= 51
    assert sum(view.call_count for view in site.views.values()) == 0
    asked = sum(service.refused for service in site.services.values())
    assert 2 <= asked <= 14
    # The guard's own calls are not delayed by the attempts through peers.
    site.own.fault = StoreFault.none
    assert isinstance(await commit(site.relayed), Committed)


async def test_calls_are_direct_again_once_the_store_responds(site):
    """A guard that used a peer for good would depend on it without need."""
    site.own.fault = StoreFault.down
    await commit(site.relayed)
    site.own.fault = StoreFault.none
    watching = asyncio.create_task(site.relayed.run())
    async with asyncio.timeout(1):
        while site.relayed.is_relaying:
            await asyncio.sleep(0)
    watching.cancel()


async def test_peers_at_new_addresses_replace_the_old_ones(site, store):
    """A front that returns elsewhere must not be called where it was."""
    moved = RelayAnnouncement('front-1', ('10.0.0.9', 1), store)
    await moved.publish()
    await RelayAnnouncement('front-2', ('10.0.0.1', 2), store).withdraw()
    await site.directory.refresh()
    assert [peer.address for peer in site.directory.peers] == [('10.0.0.9', 1)]


@pytest.mark.parametrize(
    ('name', 'content'),
    [
        (RowName(SUBMISSIONS.name, 'shard-1', 'job/spec'), report()),
        (RowName(REPORTS.name, 'other', 'node'), report()),
        (NAME, b'{'),
        (NAME, None),
        (NAME, b' ' * 70_000),
    ],
)
async def test_peer_writes_nothing_but_reports(store, clock, name, content):
    """A peer must not let its callers write what only it may write."""
    service = RelayService(store, lambda: True, clock, lambda _: False)
    with pytest.raises(InvalidInputError):
        await service.commit([RowWrite(name, content)], [(name, 0)])
    with pytest.raises(InvalidInputError):
        await service.commit([RowWrite(NAME, report())], [])
    with pytest.raises(InvalidInputError):
        await service.read(SUBMISSIONS.name, 'shard-1')
    assert store.call_count == 0
    assert service.refused == 3


async def test_peer_limits_rate_and_calls_in_flight(store, clock):
    """Relayed calls must not use up what the peer needs for its own."""
    limits = RelayLimits(calls_per_s=1, burst=2, max_in_flight=1)
    service = RelayService(store, lambda: True, clock, lambda _: False, limits)
    waiting = asyncio.create_task(
        service.changes(ORDER_TABLES[0].name, 0, timedelta(seconds=30))
    )
    await asyncio.sleep(0)
    with pytest.raises(PlatformUnavailableError, match='in_flight'):
        await commit(service)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await commit(service)
    with pytest.raises(PlatformUnavailableError, match='rate'):
        await commit(service)
    clock.advance(1000)
    assert isinstance(await commit(service), Conflict)


class PartlyDownStore(MemoryRowStore):
    """Store that can refuse writes and reads of one report."""

    refused_node = ''

    async def commit(self, writes, conditions):
        if any(write.name.key == self.refused_node for write in writes):
            raise PlatformUnavailableError('part is down')
        return await super().commit(writes, conditions)


async def test_report_is_delivered_only_to_the_peer_that_schedules(site, clock):
    """Ends must not be taken by a peer that does not record them.

    Nor must guards ask all peers at each attempt while none schedules.
    """
    asked = []
    site.receive_report = lambda taken: asked.append(taken.token) or False
    for _ in range(50):
        await site.relayed.deliver_report(report())
        clock.advance(200)
    assert site.relayed.delivered_reports == 0
    assert 2 <= len(asked) <= 14
    site.receive_report = lambda taken: asked.append(taken.token) or True
    clock.advance(8000)
    await site.relayed.deliver_report(report(token=5))
    assert asked.count(5) == 1
    assert site.relayed.delivered_reports == 1


async def test_delivery_tries_silent_peers_last(site, monkeypatch):
    """Each delivery waited for the same silent peer before any other."""
    first = site.directory.peers[0]

    async def deliver_report(_):
        raise SilentPeerError('no answer')

    monkeypatch.setattr(first.store, 'deliver_report', deliver_report)
    site.receive_report = lambda _: True
    await site.relayed.deliver_report(report())
    assert site.directory.peers[-1] is first
    # One that does not schedule is not silent, so its rank stays.
    site.receive_report = lambda _: False
    await site.relayed.deliver_report(report())
    assert site.directory.peers[0].failed_ms is None


async def test_front_that_cannot_reach_the_store_takes_no_ends(store, clock):
    """A leader that is cut off kept the ends that its successor could write.

    It keeps a copy for the case that no other process schedules, but must not
    confirm it.
    """
    taken = []
    service = RelayService(
        store, lambda: False, clock, lambda ends: taken.append(ends) or True
    )
    with pytest.raises(PlatformUnavailableError):
        await service.deliver_report(report())
    assert taken


@pytest.mark.parametrize('is_cut_off', [False, True])
async def test_ends_that_their_receiver_does_not_record_reach_its_successor(
    site, clock, is_cut_off
):
    """The guard delivered to the former leader only, and never to the next.

    The former one gets each delivery nevertheless: it may be the last leader
    while the whole store is down.
    """
    former, successor = (
        site.services[peer.address] for peer in site.directory.peers
    )
    former.taken, successor.taken = [], []
    former._receive_report = lambda ends: former.taken.append(ends) or True
    if is_cut_off:
        site.first_view().fault = StoreFault.down
    for _ in range(5):
        assert await site.relayed.deliver_report(report())
        clock.advance(1000)
    assert len(former.taken) == 5
    successor._receive_report = lambda ends: (
        successor.taken.append(ends) or True
    )
    clock.advance(1000)
    for _ in range(9):
        assert await site.relayed.deliver_report(report())
        clock.advance(1000)
    assert successor.taken


async def test_report_reaches_the_scheduler_among_many_peers(site, clock):
    """Guards asked the same eight peers each time, and never the leader."""
    for port in range(3, 17):
        await RelayAnnouncement(
            f'front-{port}', ('10.0.0.1', port), site.store
        ).publish()
    await site.directory.refresh()
    leader = site.services[site.directory.peers[-1].address]
    leader._receive_report = lambda _: True
    assert not await site.relayed.deliver_report(report())
    clock.advance(1000)
    assert await site.relayed.deliver_report(report())


@pytest.mark.parametrize('has_leader_died', [False, True])
async def test_end_whose_report_row_is_refused_to_all_is_recorded(
    has_leader_died,
):
    """An end waited for its part of the store, and its guard's machine.

    The guards of a part that was down lost their ends with their machines.
    """
    cluster = TurnedAwayCluster(duration_ms=3000)
    await cluster.site.start()
    cluster.start()
    cluster.site.receive_report = lambda taken: any(
        leader.receive_ends(taken) for leader in cluster.leaders.values()
    )
    await cluster.submit('job', tasks(12))
    await cluster.wait_for_starts(12)
    await asyncio.sleep(1.5)
    cluster.store.refused_node = 'n0'
    if has_leader_died:
        name = cluster.current_leader()
        await cluster.kill(name)
        del cluster.leaders[name]
    async with asyncio.timeout(5):
        while len(cluster.log.ends) < 12:
            await asyncio.sleep(0.01)
    await cluster.wait_for_state(
        'job', 'completed', limit_s=5 if has_leader_died else 1
    )
    assert len(cluster.log.starts) == 12
    await cluster.stop()


class TurnedAwayCluster(Cluster):
    """Cluster in which the store can turn the guard of node n0 away."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.store = PartlyDownStore(self.clock)
        self.submissions = SubmissionService(
            self.store, self.store.store_clock, self.store.health, self.clock
        )
        self.site = Site(self.store, self.clock)

    def start_guard(self, node):
        if node != 'n0':
            super().start_guard(node)
            return
        self.guards[node] = Guard(
            node,
            self.site.relayed,
            self.store.store_clock,
            self.clock,
            lambda heartbeat: ModelMinionClient(
                self.models[heartbeat.minion_id]
            ),
            LIMITS,
            self.site.relayed.deliver_report,
        )
        self._spawn(node, self.guards[node].run())


@pytest.mark.parametrize('has_leader_died', [False, True])
async def test_end_on_a_guard_that_is_turned_away_is_recorded(has_leader_died):
    """An end waited for the store, and the guard's runs were given up."""
    cluster = TurnedAwayCluster(duration_ms=3000)
    await cluster.site.start()
    cluster.start()
    await cluster.submit('job', tasks(12))
    await cluster.wait_for_starts(12)
    cluster.site.own.fault = StoreFault.down
    await asyncio.sleep(0.5)
    if has_leader_died:
        await cluster.kill(cluster.current_leader())
    async with asyncio.timeout(5):
        while len(cluster.log.ends) < 12:
            await asyncio.sleep(0.01)
    await cluster.wait_for_state(
        'job', 'completed', limit_s=5 if has_leader_died else 1
    )
    assert len(cluster.log.starts) == 12
    # Orders arrive through the peer as well.
    await cluster.submit('next', tasks(12, accelerators=1))
    await cluster.wait_for_state('next', 'completed', limit_s=8)
    assert not cluster.log.overlapping_tasks
    await cluster.stop()
