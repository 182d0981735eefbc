"""Workers that leave, with the scheduler, the guards and failures together."""

import asyncio

import pytest

from tests.control.cluster import Cluster, tasks

# Longer than the takeover of the lease and the stop of a run.
NOTICE_MS = 6000


@pytest.fixture
async def cluster():
    cluster = Cluster(duration_ms=60_000)
    cluster.start()
    yield cluster
    await cluster.stop()


async def _start_gang(cluster, **fields):
    """Start a gang of two on two of three workers."""
    await cluster.submit('a', tasks(2, 4, is_gang=True, **fields))
    await cluster.wait_for_starts(2)
    return cluster.log.starts[0][2]


def _announce_departure(cluster, minion_id):
    cluster.send_heartbeat(
        minion_id.replace('m', 'n'),
        minion_id,
        is_draining=True,
        remaining_ms=NOTICE_MS,
    )


async def _expect_gang_elsewhere(cluster, leaving):
    await cluster.wait_for_starts(4, limit_s=NOTICE_MS / 1000 + 2)
    assert leaving not in {minion for _, _, minion in cluster.log.starts[2:]}
    assert not cluster.log.overlapping_tasks
    assert len(cluster.log.starts) == 4


async def test_gang_of_a_leaving_worker_moves_as_a_whole(cluster):
    """Members that stay behind would be lost with the one that leaves."""
    leaving = await _start_gang(cluster, has_checkpoints=True)
    _announce_departure(cluster, leaving)
    await _expect_gang_elsewhere(cluster, leaving)


async def test_new_leader_moves_the_gang(cluster):
    """A leader that dies right after the notice must not cost the gang."""
    leaving = await _start_gang(cluster, has_checkpoints=True)
    _announce_departure(cluster, leaving)
    scheduling = [
        name for name, leader in cluster.leaders.items() if leader.is_scheduling
    ]
    assert len(scheduling) == 1
    await cluster.kill(scheduling[0])
    await _expect_gang_elsewhere(cluster, leaving)


async def test_unknown_remaining_time_moves_nothing(cluster):
    """A draining worker without a readable notice may stay for long."""
    leaving = await _start_gang(cluster, has_checkpoints=True)
    cluster.send_heartbeat(leaving.replace('m', 'n'), leaving, is_draining=True)
    await asyncio.sleep(1)
    assert len(cluster.log.starts) == 2
