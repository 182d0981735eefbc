"""Entries, scheduler and guards together, under failure."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.control.rows import REPORTS, RowName, RowWrite, shard_of
from dragonflynotch.control.submissions import Accepted
from dragonflynotch.testing.minion_model import MinionFault
from dragonflynotch.testing.row_store import StoreFault
from dragonflynotch.workflows.records import JobState
from tests.control.cluster import Cluster, tasks


@pytest.fixture
async def cluster():
    cluster = Cluster()
    cluster.start()
    yield cluster
    await cluster.stop()


async def test_job_runs_from_submission_to_completion(cluster):
    """The whole path of a job of two steps."""
    assert await cluster.submit('a', tasks(3), tasks(2, after=(0,)))
    await cluster.wait_for_state('a', JobState.completed)
    assert len(cluster.log.starts) == 5
    assert not cluster.log.overlaps


async def test_takeover_repeats_nothing(cluster):
    """The loss of the scheduler must not cost or repeat a run."""
    await cluster.submit('a', tasks(4, 2))
    await cluster.wait_for_starts(4)
    await cluster.kill('a')
    await cluster.submit('b', tasks(2))
    await cluster.wait_for_state('a', JobState.completed)
    await cluster.wait_for_state('b', JobState.completed)
    assert len(cluster.log.starts) == 6
    assert not cluster.log.overlaps


async def test_waiting_jobs_start_soon_after_the_loss_of_the_scheduler(
    cluster,
):
    """The stated bound: starts go on within 4 s."""
    await cluster.submit('a', tasks(1))
    await cluster.wait_for_state('a', JobState.completed)
    await cluster.kill('a')
    await cluster.submit('b', tasks(1))
    await cluster.wait_for_starts(2, limit_s=4)


async def test_lost_guard_frees_its_tasks_after_its_authority(cluster):
    """Tasks of a lost machine must start elsewhere, but not too early."""
    await cluster.submit('a', tasks(3, 4))
    await cluster.wait_for_starts(3)
    for number in range(3):
        cluster.models[f'm{number}'].fault = MinionFault.cut
    await cluster.kill('n0')
    await cluster.kill('n1')
    await cluster.kill('n2')
    for number in range(3, 6):
        cluster.add_minion(f'n{number}', f'm{number}')
    cluster.models['m0'].advance()
    await _advance_until(cluster, 6)
    assert not cluster.log.overlaps
    await cluster.wait_for_state('a', JobState.completed)


async def test_submissions_during_an_outage_are_kept_or_refused(cluster):
    """What was accepted runs once; what was refused never runs."""
    await cluster.submit('a', tasks(1))
    await cluster.wait_for_state('a', JobState.completed)
    accepted = set()
    for number, fault in enumerate(
        (
            StoreFault.down,
            StoreFault.lose_answers,
            StoreFault.late,
            StoreFault.none,
        )
    ):
        cluster.store.fault = fault
        outcome = await cluster.submit(f'j{number}', tasks(1))
        if outcome == Accepted():
            accepted.add(f'j{number}')
    cluster.store.apply_late()
    cluster.store.fault = StoreFault.none
    for job_id in accepted:
        await cluster.wait_for_state(job_id, JobState.completed)
    await asyncio.sleep(0.5)
    started = {task.partition('.')[0] for task, _, _ in cluster.log.starts}
    assert 'j0' not in started
    assert accepted <= started
    assert not cluster.log.overlaps


async def test_cancelled_job_is_gone(cluster):
    """Nothing of a cancelled job may run on."""
    for model in cluster.models.values():
        model.fault = MinionFault.none
    await cluster.submit('a', tasks(2))
    await cluster.wait_for_starts(2)
    assert await cluster.submissions.cancel('a', _second()) == Accepted()
    await cluster.wait_for_state('a', JobState.cancelled)
    await asyncio.sleep(0.5)
    assert not any(cluster.log.active.values())


async def test_unreadable_rows_change_nothing(cluster):
    """Bytes of another writer must not end a process or hide other rows."""
    for key in ('x/spec', 'y/spec', 'z/cancel'):
        name = RowName('submissions', shard_of(key), key)
        await cluster.store.commit([RowWrite(name, b'\xff{"steps":[]')], [])
    name = RowName(REPORTS.name, shard_of('alien'), 'alien')
    await cluster.store.commit([RowWrite(name, b'[1]')], [])
    hollow = (
        b'{"queue":"q","workspace":"","service":"","payload":"","steps":[]}'
    )
    name = RowName('submissions', shard_of('w'), 'w/spec')
    await cluster.store.commit([RowWrite(name, hollow)], [])
    await cluster.submit('a', tasks(1))
    await cluster.wait_for_state('a', JobState.completed)


async def test_cut_off_minion_is_replaced(cluster):
    """A task on a minion that cannot be reached must start elsewhere."""
    await cluster.submit('a', tasks(1))
    await cluster.wait_for_starts(1)
    cluster.models[cluster.log.starts[0][2]].fault = MinionFault.cut
    await _advance_until(cluster, 2)
    assert not cluster.log.overlaps


async def _advance_until(cluster, starts):
    """Let cut-off minions keep their time until tasks start elsewhere."""
    async with asyncio.timeout(15):
        while len(cluster.log.starts) < starts:
            for model in cluster.models.values():
                model.advance()
            await asyncio.sleep(0.01)


def _second():
    return timedelta(seconds=1)
