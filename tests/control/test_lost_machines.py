"""Tests of lost machines with schedulers, guards and minions together."""

import asyncio

import pytest

from dragonflynotch.control.crash_status import read_suspected_tasks
from dragonflynotch.control.guard import GuardLimits
from dragonflynotch.control.row_cleanup import void_report
from dragonflynotch.control.rows import REPORTS, RowName, RowWrite, shard_of
from dragonflynotch.testing.minion_model import MinionFault
from dragonflynotch.workflows.crash_records import MinionCrash
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import Report, decode_row, encode_row
from tests.control.cluster import Cluster, tasks

# As in the deployment, where the rule allows 3 s without a run.
LIMITS = GuardLimits(minion_lease_ms=5700, authority_ms=15_000)
MAX_IDLE_S = 3
# From the crash of a minion to the report of its guard, at most.
REPORT_DELAY_S = 0.8


@pytest.fixture
async def cluster():
    cluster = Cluster(duration_ms=60_000, limits=LIMITS)
    cluster.start()
    yield cluster
    await cluster.stop()


async def _start_on_one_machine(cluster):
    """Start a job that fills a machine; return its node and minion."""
    await cluster.submit('a', tasks(2, 2, max_per_worker=2))
    await cluster.wait_for_starts(2)
    [minion_id] = {start[2] for start in cluster.log.starts}
    return f'n{minion_id[1:]}', minion_id


async def test_runs_of_a_machine_without_power_start_elsewhere(cluster):
    """A job must not wait for the authority of a guard without a minion."""
    node, minion_id = await _start_on_one_machine(cluster)
    await cluster.power_off(node, minion_id)
    await cluster.wait_for_starts(4, limit_s=MAX_IDLE_S)
    assert minion_id not in {start[2] for start in cluster.log.starts[2:]}


async def test_runs_of_a_removed_machine_start_elsewhere(cluster):
    """A machine that left the list for good must count as lost too."""
    node, minion_id = await _start_on_one_machine(cluster)
    await cluster.power_off(node, minion_id)
    cluster.machines.remove(node)
    await cluster.wait_for_starts(4, limit_s=MAX_IDLE_S)


async def test_machine_that_returns_soon_keeps_no_run(cluster):
    """The list with the next minion must end the runs of the previous one."""
    node, minion_id = await _start_on_one_machine(cluster)
    await cluster.power_off(node, minion_id)
    cluster.machines.start(node, 'planner', 'next')
    await cluster.wait_for_starts(4, limit_s=MAX_IDLE_S)


async def test_runs_start_elsewhere_after_a_takeover(cluster):
    """A new leader must find a machine that was lost with the old one."""
    node, minion_id = await _start_on_one_machine(cluster)
    await cluster.power_off(node, minion_id)
    await cluster.kill(cluster.current_leader())
    await cluster.wait_for_starts(4, limit_s=4 + MAX_IDLE_S)


async def test_machine_that_is_cut_off_keeps_its_runs(cluster):
    """A run must not start elsewhere while it may go on where it is."""
    node, minion_id = await _start_on_one_machine(cluster)
    cluster.models[minion_id].fault = MinionFault.cut
    await cluster.kill(node)
    await asyncio.sleep(2 * MAX_IDLE_S)
    assert cluster.machines.call_count > 1
    assert len(cluster.log.starts) == 2


async def test_suspected_crash_counts_once_the_machine_is_lost(cluster):
    """A task must not crash minions uncounted, nor wait for the authority."""
    node, minion_id = await _start_on_one_machine(cluster)
    cluster.models[minion_id].crash()
    await asyncio.sleep(REPORT_DELAY_S)
    await cluster.power_off(node, minion_id)
    await cluster.wait_for_starts(4, limit_s=MAX_IDLE_S)
    suspects = await read_suspected_tasks(cluster.store)
    assert [
        [crash.minion_id for crash in suspect.crashes] for suspect in suspects
    ] == [[minion_id], [minion_id]]


async def test_failing_list_changes_nothing(cluster):
    """A list that cannot be read must not make a minion seem absent."""
    cluster.machines.is_available = False
    node, minion_id = await _start_on_one_machine(cluster)
    await cluster.power_off(node, minion_id)
    await asyncio.sleep(2 * MAX_IDLE_S)
    assert cluster.machines.call_count > 1
    assert len(cluster.log.starts) == 2
    assert await cluster.submit('b', tasks(1))
    await cluster.wait_for_starts(3)
    cluster.machines.is_available = True
    await cluster.wait_for_starts(5, limit_s=MAX_IDLE_S)
    assert not cluster.log.overlapping_tasks


async def test_list_of_other_minions_changes_nothing(cluster):
    """A list without the minions that report must prove nothing."""
    node, minion_id = await _start_on_one_machine(cluster)
    for number in range(3):
        cluster.machines.start(f'n{number}', 'planner', f'other-{number}')
    await cluster.power_off(node, minion_id)
    await asyncio.sleep(2 * MAX_IDLE_S)
    assert cluster.machines.call_count > 1
    assert len(cluster.log.starts) == 2


async def test_idle_deployment_asks_for_no_list(cluster):
    """The platform's limit on reads must not be used up without a reason."""
    await _start_on_one_machine(cluster)
    await asyncio.sleep(MAX_IDLE_S)
    assert cluster.machines.call_count == 0


async def test_voided_report_keeps_the_crashes_of_its_guard(store):
    """The task that crashed a minion must be known after a guard's restart."""
    crash = MinionCrash('m0', 5, [], is_certain=False)
    report = Report('m0', 'planner', True, True, 9, 3, crashes=[crash])
    name = RowName(REPORTS.name, shard_of('n0'), 'n0')
    written = await store.commit([RowWrite(name, encode_row(report))], [])
    worker = Worker('n0', report, written.version, 0)
    assert await void_report(store, worker)
    row = await store.read_row(name)
    voided = decode_row(row.content, Report)
    assert (voided.minion_id, voided.crashes) == ('', [crash])


async def test_voided_report_confirms_the_crash_of_an_ended_minion(store):
    """The next leader must count a crash whose orders are removed already."""
    crashes = [
        MinionCrash(minion_id, 5, [], is_certain=False)
        for minion_id in ('m0', 'other')
    ]
    report = Report('m0', 'planner', True, True, 9, 3, crashes=crashes)
    name = RowName(REPORTS.name, shard_of('n0'), 'n0')
    written = await store.commit([RowWrite(name, encode_row(report))], [])
    worker = Worker('n0', report, written.version, 0)
    assert await void_report(store, worker, has_minion_ended=True)
    row = await store.read_row(name)
    voided = decode_row(row.content, Report)
    assert [crash.is_certain for crash in voided.crashes] == [True, False]
