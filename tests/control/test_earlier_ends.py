"""Ends of runs that outlast their minion or the process of their guard."""

import asyncio

import pytest

from dragonflynotch.control.earlier_ends import EarlierEnds
from dragonflynotch.control.rows import REPORTS, RowName, RowWrite, shard_of
from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.testing import minion_model
from dragonflynotch.testing.minion_model import MinionFault
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    Report,
    RunEnd,
    decode_row,
    encode_row,
)
from tests.control.test_guard import TASK, GuardHarness, is_task_running

OTHER_TASK = 'j.0.0.1'
NAME = RowName(REPORTS.name, shard_of('node'), 'node')


class RecordingStore(MemoryRowStore):
    """Store that keeps all written reports, and may not deliver orders."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reports = []
        self.hides_orders = False

    async def read(self, table, part, first='', last=''):
        self._check(table)
        return await super().read(table, part, first, last)

    async def changes(self, table, after, wait):
        self._check(table)
        return await super().changes(table, after, wait)

    async def commit(self, writes, conditions):
        for write in writes:
            if write.name == NAME:
                self.reports.append(decode_row(write.content, Report))
        return await super().commit(writes, conditions)

    def _check(self, table):
        if self.hides_orders and table.startswith('orders'):
            raise PlatformUnavailableError('down', step='read', peer='store')


@pytest.fixture
async def harness():
    harness = GuardHarness()
    harness.store = RecordingStore(harness.clock)
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


def listed_ends(report):
    """Return minion, task and run of all ends in a report."""
    return {(report.minion_id, end.task, end.run) for end in report.ended} | {
        (earlier.minion_id, earlier.end.task, earlier.end.run)
        for earlier in report.earlier_ends
    }


async def replace_minion(harness, minion):
    """Crash a minion and return the report about the next one."""
    minion.crash()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    return await harness.wait_for(lambda report: report.minion_id == 'm2')


async def test_first_report_of_a_restarted_guard_lists_the_known_ends(
    harness, minion, monkeypatch
):
    """An end was missing in the row until the first poll had returned."""
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    await harness.stop_guard()
    harness.store.reports.clear()
    monkeypatch.setattr(minion_model, '_POLL_S', 0.1)
    harness.start_guard()
    await asyncio.sleep(0.5)
    assert harness.store.reports
    assert all(
        ('m1', TASK, 1) in listed_ends(report)
        for report in harness.store.reports
    )


async def test_end_in_a_late_write_of_an_earlier_process_is_kept(
    harness, minion
):
    """The row may change after the next process of the guard has read it."""
    before = await harness.report()
    await harness.stop_guard()
    minion.crash()
    harness.start_guard()
    await asyncio.sleep(0.1)
    before.ended = [RunEnd(1, TASK, 1, EndKind.done, '')]
    await harness.store.commit([RowWrite(NAME, encode_row(before))], [])
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert listed_ends(report) == {('m1', TASK, 1)}


async def test_end_is_kept_before_its_order_has_been_read(harness, minion):
    """A guard that has read no orders cannot tell which ends are recorded."""
    await harness.stop_guard()
    minion.finish(TASK, EndKind.done)
    harness.store.hides_orders = True
    harness.start_guard()
    await asyncio.sleep(0.2)
    report = await replace_minion(harness, minion)
    assert listed_ends(report) == {('m1', TASK, 1)}
    harness.store.hides_orders = False
    await harness.remove_order('m1')
    await harness.wait_for(lambda report: not report.earlier_ends)


async def test_last_end_of_a_departing_minion_is_reported(harness, minion):
    """Between two polls, a minion that left took its last ends with it."""
    await harness.order('m1', task=OTHER_TASK)
    await harness.wait_for(lambda report: len(report.running) > 1)
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    await asyncio.sleep(0.05)
    minion.finish(OTHER_TASK, EndKind.done)
    await harness.guard.on_departure('m1')
    minion.crash()
    report = await harness.wait_for(lambda report: not report.minion_id)
    assert listed_ends(report) == {('m1', TASK, 1), ('m1', OTHER_TASK, 1)}


async def test_last_end_of_a_departing_minion_is_logged_as_reported(
    harness, minion, monkeypatch
):
    """The log said that its guard could not write it."""
    logged = []
    monkeypatch.setattr(
        decision_log,
        'record',
        lambda event, **fields: logged.append((event, fields)),
    )
    minion.finish(TASK, EndKind.done)
    await harness.guard.on_departure('m1')
    await harness.wait_for(lambda report: not report.minion_id)
    [fields] = [fields for event, fields in logged if event == 'ends_reported']
    assert [end['task'] for end in fields['ends']] == [TASK]


async def test_departure_of_a_silent_minion_is_reported_soon(harness, minion):
    """The runs of a minion that left can start elsewhere at once."""
    minion.fault = MinionFault.cut
    await harness.guard.on_departure('m1')
    await harness.wait_for(lambda report: not report.minion_id, limit_s=0.6)


async def test_checkpoints_outlast_the_departure_of_their_minion(
    harness, minion
):
    """A run would start anew where no leader has read its checkpoint."""
    await harness.guard.on_departure('m1')
    report = await harness.wait_for(lambda report: not report.minion_id)
    assert [running.task for running in report.abandoned] == [TASK]


def test_ends_beyond_the_bound_are_reported_later():
    """A row that the store refuses for its size would end the authority."""
    orders = {f'j.0.0.{number}': Order('', 1, 0) for number in range(500)}
    ends = EarlierEnds()
    ends.add(
        'm1',
        [
            RunEnd(number, task, 1, EndKind.stopped, 'c' * 1000)
            for number, task in enumerate(orders)
        ],
    )

    def unrecorded():
        return ends.unrecorded(lambda _, task: orders.get(task), lambda _: True)

    first = unrecorded()
    assert first[0].end.number == 0
    assert (
        len(encode_row(Report('', '', False, False, 0, 0, earlier_ends=first)))
        < 32_768
    )
    for earlier in first:
        del orders[earlier.end.task]
    assert unrecorded()[0].end.number == len(first)
