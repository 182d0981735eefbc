"""Tests of minions that start again under the identifier that they had."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from dragonflynotch.control.clocks import BootClock
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.minions import (
    MinionState,
    RefusalReason,
    StartRefused,
    StartRequest,
)
from dragonflynotch.control.rows import (
    REPORTS,
    RowName,
    RowWrite,
    order_row,
    shard_of,
)
from dragonflynotch.links.asgi import HttpCall
from dragonflynotch.platform.minion import HttpMinionClient
from dragonflynotch.platform.side import HeartbeatApi
from dragonflynotch.testing.machines import MemoryMachineDirectory
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.ports import free_ports
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.testing.site_minion import SiteMinion
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    Report,
    decode_row,
    encode_row,
)

TASK = 'j.0.0.0'
LEASE_MS = 3_000
FIRST_MS = 1_760_000_000_000
SECOND_MS = FIRST_MS + 5_000
UNKNOWN = None


class Scene:
    """A guard on the platform's interface, and one machine for minions."""

    def __init__(self):
        self.clock = BootClock()
        self.store = MemoryRowStore(self.clock)
        self.runs = RunLog()
        guard_port, self._port = free_ports(2)
        self._guard_address = ('127.0.0.1', guard_port)
        self.guard = None
        self.minion = None

    def start_guard(self):
        self.guard = Guard(
            'node',
            self.store,
            self.store.store_clock,
            self.clock,
            HttpMinionClient,
            GuardLimits(minion_lease_ms=LEASE_MS, authority_ms=6_000),
        )
        self._task = asyncio.create_task(self.guard.run())

    async def stop_guard(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def start_minion(self, start_ms):
        """Start a life; its own heartbeats go to a port that is closed."""
        site = SimpleNamespace(
            clock=self.clock,
            runs=self.runs,
            machines=MemoryMachineDirectory(),
        )
        self.minion = SiteMinion(
            site,
            'm1',
            'planner',
            ('127.0.0.1', self._port),
            self._guard_address,
            60_000,
        )
        self.minion.start_ms = start_ms
        await self.minion.start()
        return self.minion

    async def stop_minion(self):
        await self.minion.stop()

    async def send_heartbeat(self, start_ms, seq=1, state='ready', cpu=8000):
        fields = {
            'service': 'planner',
            'address': f'127.0.0.1:{self._port}',
            'state': state,
            'seq': seq,
            'labels': ['a', 'r1'],
            'capacity': {'cpu': cpu, 'mem_mb': 8000, 'gpu': 8},
        }
        return await self._call('Heartbeat', fields, start_ms)

    async def send_departure(self, start_ms):
        return await self._call('Deregister', {}, start_ms)

    async def _call(self, name, fields, start_ms):
        if start_ms is not None:
            fields['born'] = start_ms
        body = msgspec.json.encode(fields)
        path = f'/dragonflynotch/Instances.{name}/m1'
        api = HeartbeatApi(self.guard)
        return await api(HttpCall('POST', path, {}, {}, body))

    async def order(self, minion_id, run=1):
        now_ms = self.store.store_clock.earliest_ms()
        order = Order('text', run, now_ms + 2_000)
        await self.store.commit(
            [RowWrite(order_row(minion_id, TASK), encode_row(order))], []
        )

    async def report(self):
        name = RowName(REPORTS.name, shard_of('node'), 'node')
        row = await self.store.read_row(name)
        return None if row is None else decode_row(row.content, Report)

    async def wait_for(self, condition, limit_s=2):
        """Wait for a report, for less than the lease of the minion."""
        async with asyncio.timeout(limit_s):
            while True:
                report = await self.report()
                if report is not None and condition(report):
                    return report
                await asyncio.sleep(0.01)

    async def run_task(self, start_ms=FIRST_MS, seq=1):
        """Return the identifier of an incarnation that runs the task."""
        await self.start_minion(start_ms)
        await self.send_heartbeat(start_ms, seq)
        report = await self.wait_for(lambda report: report.minion_id)
        await self.order(report.minion_id)
        await self.wait_for(lambda report: report.running)
        return report.minion_id


@pytest.fixture
async def scene():
    scene = Scene()
    scene.start_guard()
    yield scene
    await scene.stop_guard()
    if scene.minion is not None:
        await scene.stop_minion()


@pytest.mark.parametrize('second_ms', [SECOND_MS, FIRST_MS - 1])
@pytest.mark.parametrize('is_guard_restarted', [False, True])
async def test_runs_of_the_life_before_are_reported_as_ended(
    scene, second_ms, is_guard_restarted
):
    """Tasks on a minion that started again were never started again."""
    first_id = await scene.run_task(seq=40)
    if is_guard_restarted:
        await scene.stop_guard()
    await scene.stop_minion()
    await scene.start_minion(second_ms)
    if is_guard_restarted:
        scene.start_guard()
        await asyncio.sleep(0.2)
    await scene.send_heartbeat(second_ms)
    report = await scene.wait_for(
        lambda report: report.minion_id != first_id and report.is_live
    )
    assert not report.running
    assert report.is_ready


async def test_crash_of_the_life_before_is_reported(scene):
    """The scheduler cannot count crashes that it is not told of."""
    first_id = await scene.run_task()
    await scene.stop_minion()
    await scene.start_minion(SECOND_MS)
    await scene.send_heartbeat(SECOND_MS)
    report = await scene.wait_for(lambda report: report.minion_id != first_id)
    assert [crash.minion_id for crash in report.crashes] == [first_id]


async def test_heartbeats_of_the_new_life_count(scene):
    """A lower sequence hid the capacity and the end of the new life."""
    first_id = await scene.run_task(seq=40)
    await scene.stop_minion()
    await scene.start_minion(SECOND_MS)
    await scene.send_heartbeat(SECOND_MS, cpu=4000)
    report = await scene.wait_for(lambda report: report.minion_id != first_id)
    assert report.capacity[0] == 4000
    await scene.send_heartbeat(SECOND_MS, seq=2, state='draining', cpu=4000)
    await scene.wait_for(lambda report: not report.is_ready)


async def test_late_messages_of_the_life_before_are_ignored(scene):
    """A delayed message must not end or replace the life that responds."""
    first_id = await scene.run_task()
    await scene.stop_minion()
    await scene.start_minion(SECOND_MS)
    await scene.send_heartbeat(SECOND_MS)
    report = await scene.wait_for(lambda report: report.minion_id != first_id)
    await scene.order(report.minion_id, run=2)
    await scene.wait_for(lambda report: report.running)
    await scene.send_heartbeat(FIRST_MS, seq=90, state='draining')
    await scene.send_departure(FIRST_MS)
    # Of another writer, so it names no minion to use.
    await scene.send_heartbeat(UNKNOWN, seq=91, state='draining')
    await asyncio.sleep(0.5)
    after = await scene.report()
    assert after.minion_id == report.minion_id
    assert after.is_ready
    assert [running.run for running in after.running] == [2]


async def test_departure_without_a_start_time_is_that_of_the_minion(scene):
    """A minion that shuts down must not look like one that crashed."""
    await scene.run_task()
    await scene.send_departure(UNKNOWN)
    await scene.wait_for(lambda report: not report.minion_id)


async def test_delayed_start_does_not_run_beside_the_next_one(scene):
    """A start sent to the life before must not run when the task runs again."""
    first_id = await scene.run_task()
    token = (await scene.report()).token
    await scene.stop_minion()
    second = await scene.start_minion(SECOND_MS)
    delayed = StartRequest(TASK, 1, 'text', '', second.model.clock_ms + 5_000)
    second.model.start(delayed, token)
    await scene.send_heartbeat(SECOND_MS)
    report = await scene.wait_for(lambda report: report.minion_id != first_id)
    assert not second.model.poll(10**6, 0, 0).running
    assert report.token > token


async def test_start_that_arrives_after_the_new_life_is_known_is_refused(
    scene,
):
    """Nothing but the token tells such a start from one for the new life."""
    first_id = await scene.run_task()
    token = (await scene.report()).token
    await scene.stop_minion()
    second = await scene.start_minion(SECOND_MS)
    await scene.send_heartbeat(SECOND_MS)
    await scene.wait_for(lambda report: report.minion_id != first_id)
    delayed = StartRequest(TASK, 1, 'text', '', second.model.clock_ms + 5_000)
    assert second.model.start(delayed, token) == StartRefused(
        RefusalReason.fence
    )


async def test_end_of_a_delayed_start_is_reported(scene):
    """A run of an earlier order that ended as done must not run again."""
    first_id = await scene.run_task()
    token = (await scene.report()).token
    await scene.stop_minion()
    second = await scene.start_minion(SECOND_MS)
    delayed = StartRequest(TASK, 1, 'text', '', second.model.clock_ms + 5_000)
    second.model.start(delayed, token)
    second.model.finish(TASK, EndKind.done)
    await scene.send_heartbeat(SECOND_MS)
    report = await scene.wait_for(lambda report: report.minion_id != first_id)
    [earlier] = report.earlier_ends
    assert (earlier.minion_id, earlier.end.kind) == (first_id, EndKind.done)


@pytest.mark.parametrize('start_ms', [UNKNOWN, FIRST_MS])
async def test_restarted_guard_keeps_the_runs_of_its_minion(scene, start_ms):
    """A minion that did not start again must not lose its runs."""
    minion_id = await scene.run_task(start_ms)
    await scene.stop_guard()
    scene.start_guard()
    await asyncio.sleep(0.2)
    await scene.send_heartbeat(start_ms, seq=2)
    await asyncio.sleep(0.5)
    report = await scene.report()
    assert report.minion_id == minion_id
    assert report.running
    assert isinstance(scene.minion.model.poll(10**6, 0, 0), MinionState)
    assert scene.runs.starts == [(TASK, 1, 'm1')]


async def test_report_of_an_earlier_release_keeps_its_runs(scene):
    """An update of the guard must not end the runs of its minion."""
    minion_id = await scene.run_task(UNKNOWN)
    await scene.stop_guard()
    # The report does not tell the start of the minion, which does so itself.
    scene.minion.start_ms = FIRST_MS
    scene.start_guard()
    await asyncio.sleep(0.2)
    await scene.send_heartbeat(FIRST_MS, seq=2, cpu=4000)
    report = await scene.wait_for(lambda report: report.capacity[0] == 4000)
    assert report.minion_id == minion_id
    assert report.running
    await scene.stop_minion()
    await scene.start_minion(SECOND_MS)
    await scene.send_heartbeat(SECOND_MS)
    await scene.wait_for(lambda report: report.minion_id != minion_id)


async def test_run_that_the_minion_has_lost_is_rejected(scene):
    """A run that was started and is neither listed nor ended held its task."""
    minion_id = await scene.run_task(UNKNOWN)
    # A life that cannot be told from the one before.
    await scene.stop_minion()
    await scene.start_minion(UNKNOWN)
    report = await scene.wait_for(lambda report: report.rejected)
    assert report.minion_id == minion_id
    assert [(entry.task, entry.reason) for entry in report.rejected] == [
        (TASK, 'missing')
    ]
    # A repeated start that was delayed must not run beside the next one.
    delayed = StartRequest(TASK, 1, 'text', '', 10**9)
    assert scene.minion.model.start(delayed, report.token) == StartRefused(
        RefusalReason.old
    )
