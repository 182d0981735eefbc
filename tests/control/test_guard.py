"""The guard carries out orders once and reports truly."""

import asyncio

import pytest

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.minions import Heartbeat
from dragonflynotch.control.rows import (
    ORDERS,
    REPORTS,
    SCHEDULER_PART,
    RowName,
    RowWrite,
    shard_of,
)
from dragonflynotch.testing.minion_model import (
    MinionFault,
    MinionModel,
    ModelMinionClient,
    RunLog,
)
from dragonflynotch.testing.row_store import MemoryRowStore, StoreFault
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    Report,
    decode_row,
    encode_row,
)

TASK = 'j.0.0.0'
# Short leases keep the tests short; the ratio is that of the deployment.
LIMITS = GuardLimits(minion_lease_ms=600, authority_ms=1500)


class LoopClock(SteadyClock):
    """Time of the event loop."""

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)


class Bench:
    """A guard with a minion and a store."""

    def __init__(self):
        self.clock = LoopClock()
        self.store = MemoryRowStore(self.clock)
        self.log = RunLog()
        self.models = {}
        self.guard = None
        self._task = None

    def add_minion(self, minion_id, **more):
        model = MinionModel(minion_id, self.clock, self.log, **more)
        self.models[minion_id] = model
        return model

    def start_guard(self):
        self.guard = Guard(
            'node',
            self.store,
            self.store.time,
            self.clock,
            lambda heartbeat: ModelMinionClient(
                self.models[heartbeat.minion_id]
            ),
            LIMITS,
        )
        self._task = asyncio.create_task(self.guard.run())

    async def stop_guard(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def beat(self, minion_id, sequence=1, *, is_draining=False):
        self.guard.on_heartbeat(
            Heartbeat(
                minion_id,
                'planner',
                ('127.0.0.1', 1),
                sequence,
                is_draining,
                labels=('a', 'r1'),
                rack='r1',
                capacity=(1000, 1000, 8),
            )
        )

    async def order(self, minion_id, run=1, *, window_ms=2000, **more):
        order = Order(
            'text', run, self.store.time.earliest_ms() + window_ms, **more
        )
        await self.store.commit(
            [RowWrite(order_name(minion_id), encode_row(order))], []
        )

    async def remove_order(self, minion_id):
        await self.store.commit([RowWrite(order_name(minion_id), None)], [])

    async def report(self):
        name = RowName(REPORTS.name, shard_of('node'), 'node')
        row = await self.store.read_row(name)
        return None if row is None else decode_row(row.content, Report)

    async def wait_for(self, condition, limit_s=3):
        async with asyncio.timeout(limit_s):
            while True:
                report = await self.report()
                if report is not None and condition(report):
                    return report
                await asyncio.sleep(0.01)


def order_name(minion_id):
    return RowName(ORDERS.name, SCHEDULER_PART, f'{minion_id}/{TASK}')


@pytest.fixture
async def bench():
    bench = Bench()
    bench.start_guard()
    yield bench
    await bench.stop_guard()


@pytest.fixture
async def minion(bench):
    model = bench.add_minion('m1')
    bench.beat('m1')
    await bench.wait_for(lambda report: report.minion_id == 'm1')
    return model


def has_run(report):
    return any(running.task == TASK for running in report.running)


async def test_order_is_started_and_its_end_reported(bench, minion):
    """The way of a run from its order to its recorded end."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    minion.finish(TASK, EndKind.done)
    report = await bench.wait_for(lambda report: report.ended)
    assert report.ended[0].kind is EndKind.done
    await bench.remove_order('m1')
    await bench.wait_for(lambda report: not report.ended)
    assert bench.log.starts == [(TASK, 1, 'm1')]


async def test_end_is_kept_until_it_is_recorded(bench, minion):
    """An end that the minion forgets too early would be lost."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    minion.finish(TASK, EndKind.done)
    await bench.wait_for(lambda report: report.ended)
    await asyncio.sleep(0.3)
    assert minion.look(99, 0, 0).ended


async def test_unanswered_start_is_not_left_to_arrive(bench, minion):
    """A start carried out late must not run beside one elsewhere."""
    minion.fault = MinionFault.late_starts
    await bench.order('m1', window_ms=400)
    report = await bench.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'expired'
    minion.apply_late()
    assert not bench.log.starts


async def test_start_whose_answer_is_lost_runs_once(bench, minion):
    """A repeated start must not make a second run."""
    minion.fault = MinionFault.lose_answers
    await bench.order('m1')
    await bench.wait_for(has_run)
    await asyncio.sleep(0.3)
    assert bench.log.starts == [(TASK, 1, 'm1')]
    assert not (await bench.report()).rejected


async def test_expired_order_is_not_started(bench, minion):
    """An order read late must not start what was given up."""
    await bench.order('m1', window_ms=-1)
    report = await bench.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'expired'
    assert not bench.log.starts


async def test_stop_before_the_start_is_final(bench, minion):
    """A run stopped before it began must not begin after it."""
    await bench.order('m1', is_stopped=True)
    report = await bench.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'stopped'
    assert not bench.log.starts


async def test_ordered_stop_ends_the_run(bench, minion):
    """A run must be gone soon after its stop was ordered."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    await bench.order('m1', is_stopped=True)
    report = await bench.wait_for(lambda report: report.ended)
    assert report.ended[0].kind is EndKind.stopped


async def test_run_without_an_order_is_stopped(bench, minion):
    """What nobody ordered must not run on."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    await bench.remove_order('m1')
    await bench.wait_for(lambda report: not report.running)
    assert bench.log.ends == [(TASK, 1, 'stopped')]


async def test_run_survives_an_outage_of_the_store(bench, minion):
    """An outage shorter than the authority must not cost work."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    bench.store.fault = StoreFault.down
    await asyncio.sleep(LIMITS.authority_ms / 1000 * 0.6)
    bench.store.fault = StoreFault.none
    await bench.wait_for(has_run)
    assert not bench.log.ends


async def test_run_ends_with_the_authority_of_its_guard(bench, minion):
    """A guard that cannot report must let its runs lapse in time."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    bench.store.fault = StoreFault.down
    report = await _last_report(bench)
    await asyncio.sleep(0.05)
    while bench.store.time.earliest_ms() < report.authority_end_ms:
        await asyncio.sleep(0.02)
    minion.advance()
    assert bench.log.ends == [(TASK, 1, 'lapsed')]


async def test_restarted_guard_takes_its_run_over(bench, minion):
    """A restart of the guard must neither stop nor repeat a run."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    token = (await bench.report()).token
    await bench.stop_guard()
    bench.start_guard()
    await bench.wait_for(lambda report: report.token > token)
    await asyncio.sleep(LIMITS.minion_lease_ms / 1000)
    minion.advance()
    assert not bench.log.ends
    assert bench.log.starts == [(TASK, 1, 'm1')]


async def test_restarted_guard_keeps_the_old_report_at_first(bench, minion):
    """A guard that does not know its minion yet must not disown its runs."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    await bench.stop_guard()
    minion.fault = MinionFault.cut
    bench.start_guard()
    await asyncio.sleep(0.3)
    assert (await bench.report()).minion_id == 'm1'


async def test_new_incarnation_replaces_the_old(bench, minion):
    """Runs of a crashed minion are known to be gone."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    minion.crash()
    bench.add_minion('m2')
    bench.beat('m2')
    report = await bench.wait_for(lambda report: report.minion_id == 'm2')
    assert not report.running
    assert [running.task for running in report.abandoned] == [TASK]


async def test_delayed_heartbeat_of_a_crashed_minion_is_ignored(bench, minion):
    """A late heartbeat must not bring back an incarnation that is gone."""
    gone = bench.add_minion('m0')
    gone.crash()
    bench.beat('m0')
    await asyncio.sleep(0.2)
    assert (await bench.report()).minion_id == 'm1'


async def test_silent_minion_is_lost_only_after_its_lease(bench, minion):
    """A minion that is cut off runs on until its lease is over."""
    await bench.order('m1')
    await bench.wait_for(has_run)
    minion.fault = MinionFault.cut
    await bench.wait_for(lambda report: not report.is_live)
    minion.advance()
    assert bench.log.ends == [(TASK, 1, 'lapsed')]


async def test_draining_minion_starts_nothing(bench, minion):
    """A leaving minion must get no new work."""
    bench.beat('m1', 2, is_draining=True)
    await bench.order('m1')
    report = await bench.wait_for(lambda report: report.rejected)
    assert not report.is_ready
    assert not bench.log.starts


async def test_new_run_outlives_its_guard(bench, minion):
    """A guard that dies right after a start must not cost the run.

    The lease in a start is short; that of the minion must be there before.
    """
    await bench.order('m1', window_ms=100)
    async with asyncio.timeout(2):
        while not bench.log.starts:
            await asyncio.sleep(0.002)
    await bench.stop_guard()
    await asyncio.sleep(0.3)
    minion.advance()
    assert not bench.log.ends


async def _last_report(bench):
    fault = bench.store.fault
    bench.store.fault = StoreFault.none
    report = await bench.report()
    bench.store.fault = fault
    return report


_look = ModelMinionClient.look


async def _slow_look(client, *arguments):
    await asyncio.sleep(0.02)
    return await _look(client, *arguments)


async def test_restarted_guard_keeps_a_run_whose_window_has_passed(
    bench, monkeypatch
):
    """An order must not be rejected before the minion was asked for its runs.

    A hunt found it on rwl-sched-grown (trouble-3, seed 516410226001): orders
    that arrived between the registration of the minion and the first answer
    made restarted guards reject runs that were present, and these were started
    elsewhere.
    """
    bench.add_minion('m1')
    bench.beat('m1')
    await bench.order('m1', window_ms=200)
    await bench.wait_for(has_run)
    await bench.stop_guard()
    await asyncio.sleep(0.2)
    monkeypatch.setattr(ModelMinionClient, 'look', _slow_look)
    bench.start_guard()
    other = RowName(ORDERS.name, SCHEDULER_PART, 'm2/other.0.0.0')
    order = encode_row(Order('text', 1, 0))
    for _ in range(200):
        await bench.store.commit([RowWrite(other, order)], [])
        assert not (await bench.report()).rejected
        await asyncio.sleep(0.002)
    assert not bench.log.ends
