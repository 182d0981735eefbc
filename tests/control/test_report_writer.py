"""How long the end of a run waits for its report on a faulty store."""

import asyncio

import pytest

from dragonflynotch.control.guard import GuardLimits
from dragonflynotch.control.rows import REPORTS, RowName, RowWrite, shard_of
from dragonflynotch.core.errors import UncertainWriteError
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import EndKind, encode_row
from tests.control.test_guard import TASK, GuardHarness, is_task_running

NAME = RowName(REPORTS.name, shard_of('node'), 'node')
# The periodic write is as rare as in a deployment.
LIMITS = GuardLimits(minion_lease_ms=6000, authority_ms=12_000)


class HangingStore(MemoryRowStore):
    """Store that does not answer some writes of reports."""

    def __init__(self, clock):
        super().__init__(clock)
        self.lost_answers = 0
        self.are_applied = False

    async def commit(self, writes, conditions):
        if not self.lost_answers or writes[0].name != NAME:
            return await super().commit(writes, conditions)
        self.lost_answers -= 1
        if self.are_applied:
            await super().commit(writes, conditions)
        await asyncio.sleep(1.3)
        raise UncertainWriteError('lost', step='commit', peer='row store')


@pytest.fixture
async def harness():
    harness = GuardHarness(LIMITS)
    harness.store = HangingStore(harness.clock)
    harness.start_guard()
    yield harness
    await harness.stop_guard()


@pytest.fixture
async def minion(harness):
    """A minion on which the task runs."""
    model = harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    return model


async def test_end_does_not_wait_for_an_answer_that_is_lost(harness, minion):
    """An end that came during the call was written after 1.5 s and more."""
    harness.store.lost_answers = 1
    harness.send_heartbeat('m1', 2, capacity=(2000, 2000, 8))
    await asyncio.sleep(0.05)
    assert not harness.store.lost_answers
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended, limit_s=1)


async def test_write_that_took_effect_without_an_answer_is_no_loss(
    harness, minion
):
    """The version of the row is not known then."""
    harness.store.are_applied = True
    harness.store.lost_answers = 2
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended, limit_s=1)
    harness.send_heartbeat('m1', 2, is_draining=True)
    await harness.wait_for(lambda report: not report.is_ready, limit_s=2)


async def test_end_does_not_wait_after_a_conflict(harness, minion):
    """It waited for the next periodic write."""
    await asyncio.sleep(0.1)
    row = encode_row(await harness.report())
    await harness.store.commit([RowWrite(NAME, row)], [])
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended, limit_s=0.7)
