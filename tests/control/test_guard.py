"""Tests of the guard: orders are carried out once and reported correctly."""

import asyncio

import pytest

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.guard import Guard, GuardLimits
from dragonflynotch.control.minions import (
    Heartbeat,
    NoAnswer,
    Stopped,
    Unhealthy,
)
from dragonflynotch.control.rows import (
    REPORTS,
    RowName,
    RowWrite,
    order_row,
    shard_of,
)
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.testing.minion_model import (
    MinionFault,
    MinionModel,
    ModelMinionClient,
    RunLog,
)
from dragonflynotch.testing.row_store import MemoryRowStore, StoreFault
from dragonflynotch.workflows.records import (
    EndKind,
    Order,
    Report,
    decode_row,
    encode_row,
)
from dragonflynotch.workflows.resources import Resources

TASK = 'j.0.0.0'
# Shorter leases than in a deployment, in the same ratio.
LIMITS = GuardLimits(minion_lease_ms=600, authority_ms=1500)


class LoopClock(SteadyClock):
    """Clock of the event loop."""

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)


class GuardHarness:
    """A guard with minion models and a store."""

    def __init__(self, limits=LIMITS):
        self.clock = LoopClock()
        self.limits = limits
        self.store = MemoryRowStore(self.clock)
        self.log = RunLog()
        self.models = {}
        self.guard = None
        self._task = None

    def add_minion(self, minion_id, **fields):
        model = MinionModel(minion_id, self.clock, self.log, **fields)
        self.models[minion_id] = model
        return model

    def start_guard(self):
        self.guard = Guard(
            'node',
            self.store,
            self.store.store_clock,
            self.clock,
            lambda heartbeat: ModelMinionClient(
                self.models[heartbeat.minion_id]
            ),
            self.limits,
        )
        self._task = asyncio.create_task(self.guard.run())

    async def stop_guard(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def send_heartbeat(
        self,
        minion_id,
        sequence=1,
        *,
        is_draining=False,
        remaining_ms=None,
        capacity=(1000, 1000, 8),
    ):
        self.guard.on_heartbeat(
            Heartbeat(
                minion_id,
                'planner',
                ('127.0.0.1', 1),
                sequence,
                is_draining,
                labels=('a', 'r1'),
                rack='r1',
                capacity=capacity,
                data_centre='hall-a',
                remaining_ms=remaining_ms,
            )
        )

    async def order(
        self, minion_id, run=1, *, window_ms=2000, task=TASK, **fields
    ):
        order = Order(
            'text',
            run,
            self.store.store_clock.earliest_ms() + window_ms,
            **fields,
        )
        await self.store.commit(
            [RowWrite(order_row(minion_id, task), encode_row(order))], []
        )

    async def remove_order(self, minion_id):
        await self.store.commit(
            [RowWrite(order_row(minion_id, TASK), None)], []
        )

    async def report(self):
        name = RowName(REPORTS.name, shard_of('node'), 'node')
        row = await self.store.read_row(name)
        return None if row is None else decode_row(row.content, Report)

    async def wait_for(self, condition, limit_s=3):
        async with asyncio.timeout(limit_s):
            while True:
                report = await self.report()
                if report is not None and condition(report):
                    return report
                await asyncio.sleep(0.01)


@pytest.fixture
async def harness():
    harness = GuardHarness()
    harness.start_guard()
    yield harness
    await harness.stop_guard()


@pytest.fixture
async def minion(harness):
    model = harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.wait_for(lambda report: report.minion_id == 'm1')
    return model


def is_task_running(report):
    return any(running.task == TASK for running in report.running)


async def test_order_is_started_and_its_end_reported(harness, minion):
    """A run is started, and its end is reported until it is recorded."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.finish(TASK, EndKind.done)
    report = await harness.wait_for(lambda report: report.ended)
    assert report.ended[0].kind is EndKind.done
    await harness.remove_order('m1')
    await harness.wait_for(lambda report: not report.ended)
    assert harness.log.starts == [(TASK, 1, 'm1')]


async def test_end_is_kept_until_it_is_recorded(harness, minion):
    """An end that the minion deletes too early would be lost."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    await asyncio.sleep(0.3)
    assert minion.poll(99, 0, 0).ended


async def test_log_tells_how_long_an_end_was_held(harness, minion, monkeypatch):
    """Where an end waited before its loss could not be told from the logs."""
    logged = {}
    monkeypatch.setattr(
        decision_log,
        'record',
        lambda event, **fields: logged.setdefault(event, fields),
    )
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.store.fault = StoreFault.down
    minion.finish(TASK, EndKind.done)
    await asyncio.sleep(0.5)
    backlog = harness.guard.end_backlog
    harness.store.fault = StoreFault.none
    await harness.wait_for(lambda report: report.ended)
    reported = logged['ends_reported']
    assert backlog.count == 1
    assert reported['ends'][0]['held_ms'] > backlog.oldest_ms > 300
    assert reported['attempts'] > 1
    assert logged['run_ended']['unseen_ms'] >= 0


async def test_start_without_response_cannot_take_effect_later(harness, minion):
    """A start applied late must not run the task twice at once."""
    minion.fault = MinionFault.late_starts
    await harness.order('m1', window_ms=400)
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'expired'
    minion.apply_deferred_starts()
    assert not harness.log.starts


@pytest.mark.parametrize('is_stopped', [False, True])
async def test_order_is_rejected_although_the_minion_refuses_to_stop(
    harness, minion, monkeypatch, is_stopped
):
    """An order without a run was held for as long as stops were refused."""

    async def refuse(*_):
        return Unhealthy()

    monkeypatch.setattr(ModelMinionClient, 'stop', refuse)
    minion.fault = MinionFault.late_starts
    await harness.order('m1', window_ms=600)
    await asyncio.sleep(0.3)
    if is_stopped:
        await harness.order('m1', window_ms=300, is_stopped=True)
    report = await harness.wait_for(lambda report: report.rejected, 1.5)
    expected = 'stopped' if is_stopped else 'expired'
    assert report.rejected[0].reason == expected
    minion.apply_deferred_starts()
    assert not harness.log.starts


async def test_start_is_repeated_before_its_call_times_out(
    harness, minion, monkeypatch
):
    """An order expired after two or three calls without a response."""
    start = ModelMinionClient.start
    calls = []

    async def lose_first(client, request, token):
        calls.append(request)
        if len(calls) == 1:
            await asyncio.sleep(0.6)
            return NoAnswer('no response')
        return await start(client, request, token)

    monkeypatch.setattr(ModelMinionClient, 'start', lose_first)
    await harness.order('m1', window_ms=500)
    await harness.wait_for(is_task_running)
    await asyncio.sleep(0.7)
    assert harness.log.starts == [(TASK, 1, 'm1')]
    assert not (await harness.report()).rejected


async def test_order_is_rejected_while_stops_are_not_answered(
    harness, minion, monkeypatch
):
    """Each stop without a response delayed the poll that would be enough."""

    async def stay_silent(*_):
        await asyncio.sleep(0.6)
        return NoAnswer('no response')

    monkeypatch.setattr(ModelMinionClient, 'stop', stay_silent)
    minion.fault = MinionFault.late_starts
    await harness.order('m1', window_ms=200)
    report = await harness.wait_for(lambda report: report.rejected, 0.7)
    assert report.rejected[0].reason == 'expired'
    minion.apply_deferred_starts()
    assert not harness.log.starts


async def test_order_is_not_rejected_while_an_earlier_guard_may_start_it(
    harness, minion, monkeypatch
):
    """A start of the earlier process took effect after the rejection."""

    async def refuse(*_):
        return Unhealthy()

    monkeypatch.setattr(ModelMinionClient, 'stop', refuse)
    minion.fault = MinionFault.late_starts
    await harness.order('m1', window_ms=1000)
    await asyncio.sleep(0.3)
    token = (await harness.report()).token
    await harness.stop_guard()
    await harness.order('m1', window_ms=700, is_stopped=True)
    window_end_ms = harness.store.store_clock.earliest_ms() + 700
    harness.start_guard()
    report = await harness.wait_for(
        lambda report: report.token > token and report.rejected
    )
    assert report.rejected[0].reason == 'stopped'
    assert harness.store.store_clock.latest_ms() > window_end_ms


async def test_start_with_lost_response_runs_once(harness, minion):
    """A repeated start call must not start a second run."""
    minion.fault = MinionFault.lose_answers
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    await asyncio.sleep(0.3)
    assert harness.log.starts == [(TASK, 1, 'm1')]
    assert not (await harness.report()).rejected


async def test_expired_order_is_not_started(harness, minion):
    """An order read late must not start a run that the scheduler gave up."""
    await harness.order('m1', window_ms=-1)
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'expired'
    assert not harness.log.starts


async def test_run_stopped_before_its_start_never_starts(harness, minion):
    """A stop before the start must reject the order."""
    await harness.order('m1', is_stopped=True)
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'stopped'
    assert not harness.log.starts


async def test_ordered_stop_ends_the_run(harness, minion):
    """A run must end soon after its stop was ordered."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    await harness.order('m1', is_stopped=True)
    report = await harness.wait_for(lambda report: report.ended)
    assert report.ended[0].kind is EndKind.stopped


async def test_run_without_an_order_is_stopped(harness, minion):
    """A run whose order was removed must not continue."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    await harness.remove_order('m1')
    await harness.wait_for(lambda report: not report.running)
    assert harness.log.ends == [(TASK, 1, 'stopped')]


async def test_run_survives_an_outage_of_the_store(harness, minion):
    """An outage shorter than the authority must not end runs."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.store.fault = StoreFault.down
    await asyncio.sleep(LIMITS.authority_ms / 1000 * 0.6)
    harness.store.fault = StoreFault.none
    await harness.wait_for(is_task_running)
    assert not harness.log.ends


async def test_run_ends_with_the_authority_of_its_guard(harness, minion):
    """Runs of a guard that cannot report must end with its authority."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.store.fault = StoreFault.down
    report = await _report_despite_fault(harness)
    await asyncio.sleep(0.05)
    while harness.store.store_clock.earliest_ms() < report.authority_end_ms:
        await asyncio.sleep(0.02)
    minion.advance()
    assert harness.log.ends == [(TASK, 1, 'lapsed')]


async def test_restarted_guard_keeps_its_run(harness, minion):
    """A restart of the guard must neither stop nor repeat a run."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    token = (await harness.report()).token
    await harness.stop_guard()
    harness.start_guard()
    await harness.wait_for(lambda report: report.token > token)
    await asyncio.sleep(LIMITS.minion_lease_ms / 1000)
    minion.advance()
    assert not harness.log.ends
    assert harness.log.starts == [(TASK, 1, 'm1')]


async def test_data_centre_is_reported_by_a_restarted_guard(harness, minion):
    """A worker without a data centre could not be evacuated or must be idle."""
    await harness.wait_for(lambda report: report.data_centre == 'hall-a')
    token = (await harness.report()).token
    await harness.stop_guard()
    harness.start_guard()
    report = await harness.wait_for(lambda report: report.token > token)
    assert report.data_centre == 'hall-a'


async def test_restarted_guard_keeps_the_old_report_at_first(harness, minion):
    """A guard must not drop the runs of a minion that it has not polled yet."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    await harness.stop_guard()
    minion.fault = MinionFault.cut
    harness.start_guard()
    await asyncio.sleep(0.3)
    assert (await harness.report()).minion_id == 'm1'


async def test_new_incarnation_replaces_the_old(harness, minion):
    """Runs of a crashed minion are reported as abandoned."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.crash()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert not report.running
    assert [running.task for running in report.abandoned] == [TASK]


@pytest.mark.parametrize('is_guard_replaced', [False, True])
async def test_reported_end_outlasts_its_minion(
    harness, minion, is_guard_replaced
):
    """An end that no leader has read must not be lost with its minion."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    if is_guard_replaced:
        await harness.stop_guard()
        harness.start_guard()
    minion.crash()
    for minion_id in ('m2', 'm3'):
        harness.add_minion(minion_id)
        harness.send_heartbeat(minion_id)
        report = await harness.wait_for(
            lambda report, minion_id=minion_id: report.minion_id == minion_id
        )
        [earlier] = report.earlier_ends
        assert earlier.minion_id == 'm1'
        assert (earlier.end.task, earlier.end.run) == (TASK, 1)
    await harness.remove_order('m1')
    await harness.wait_for(lambda report: not report.earlier_ends)


async def test_reported_end_outlasts_the_departure_of_its_minion(
    harness, minion
):
    """A minion that leaves must not take an unrecorded end with it."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    await harness.guard.on_departure('m1')
    report = await harness.wait_for(lambda report: not report.minion_id)
    assert [earlier.minion_id for earlier in report.earlier_ends] == ['m1']


async def test_crash_is_reported_with_the_runs_on_the_minion(harness, minion):
    """The scheduler cannot count crashes that it is not told of."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.crash()
    await asyncio.sleep(0.05)
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert [crash.minion_id for crash in report.crashes] == ['m1']
    assert [(run.task, run.run) for run in report.crashes[0].runs] == [
        (TASK, 1)
    ]
    assert harness.guard.minion_crashes == 1


async def test_crash_is_reported_by_a_restarted_guard(harness, minion):
    """A restart of the guard must not lose the count of crashes."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.crash()
    report = await harness.wait_for(lambda report: report.crashes)
    assert not report.crashes[0].is_certain
    await harness.stop_guard()
    harness.start_guard()
    harness.add_minion('m2')
    await asyncio.sleep(0.1)
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert [
        (crash.minion_id, crash.is_certain) for crash in report.crashes
    ] == [('m1', True)]


@pytest.mark.parametrize('is_departed', [False, True])
async def test_planned_end_is_not_reported_as_a_crash(
    harness, minion, is_departed
):
    """A planned stop of a minion must not count against its runs."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.send_heartbeat('m1', 2, is_draining=True, remaining_ms=0)
    if is_departed:
        await harness.guard.on_departure('m1')
    minion.crash()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert not report.crashes


async def test_minion_reborn_out_of_reach_is_not_reported_as_a_crash(
    harness, minion
):
    """What ended a minion that was cut off is not known."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.fault = MinionFault.cut
    await asyncio.sleep(0.2)
    minion.crash()
    harness.add_minion('m2')
    harness.send_heartbeat('m2')
    report = await harness.wait_for(lambda report: report.minion_id == 'm2')
    assert not report.crashes


async def test_delayed_heartbeat_of_a_crashed_minion_is_ignored(
    harness, minion
):
    """A late heartbeat must not restore an incarnation that has ended."""
    crashed = harness.add_minion('m0')
    crashed.crash()
    harness.send_heartbeat('m0')
    await asyncio.sleep(0.2)
    assert (await harness.report()).minion_id == 'm1'


async def test_minion_is_identified_after_an_error(harness, monkeypatch):
    """One unexpected error kept a minion unregistered for its whole life."""
    poll = ModelMinionClient.poll
    errors = [ValueError('unreadable response')]

    async def fail_once(*args):
        if errors:
            raise errors.pop()
        return await poll(*args)

    monkeypatch.setattr(ModelMinionClient, 'poll', fail_once)
    harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await asyncio.sleep(0.1)
    harness.send_heartbeat('m1', sequence=2)
    await harness.wait_for(lambda report: report.minion_id == 'm1')


async def test_report_tells_the_age_of_the_runs(harness, minion):
    """Progress that cannot be read must not look like a lack of progress."""
    minion.fault = MinionFault.cut
    await harness.wait_for(lambda report: report.runs_age_ms > 300)
    minion.fault = MinionFault.none
    await harness.wait_for(lambda report: report.runs_age_ms < 300)


async def test_report_tells_when_it_was_built(harness, minion):
    """A new leader must know the age of the reports that it loads."""
    before_ms = harness.store.store_clock.earliest_ms()
    await harness.wait_for(lambda report: report.built_ms > before_ms)
    report = await harness.report()
    assert report.built_ms <= harness.store.store_clock.latest_ms()


@pytest.mark.parametrize('is_crashed', [False, True])
async def test_minion_that_does_not_respond_gets_no_new_runs(
    harness, minion, is_crashed
):
    """Runs must not be ordered where nothing can start them."""
    await harness.wait_for(lambda report: report.accepts_runs)
    minion.is_crashed = is_crashed
    minion.fault = MinionFault.cut
    await harness.wait_for(lambda report: not report.accepts_runs, 0.4)
    assert (await harness.report()).is_live
    minion.is_crashed = False
    minion.fault = MinionFault.none
    await harness.wait_for(lambda report: report.accepts_runs, 0.4)


async def test_silent_minion_is_lost_only_after_its_lease(harness, minion):
    """An unreachable minion keeps its runs until its lease has expired."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    minion.fault = MinionFault.cut
    await harness.wait_for(lambda report: not report.is_live)
    minion.advance()
    assert harness.log.ends == [(TASK, 1, 'lapsed')]


@pytest.mark.parametrize(
    ('drain', 'is_lost'),
    [
        ({'is_draining': True, 'remaining_ms': 200}, True),
        ({'is_draining': True, 'remaining_ms': 5000}, False),
        ({'is_draining': True}, False),
        ({'is_draining': False}, False),
    ],
)
async def test_minion_that_ended_as_announced_is_lost(drain, is_lost):
    """Runs of a removed worker must not be held until the lease expires.

    A minion that no longer listens after the time that it announced has ended
    its runs. At any other time its port may be closed for another reason.
    """
    harness = GuardHarness(GuardLimits(6000, 15_000))
    harness.start_guard()
    minion = harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.wait_for(lambda report: report.minion_id == 'm1')
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    harness.send_heartbeat('m1', 2, **drain)
    minion.crash()
    if is_lost:
        await harness.wait_for(lambda report: not report.is_live)
    else:
        await asyncio.sleep(1)
        assert (await harness.report()).is_live
    await harness.stop_guard()


async def test_shut_down_minion_counts_again_if_it_responds(harness, minion):
    """A port that was closed for a moment must not end the session."""
    harness.send_heartbeat('m1', 2, is_draining=True, remaining_ms=0)
    minion.is_crashed = True
    await harness.wait_for(lambda report: not report.is_live)
    minion.is_crashed = False
    await harness.wait_for(lambda report: report.is_live)


async def test_stopped_guard_gives_up_its_authority():
    """A removed machine must not hold its runs for the whole authority.

    The authority that is left covers the leases that the minion has.
    """
    limits = GuardLimits(minion_lease_ms=600, authority_ms=15_000)
    harness = GuardHarness(limits)
    harness.start_guard()
    harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.wait_for(lambda report: report.minion_id == 'm1')
    await harness.stop_guard()
    await harness.guard.relinquish_authority()
    now_ms = harness.store.store_clock.earliest_ms()
    left_ms = (await harness.report()).authority_end_ms - now_ms
    assert 0 < left_ms <= limits.minion_lease_ms + 500


async def test_run_continues_when_its_guard_is_replaced(harness, minion):
    """A restart of the guard must not cost the run that it gave up."""
    await harness.order('m1')
    await harness.wait_for(is_task_running)
    await harness.stop_guard()
    await harness.guard.relinquish_authority()
    harness.start_guard()
    await asyncio.sleep(2 * LIMITS.minion_lease_ms / 1000)
    report = await harness.wait_for(is_task_running)
    assert report.authority_end_ms > harness.store.store_clock.latest_ms()
    assert not harness.log.ends


@pytest.mark.parametrize('fault', [StoreFault.down, StoreFault.silent])
async def test_guard_stops_while_the_store_is_away(harness, minion, fault):
    """A planned stop must not wait for a store that does not respond."""
    harness.store.fault = fault
    await harness.stop_guard()
    async with asyncio.timeout(2):
        await harness.guard.relinquish_authority()


async def test_changed_capacity_is_reported_at_once(harness, minion):
    """The scheduler must not place runs by a capacity that has shrunk."""
    harness.send_heartbeat('m1', 2, capacity=(500, 1000, 4))
    report = await harness.wait_for(
        lambda report: report.capacity == (500, 1000, 4), 0.2
    )
    assert report.resources == Resources(500, 1000, 4)


async def test_run_that_no_longer_fits_is_not_started(harness, minion):
    """A minion that does not check its room would be overloaded."""
    await harness.order('m1', needs=(600, 100, 4))
    await harness.wait_for(is_task_running)
    harness.send_heartbeat('m1', 2, capacity=(1000, 1000, 5))
    await harness.order('m1', task='k.0.0.0', needs=(100, 100, 2))
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'room'
    assert harness.log.starts == [(TASK, 1, 'm1')]


async def test_runs_started_together_do_not_exceed_the_room(harness, minion):
    """Calls that are under way already take up room."""
    for index in range(4):
        await harness.order('m1', task=f'k.0.0.{index}', needs=(0, 0, 4))
    await harness.wait_for(lambda report: len(report.rejected) == 2)
    assert len(harness.log.starts) == 2


async def test_stopping_run_holds_its_room(harness, minion):
    """The room of a run that is being stopped is free once it has ended."""
    await harness.order('m1', needs=(0, 0, 8))
    await harness.wait_for(is_task_running)
    minion.stop = lambda *_: Stopped(minion.clock_ms)
    await harness.order('m1', needs=(0, 0, 8), is_stopped=True)
    await asyncio.sleep(0.1)
    await harness.order('m1', task='k.0.0.0', needs=(0, 0, 1))
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'room'


async def test_room_is_free_after_the_end_of_a_run(harness, minion):
    """A run that ended must not block the worker."""
    await harness.order('m1', needs=(0, 0, 8))
    await harness.wait_for(is_task_running)
    minion.finish(TASK, EndKind.done)
    await harness.wait_for(lambda report: report.ended)
    await harness.order('m1', task='k.0.0.0', needs=(0, 0, 8))
    await harness.wait_for(lambda report: len(harness.log.starts) == 2)


async def test_run_without_order_holds_its_room(harness, minion):
    """A run whose order is gone is at the minion until it has been stopped."""
    await harness.order('m1', needs=(0, 0, 8))
    await harness.wait_for(is_task_running)
    minion.stop = lambda *_: Stopped(minion.clock_ms)
    await harness.remove_order('m1')
    await asyncio.sleep(0.1)
    await harness.order('m1', task='k.0.0.0', needs=(0, 0, 1))
    report = await harness.wait_for(lambda report: report.rejected)
    assert report.rejected[0].reason == 'room'


async def test_draining_minion_starts_nothing(harness, minion):
    """A draining minion must get no new runs."""
    harness.send_heartbeat('m1', 2, is_draining=True)
    await harness.order('m1')
    report = await harness.wait_for(lambda report: report.rejected)
    assert not report.is_ready
    assert not harness.log.starts


async def test_new_run_survives_the_end_of_its_guard(harness, minion):
    """A guard that fails right after a start must not end the run.

    The lease sent with a start may be short, so the minion must have been
    granted its full lease before.
    """
    await harness.order('m1', window_ms=100)
    async with asyncio.timeout(2):
        while not harness.log.starts:
            await asyncio.sleep(0.002)
    await harness.stop_guard()
    await asyncio.sleep(0.3)
    minion.advance()
    assert not harness.log.ends


async def _report_despite_fault(harness):
    fault = harness.store.fault
    harness.store.fault = StoreFault.none
    report = await harness.report()
    harness.store.fault = fault
    return report


_original_poll = ModelMinionClient.poll


async def _slow_poll(client, *arguments):
    await asyncio.sleep(0.02)
    return await _original_poll(client, *arguments)


async def test_restarted_guard_keeps_a_run_whose_window_has_passed(
    harness, monkeypatch
):
    """An order must not be rejected before the minion was polled for its runs.

    Regression test: a change of the orders between the registration of the
    minion and the first response to a poll made a restarted guard reject runs
    that were present, and these were started elsewhere as well. First seen on
    rwl-sched-grown (trouble-3, seed 516410226001).
    """
    harness.add_minion('m1')
    harness.send_heartbeat('m1')
    await harness.order('m1', window_ms=200)
    await harness.wait_for(is_task_running)
    await harness.stop_guard()
    await asyncio.sleep(0.2)
    monkeypatch.setattr(ModelMinionClient, 'poll', _slow_poll)
    harness.start_guard()
    other = order_row('m2', 'other.0.0.0')
    order = encode_row(Order('text', 1, 0))
    for _ in range(200):
        await harness.store.commit([RowWrite(other, order)], [])
        assert not (await harness.report()).rejected
        await asyncio.sleep(0.002)
    assert not harness.log.ends


async def test_report_carries_the_notice_until_it_is_withdrawn(harness):
    """The scheduler must know when a worker leaves, and that it stays."""
    harness.add_minion('m')
    harness.send_heartbeat('m')
    await harness.wait_for(lambda report: report.is_ready)
    latest_ms = harness.store.store_clock.latest_ms() + 5500
    harness.send_heartbeat('m', 2, is_draining=True, remaining_ms=5500)
    # Well before the next periodic report.
    report = await harness.wait_for(lambda report: report.leaves_at_ms, 0.2)
    assert not report.is_ready
    assert latest_ms - 100 < report.leaves_at_ms <= latest_ms + 20
    harness.send_heartbeat('m', 3)
    report = await harness.wait_for(lambda report: report.is_ready, 0.2)
    assert report.leaves_at_ms is None


async def test_restarted_guard_keeps_the_notice(harness):
    """Reports between the restart and the next heartbeat must not drop it."""
    harness.add_minion('m')
    harness.send_heartbeat('m', 1, is_draining=True, remaining_ms=5500)
    before = await harness.wait_for(lambda report: report.leaves_at_ms)
    await harness.stop_guard()
    harness.start_guard()
    after = await harness.wait_for(
        lambda report: report.token > before.token and report.minion_id
    )
    assert after.leaves_at_ms is not None
    assert abs(after.leaves_at_ms - before.leaves_at_ms) < 100


async def test_heartbeats_of_one_notice_do_not_rewrite_the_report(harness):
    """A write for each heartbeat would load the store."""
    harness.add_minion('m')
    harness.send_heartbeat('m', 1, is_draining=True, remaining_ms=5500)
    await harness.wait_for(lambda report: report.leaves_at_ms)
    writes = []
    commit = harness.store.commit

    async def count_commit(*args):
        writes.append(args)
        return await commit(*args)

    harness.store.commit = count_commit
    for number in range(10):
        await asyncio.sleep(0.02)
        harness.send_heartbeat(
            'm', 2 + number, is_draining=True, remaining_ms=5480 - 20 * number
        )
    assert len(writes) <= 2
