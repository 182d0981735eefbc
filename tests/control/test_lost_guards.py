"""Replacing the reports of lost guards."""

import asyncio

from dragonflynotch.control.lost_guards import LostGuards
from dragonflynotch.control.rows import REPORTS, RowName, RowWrite, shard_of
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.records import (
    EarlierEnd,
    EndKind,
    Report,
    RunEnd,
    RunningTask,
    decode_row,
    encode_row,
)
from tests.control.cluster import LoopClock

NAME = RowName(REPORTS.name, shard_of('n0'), 'n0')


async def write_report(store, **fields):
    """Write a report and return the worker as the leader knows it."""
    report = Report('m0', 'planner', True, True, 0, 1, **fields)
    outcome = await store.commit([RowWrite(NAME, encode_row(report))], [])
    return Worker('n0', report, outcome.version, 0)


async def test_each_lost_guard_is_returned_once():
    """Runs ordered after the return of a guard must not count as lost."""
    store = MemoryRowStore(LoopClock())
    worker = await write_report(store)
    attempts = []
    guards = LostGuards(store, lambda: attempts.append(1))
    guards.void('n0', worker)
    guards.void('n0', worker)
    assert not guards.take_voided()
    await asyncio.sleep(0.01)
    assert guards.take_voided() == {'n0': worker}
    assert not guards.take_voided()
    assert len(attempts) == 1


async def test_guard_that_reports_again_is_not_lost():
    """A report written meanwhile gives the guard authority again."""
    store = MemoryRowStore(LoopClock())
    worker = await write_report(store)
    await write_report(store)
    guards = LostGuards(store, lambda: None)
    guards.void('n0', worker)
    await asyncio.sleep(0.01)
    assert not guards.take_voided()
    row = await store.read_row(NAME)
    assert decode_row(row.content, Report).minion_id == 'm0'


async def test_ends_and_checkpoints_outlast_the_report_of_a_lost_guard():
    """They were lost where the leader ended before it had recorded them."""
    store = MemoryRowStore(LoopClock())
    ended = RunEnd(2, 'j.0.0.1', 1, EndKind.done, '')
    earlier = EarlierEnd('m-1', RunEnd(1, 'j.0.0.0', 1, EndKind.done, ''))
    running = RunningTask('j.0.0.2', 1, 'checkpoint', 50)
    worker = await write_report(
        store, ended=[ended], earlier_ends=[earlier], running=[running]
    )
    guards = LostGuards(store, lambda: None)
    guards.void('n0', worker)
    await asyncio.sleep(0.01)
    assert guards.take_voided()
    report = decode_row((await store.read_row(NAME)).content, Report)
    assert report.earlier_ends == [earlier, EarlierEnd('m0', ended)]
    assert report.abandoned == [running]


async def test_report_with_many_ends_can_be_replaced():
    """A row that the store refuses for its size would end the term."""
    store = MemoryRowStore(LoopClock())
    ends = [
        RunEnd(number, f'j.0.0.{number}', 1, EndKind.stopped, 'c' * 99)
        for number in range(250)
    ]
    worker = await write_report(
        store, ended=ends, earlier_ends=[EarlierEnd('m', end) for end in ends]
    )
    guards = LostGuards(store, lambda: None)
    guards.void('n0', worker)
    await asyncio.sleep(0.01)
    assert guards.take_voided()
    row = await store.read_row(NAME)
    assert len(row.content) < 32_768
