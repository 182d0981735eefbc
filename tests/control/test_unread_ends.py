"""Tests of ends that guards report while there is no leader."""

import asyncio

import pytest

from dragonflynotch.workflows.records import JobState
from tests.control.cluster import Cluster, tasks


@pytest.fixture
async def cluster():
    cluster = Cluster(duration_ms=300)
    cluster.start()
    yield cluster
    await cluster.stop()


@pytest.mark.parametrize('losses', [1, 2])
@pytest.mark.parametrize('is_gang', [False, True])
async def test_run_that_is_done_is_not_repeated_after_loss_of_power(
    cluster, is_gang, losses
):
    """An end in a report must not be lost when all machines lose power."""
    await cluster.submit('a', tasks(3, 4, is_gang=is_gang))
    await cluster.wait_for_starts(3)
    for name in ('a', 'b'):
        await cluster.kill(name)
    await asyncio.sleep(0.6)
    for loss in range(losses):
        for number in range(3):
            await cluster.power_off(f'n{number}', f'm{number}{"+" * loss}')
            cluster.add_minion(f'n{number}', f'm{number}{"+" * (loss + 1)}')
        await asyncio.sleep(0.3)
    cluster.start_candidate('c')
    await cluster.wait_for_state('a', JobState.completed)
    assert len(cluster.log.starts) == 3
