"""Facts that a guard must not drop before a scheduler has read them."""

import asyncio

import pytest

from dragonflynotch.control.minions import RefusalReason, StartRefused, Stopped
from dragonflynotch.control.rows import REPORTS, RowWrite
from dragonflynotch.testing import minion_model
from dragonflynotch.testing.minion_model import MinionFault
from dragonflynotch.workflows.records import EndKind, Rejection, encode_row
from tests.control.cluster import Cluster, tasks
from tests.control.test_earlier_ends import NAME, RecordingStore
from tests.control.test_guard import TASK, GuardHarness, is_task_running

OTHER = 'k.0.0.0'
CHECKPOINT = 'c1'


async def _start_minion(harness):
    model = harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.wait_for(lambda report: report.minion_id == 'm1')
    return model


@pytest.fixture
async def harness():
    harness = GuardHarness()
    harness.store = RecordingStore(harness.clock)
    harness.start_guard()
    yield harness
    await harness.stop_guard()


async def test_restarted_guard_does_not_start_a_rejected_run(harness):
    """The scheduler may have ordered the task elsewhere after the rejection."""
    minion = await _start_minion(harness)
    await harness.order('m1', needs=(0, 0, 8))
    await harness.wait_for(is_task_running)
    await harness.order('m1', task=OTHER, needs=(0, 0, 8), window_ms=5000)
    await harness.wait_for(lambda report: report.rejected)
    await harness.stop_guard()
    minion.finish(TASK, EndKind.done)
    harness.start_guard()
    await harness.wait_for(lambda report: report.ended)
    await asyncio.sleep(0.3)
    assert harness.log.starts == [(TASK, 1, 'm1')]


async def test_rejection_is_repeated_before_its_order_has_been_read(harness):
    """A guard that has read no orders dropped the rejection from its row."""
    await _start_minion(harness)
    await harness.order('m1', task=OTHER, needs=(0, 0, 9))
    await harness.wait_for(lambda report: report.rejected)
    await harness.stop_guard()
    harness.store.reports.clear()
    harness.store.hides_orders = True
    harness.start_guard()
    await asyncio.sleep(0.5)
    assert harness.store.reports
    assert all(
        report.rejected == [Rejection(OTHER, 1, 'room')]
        for report in harness.store.reports
    )


async def test_rejection_in_a_late_write_of_an_earlier_process_is_kept(harness):
    """The scheduler may read it before the guard reads the order."""
    await _start_minion(harness)
    before = await harness.report()
    await harness.stop_guard()
    harness.start_guard()
    await harness.wait_for(lambda report: report.token > before.token)
    before.rejected = [Rejection(OTHER, 1, 'room')]
    await harness.store.commit([RowWrite(NAME, encode_row(before))], [])
    await harness.wait_for(lambda report: report.token > before.token)
    await harness.order('m1', task=OTHER)
    await harness.wait_for(lambda report: report.rejected)
    await asyncio.sleep(0.3)
    assert not harness.log.starts


async def test_rejection_does_not_count_for_another_minion(harness):
    """The next minion would refuse an order that it can carry out."""
    await _start_minion(harness)
    await harness.order('m1', needs=(0, 0, 9))
    await harness.wait_for(lambda report: report.rejected)
    await harness.stop_guard()
    harness.models['m1'].crash()
    harness.start_guard()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    await harness.order('m2')
    report = await harness.wait_for(is_task_running)
    assert not report.rejected


@pytest.mark.parametrize('is_other_minion', [False, True])
async def test_checkpoints_outlast_the_report_that_a_minion_is_lost(
    harness, is_other_minion
):
    """No leader may have read the report before that one."""
    minion = await _start_minion(harness)
    await harness.order('m1', checkpoint=CHECKPOINT)
    await harness.wait_for(
        lambda report: (
            [run.checkpoint for run in report.running] == [CHECKPOINT]
        )
    )
    minion.fault = MinionFault.cut
    report = await harness.wait_for(lambda report: not report.is_live)
    if is_other_minion:
        harness.add_minion('m2')
        harness.send_heartbeat('m2')
        report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    kept = [*report.running, *report.abandoned]
    assert [run.checkpoint for run in kept] == [CHECKPOINT]


class LateReports:
    """Store whose feed of reports reaches a scheduler late."""

    def __init__(self, store, delay_s):
        self._store = store
        self._delay_s = delay_s

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def changes(self, table, after, wait):
        changes = await self._store.changes(table, after, wait)
        if table == REPORTS.name:
            await asyncio.sleep(self._delay_s)
        return changes


async def test_task_rejected_before_a_guard_restart_runs_once_at_a_time():
    """The guard started the run that the scheduler had replaced."""
    cluster = Cluster(duration_ms=3000)
    cluster.start_candidate('a', LateReports(cluster.store, 0.5))
    for number in range(2):
        cluster.add_minion(f'n{number}', f'm{number}')
    await asyncio.sleep(1.5)
    starts = {name: model.start for name, model in cluster.models.items()}
    refused = []

    def refuse(name):
        def start(*_):
            refused.append(name)
            return StartRefused(RefusalReason.room)

        return start

    for name, model in cluster.models.items():
        model.start = refuse(name)
    await cluster.submit('a', tasks(1))
    async with asyncio.timeout(5):
        while not refused:
            await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    for name, model in cluster.models.items():
        model.start = starts[name]
    # A stop takes some time, so the minion confirms it while the run goes on.
    rejecting = cluster.models[refused[0]]
    rejecting.stop = lambda *_: Stopped(rejecting.clock_ms)
    node = refused[0].replace('m', 'n')
    await cluster.kill(node)
    cluster.start_guard(node)
    await asyncio.sleep(2)
    await cluster.stop()
    assert not cluster.log.overlapping_tasks, cluster.log.starts


async def test_first_report_of_a_restarted_guard_lists_the_known_runs(
    monkeypatch,
):
    """Their checkpoints were missing in the row until the first poll."""
    harness = GuardHarness()
    harness.start_guard()
    await _start_minion(harness)
    await harness.order('m1', checkpoint=CHECKPOINT)
    await harness.wait_for(is_task_running)
    await harness.stop_guard()
    monkeypatch.setattr(minion_model, '_POLL_S', 0.1)
    harness.start_guard()
    missing = 0
    for _ in range(60):
        await asyncio.sleep(0.01)
        report = await harness.report()
        if not [*report.running, *report.abandoned]:
            missing += 1
    await harness.stop_guard()
    assert not missing


async def test_checkpoint_of_an_earlier_process_is_not_repeated(harness):
    """It replaced a later checkpoint of the same run."""
    minion = await _start_minion(harness)
    await harness.order('m1', checkpoint=CHECKPOINT)
    await harness.wait_for(is_task_running)
    await harness.stop_guard()
    harness.start_guard()
    await harness.wait_for(lambda report: report.token == 2 and report.running)
    minion.finish(TASK, EndKind.failed)
    report = await harness.wait_for(lambda report: report.ended)
    assert not report.abandoned


async def test_restart_keeps_the_checkpoints_of_an_earlier_minion(harness):
    """A process that found the report of the next minion dropped them."""
    minion = await _start_minion(harness)
    await harness.order('m1', checkpoint=CHECKPOINT)
    await harness.wait_for(is_task_running)
    minion.crash()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    before = await harness.wait_for(lambda report: report.minion_id == 'm2')
    await harness.stop_guard()
    harness.start_guard()
    report = await harness.wait_for(lambda report: report.token > before.token)
    assert [run.checkpoint for run in report.abandoned] == [CHECKPOINT]
