"""Writing the decisions of a round."""

import asyncio

from dragonflynotch.control.decision_writer import DecisionWriter
from dragonflynotch.control.leadership import Leadership
from dragonflynotch.control.rows import (
    PROGRESS,
    SCHEDULER_PART,
    SUBMISSIONS,
    RowName,
    RowWrite,
    order_row,
    shard_of,
)
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.scheduler import Decisions
from tests.control.cluster import LoopClock

EXPIRED_JOBS = [f'old{number}' for number in range(5)]


class SlowSubmissions(MemoryRowStore):
    """Store on which each change of a submission takes long."""

    async def commit(self, writes, conditions):
        if writes[0].name.table == SUBMISSIONS.name:
            await asyncio.sleep(0.3)
        return await super().commit(writes, conditions)


def progress_row(job_id):
    return RowName(PROGRESS.name, SCHEDULER_PART, job_id)


def submission_row(job_id):
    return RowName(SUBMISSIONS.name, shard_of(job_id), f'{job_id}/spec')


async def test_orders_do_not_wait_for_the_removal_of_expired_jobs():
    """On a slow store, orders expired before they were written."""
    clock = LoopClock()
    store = SlowSubmissions(clock)
    leadership = Leadership('a', store, clock)
    assert await leadership.try_claim()
    for job_id in EXPIRED_JOBS:
        await store.commit([RowWrite(submission_row(job_id), b'{}')], [])
        await store.commit([RowWrite(progress_row(job_id), b'{}')], [])
    decisions = Decisions(
        orders={('m0', 'a.0.0.0'): Order('', 1, 1500)},
        expired_jobs=EXPIRED_JOBS,
    )
    writer = DecisionWriter(store, leadership, clock)
    writing = asyncio.create_task(writer.write(decisions, {}))
    await asyncio.sleep(0.1)
    assert await store.read_row(order_row('m0', 'a.0.0.0'))
    # The submissions are deleted side by side.
    async with asyncio.timeout(1):
        await writing
    for job_id in EXPIRED_JOBS:
        assert await store.read_row(submission_row(job_id)) is None
        assert await store.read_row(progress_row(job_id)) is None
