"""Evacuations with schedulers, guards and minions together, under failures."""

import asyncio

import pytest

from dragonflynotch.control.evacuation_status import (
    EvacuationStatus,
    read_evacuations,
)
from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.platform.evacuations import (
    OPERATOR_TABLE,
    decode_evacuation,
)
from dragonflynotch.workflows.records import JobState
from dragonflynotch.workflows.scheduler import SchedulerSettings
from tests.control.cluster import Cluster, tasks

BOUND_MS = 2000
# Time for a row to reach the scheduler through an unhindered feed.
FEED_DELAY_S = 0.2
# Longest wait of a feed call that delivers nothing, and some more.
FEED_CALL_S = 1


class OperatorFeed:
    """Makes the calls for the operator's table fail or wait."""

    def __init__(self, store, monkeypatch):
        self.is_held = False
        self.is_failing = False
        self._changes = store.changes
        self._read = store.read
        monkeypatch.setattr(store, 'changes', self._hinder_changes)
        monkeypatch.setattr(store, 'read', self._hinder_read)

    async def _hinder_changes(self, table, after, wait):
        if table != OPERATOR_TABLE.name:
            return await self._changes(table, after, wait)
        outcome = await self._changes(table, after, wait)
        self._check()
        while self.is_held:
            await asyncio.sleep(0.01)
        return outcome

    async def _hinder_read(self, table, part, first='', last=''):
        if table == OPERATOR_TABLE.name:
            self._check()
        return await self._read(table, part, first, last)

    def _check(self):
        if self.is_failing:
            raise PlatformUnavailableError(
                'injected fault', step='read', peer='row store'
            )


@pytest.fixture
async def cluster():
    """Nodes ``n0`` and its minion ``m0`` are in ``east``, the others west."""
    cluster = Cluster(settings=SchedulerSettings(evacuation_bound_ms=BOUND_MS))
    cluster.data_centres = {'n0': 'east', 'n1': 'west', 'n2': 'west'}
    cluster.start()
    yield cluster
    await cluster.stop()


@pytest.fixture
def feed(cluster, monkeypatch):
    return OperatorFeed(cluster.store, monkeypatch)


@pytest.fixture
def events(monkeypatch):
    entries = []
    monkeypatch.setattr(
        decision_log,
        'record',
        lambda event, **fields: entries.append((event, fields)),
    )
    return entries


def _minions_of(cluster, job_id):
    return {
        minion
        for task, _, minion in cluster.log.starts
        if task.partition('.')[0] == job_id
    }


async def _run_job(cluster, job_id, count=9):
    """Run a job that takes more than two of the three workers at once."""
    await cluster.submit(job_id, tasks(count))
    await cluster.wait_for_state(job_id, JobState.completed)
    return _minions_of(cluster, job_id)


async def _read_status(cluster):
    return await read_evacuations(
        cluster.store, OPERATOR_TABLE, decode_evacuation
    )


async def test_runs_start_elsewhere_until_the_request_is_deleted(cluster):
    """No run may start there, and the workers must be used again."""
    assert await _run_job(cluster, 'a') == {'m0', 'm1', 'm2'}
    await cluster.request_evacuation('east')
    await asyncio.sleep(FEED_DELAY_S)
    assert await _run_job(cluster, 'b') == {'m1', 'm2'}
    await cluster.request_evacuation('east', None)
    await asyncio.sleep(FEED_DELAY_S)
    assert await _run_job(cluster, 'c') == {'m0', 'm1', 'm2'}


async def test_runs_there_are_counted_and_continue(cluster):
    """An operator must see how many runs are left, and none may be lost."""
    await cluster.submit('a', tasks(12))
    await cluster.wait_for_starts(12)
    await asyncio.sleep(0.1)
    await cluster.request_evacuation('east')
    await asyncio.sleep(FEED_DELAY_S)
    counts = [
        leader.status.evacuation_run_counts
        for leader in cluster.leaders.values()
    ]
    assert {} in counts
    [count] = [count for count in counts if count]
    assert list(count) == ['east']
    [status] = await _read_status(cluster)
    assert (status.data_centre, status.workers) == ('east', 1)
    assert status.runs == count['east']
    await cluster.wait_for_state('a', JobState.completed)
    async with asyncio.timeout(2):
        while {'east': 0} not in [
            leader.status.evacuation_run_counts
            for leader in cluster.leaders.values()
        ]:
            await asyncio.sleep(0.02)
    assert await _read_status(cluster) == [EvacuationStatus('east', 1, 0, 0)]


async def test_runs_in_an_unknown_data_centre_are_shown():
    """They may be in the evacuated data centre and were shown nowhere."""
    cluster = Cluster(duration_ms=1000)
    cluster.data_centres = {'n0': 'east', 'n1': '', 'n2': 'west'}
    cluster.start()
    await cluster.submit('a', tasks(12))
    await cluster.wait_for_starts(12)
    await cluster.request_evacuation('east')
    [status] = await _read_status(cluster)
    await cluster.stop()
    assert status.runs_of_unknown_data_centre == 4


async def test_leader_dies_before_its_first_order_after_the_request(cluster):
    """The next leader must not start a run there from older knowledge."""
    await _run_job(cluster, 'a')
    await cluster.request_evacuation('east')
    for name, leader in cluster.leaders.items():
        if leader.is_scheduling:
            await cluster.kill(name)
    assert await _run_job(cluster, 'b') == {'m1', 'm2'}


