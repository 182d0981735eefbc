"""Tasks that crash each minion that starts them, with guards and schedulers."""

import asyncio

import pytest

from dragonflynotch.control.crash_status import read_suspected_tasks
from dragonflynotch.platform.crashes import describe_task
from dragonflynotch.workflows.records import JobState
from tests.control.cluster import Cluster, tasks

# Three crashes, and two more starts of a task under which minions crashed.
MAX_STARTS = 5
BAD_TASK = 'bad.0.0.0'


@pytest.fixture
async def cluster():
    cluster = Cluster()
    cluster.log.crashing_tasks.add(BAD_TASK)
    cluster.start()
    restarts = asyncio.create_task(cluster.restart_crashed_minions())
    yield cluster
    restarts.cancel()
    await cluster.stop()


def count_starts(cluster):
    return sum(task == BAD_TASK for task, _, _ in cluster.log.starts)


async def wait_for_starts(cluster, count):
    async with asyncio.timeout(15):
        while count_starts(cluster) < count:
            await asyncio.sleep(0.01)


async def test_task_that_crashes_minions_is_given_up(cluster):
    """A task must not crash one minion after another without end."""
    await cluster.submit('bad', tasks(1))
    await cluster.submit('good', tasks(6))
    await cluster.wait_for_state('bad', JobState.failed)
    await cluster.wait_for_state('good', JobState.completed)
    await asyncio.sleep(0.5)
    assert count_starts(cluster) <= MAX_STARTS


async def test_operator_sees_the_task_with_its_workers(cluster):
    """An operator must find the task that crashes workers."""
    await cluster.submit('bad', tasks(1))
    await cluster.wait_for_state('bad', JobState.failed)
    (found,) = await read_suspected_tasks(cluster.store)
    assert found.task == BAD_TASK
    assert found.job_state is JobState.failed
    minions = [minion for _, _, minion in cluster.log.starts]
    assert [crash.minion_id for crash in found.crashes] == minions
    assert {crash.node for crash in found.crashes} <= {'n0', 'n1', 'n2'}
    lines = describe_task(found, found.crashes[0].at_ms + 1500)
    assert lines[0] == f'{BAD_TASK}: failed, {len(minions)} crashes'
    assert lines[1].startswith('  1.5 s ago: run 1 on n')


async def test_crashes_are_counted_across_takeovers(cluster):
    """A new leader must not start the count of crashes anew."""
    await cluster.submit('bad', tasks(1))
    for crashes in (1, 2):
        await wait_for_starts(cluster, crashes)
        leader = cluster.current_leader()
        await cluster.kill(leader)
        cluster.start_candidate(leader)
    await cluster.wait_for_state('bad', JobState.failed)
    assert count_starts(cluster) <= MAX_STARTS