async def test_bound_holds_while_the_feed_lags(cluster, feed):
    """A leader that does not see the request must stop starting runs in time.

    Other feeds work, so the leader is otherwise up to date.
    """
    await _run_job(cluster, 'a')
    feed.is_held = True
    await asyncio.sleep(1)
    await cluster.request_evacuation('east')
    acknowledged_ms = cluster.clock.now_ms()
    starts_there = []
    number = 0
    while cluster.clock.now_ms() < acknowledged_ms + BOUND_MS + 500:
        number += 1
        await cluster.submit(f'b{number}', tasks(1))
        await asyncio.sleep(0.05)
        count = sum(minion == 'm0' for _, _, minion in cluster.log.starts)
        starts_there.append((cluster.clock.now_ms(), count))
    count_at_bound = max(
        count
        for at_ms, count in starts_there
        if at_ms <= acknowledged_ms + BOUND_MS
    )
    assert starts_there[-1][1] == count_at_bound
    started = len(cluster.log.starts)
    await asyncio.sleep(0.2)
    assert len(cluster.log.starts) == started
    feed.is_held = False
    await cluster.wait_for_state(f'b{number}', JobState.completed)
    assert _minions_of(cluster, f'b{number}') <= {'m1', 'm2'}


async def test_request_survives_the_loss_of_history(cluster, feed):
    """A request or a withdrawal within the lost changes must not be missed."""
    await _run_job(cluster, 'a')
    feed.is_held = True
    await cluster.request_evacuation('east')
    cluster.store.truncate_history()
    feed.is_held = False
    await asyncio.sleep(FEED_CALL_S)
    assert await _run_job(cluster, 'b') == {'m1', 'm2'}
    feed.is_held = True
    await cluster.request_evacuation('east', None)
    cluster.store.truncate_history()
    feed.is_held = False
    await asyncio.sleep(FEED_CALL_S)
    assert await _run_job(cluster, 'c') == {'m0', 'm1', 'm2'}


async def test_nothing_starts_before_the_operator_rows_are_read(
    monkeypatch,
):
    """A new leader must not place anything before it knows the evacuations."""
    cluster = Cluster()
    cluster.data_centres = {'n0': 'east', 'n1': 'west', 'n2': 'west'}
    feed = OperatorFeed(cluster.store, monkeypatch)
    feed.is_failing = True
    cluster.start()
    await cluster.request_evacuation('east')
    await cluster.submit('a', tasks(9))
    await asyncio.sleep(1.5)
    assert not cluster.log.starts
    feed.is_failing = False
    await cluster.wait_for_state('a', JobState.completed)
    assert 'm0' not in _minions_of(cluster, 'a')
    await cluster.stop()


async def test_unreadable_rows_leave_the_others_in_force(cluster, events):
    """A malformed request must be logged and must not end a scheduler.

    A request with any content is in force: its key says everything.
    """
    await cluster.request_evacuation('')
    await cluster.request_evacuation('east', b'\xff{')
    name = RowName(OPERATOR_TABLE.name, '', 'other/east')
    await cluster.store.commit([RowWrite(name, b'')], [])
    await asyncio.sleep(FEED_DELAY_S)
    assert await _run_job(cluster, 'a') == {'m1', 'm2'}
    assert ('evacuation_unreadable', {'key': 'evacuate/'}) in events
    assert 'scheduling_failed' not in [event for event, _ in events]


async def test_unknown_data_centre_is_recorded(cluster, events):
    """A mistyped request must be visible and close no worker."""
    await cluster.request_evacuation('esat')
    await asyncio.sleep(FEED_DELAY_S)
    assert await _run_job(cluster, 'a') == {'m0', 'm1', 'm2'}
    assert 'evacuation_data_centre_unknown' in [event for event, _ in events]


async def test_progress_is_recorded_while_nothing_else_happens(cluster, events):
    """The log entries were lost in rounds that wrote no row."""
    await asyncio.sleep(FEED_DELAY_S)
    await cluster.request_evacuation('east')
    await asyncio.sleep(1)
    await cluster.request_evacuation('east', None)
    await asyncio.sleep(1)
    names = [event for event, _ in events if event.startswith('evacuation_')]
    assert names.count('evacuation_began') == 1
    assert names.count('evacuation_empty') == 1
    assert names.count('evacuation_ended') == 1


async def test_request_withdrawn_at_once_has_no_effect(cluster):
    """Workers must not stay closed by a request that no longer exists."""
    await cluster.request_evacuation('east')
    await cluster.request_evacuation('east', None)
    assert await _run_job(cluster, 'a') == {'m0', 'm1', 'm2'}


async def test_several_and_repeated_requests_are_separate(cluster):
    """The end of one evacuation, or its repetition, must not end another."""
    for name in ('east', 'west', 'east'):
        await cluster.request_evacuation(name)
    await asyncio.sleep(FEED_DELAY_S)
    await cluster.submit('a', tasks(9))
    await asyncio.sleep(0.5)
    assert not cluster.log.starts
    await cluster.request_evacuation('west', None)
    await cluster.wait_for_state('a', JobState.completed)
    assert _minions_of(cluster, 'a') == {'m1', 'm2'}
