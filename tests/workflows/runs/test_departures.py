"""What becomes of runs on workers that leave."""

import pytest

from dragonflynotch.workflows.evacuation import EvacuationRequests
from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.records import EndKind, Order, RunningTask
from dragonflynotch.workflows.runs.departures import (
    DepartureAction,
    RunOutlook,
    choose_action,
)
from dragonflynotch.workflows.scheduler import SchedulerSettings
from tests.workflows.site import SERVICE, Site

STOP_DELAY_MS = 900
NOTICE_MS = 5500


@pytest.fixture
def site():
    return Site(racks=('r1',) * 4)


def _step(count=1, *, accelerators=8, **fields):
    return StepSpec(count, 1000, 1000, accelerators, 20_000, **fields)


def _gang(count=2, **fields):
    return _step(count, is_gang=True, **fields)


def _leave(site, *minions, notice_ms=NOTICE_MS, **fields):
    """Report the notice of some workers; the others report as usual."""
    leaves_at_ms = site.now_ms + notice_ms
    for minion in minions:
        site.report(
            minion.replace('m', 'n'),
            is_ready=False,
            leaves_at_ms=leaves_at_ms,
            **fields,
        )


def _run_for(site, seconds, percent_by_second):
    """Run all ordered tasks; each report shows some more percent."""
    for second in range(1, seconds + 1):
        site.now_ms += 1000
        running = {}
        for (minion, name), order in site.orders.items():
            running.setdefault(minion, []).append(
                RunningTask(name, order.run, '', second * percent_by_second)
            )
        for node, (minion, *_) in site.incarnations.items():
            site.report(node, running=running.get(minion, []))
        site.decide()


def _stopped(site):
    return sorted(
        name for (_, name), order in site.orders.items() if order.is_stopped
    )


def _outlook(**fields):
    values = {
        'leaves_at_ms': 10_000,
        'last_stop_ms': 10_000 - STOP_DELAY_MS,
        'expected_end_ms': 40_000,
        'has_progress': True,
        'has_checkpoints': True,
        'is_gang': True,
    }
    return RunOutlook(**{**values, **fields})


@pytest.mark.parametrize(
    ('fields', 'now_ms', 'action'),
    [
        # Ends before its worker leaves.
        ({'expected_end_ms': 9_900}, 5_000, DepartureAction.keep_running),
        ({'expected_end_ms': 9_900}, 9_500, DepartureAction.keep_running),
        # Nothing else may use its room until it must be saved.
        ({}, 5_000, DepartureAction.keep_running),
        ({'expected_end_ms': None}, 5_000, DepartureAction.keep_running),
        # The checkpoint can only just be saved.
        ({}, 9_100, DepartureAction.save),
        ({'expected_end_ms': None}, 9_100, DepartureAction.save),
        # Stays after its notice: saved, unless a stop takes as long.
        ({}, 20_000, DepartureAction.save),
        ({'expected_end_ms': 20_500}, 20_000, DepartureAction.keep_running),
        # Without checkpoints all work done would be lost.
        ({'has_checkpoints': False}, 5_000, DepartureAction.move),
        (
            {'has_checkpoints': False, 'expected_end_ms': 17_000},
            5_000,
            DepartureAction.keep_running,
        ),
        (
            {'has_checkpoints': False, 'has_progress': False},
            5_000,
            DepartureAction.keep_running,
        ),
        (
            {'has_checkpoints': False, 'is_gang': False},
            5_000,
            DepartureAction.keep_running,
        ),
        ({'has_checkpoints': False}, 10_000, DepartureAction.keep_running),
    ],
)
def test_action(fields, now_ms, action):
    """Guards against lost checkpoints and against work thrown away."""
    assert choose_action(_outlook(**fields), now_ms) is action


def test_gang_with_checkpoints_is_moved_as_a_whole(site):
    """A gang whose members stay behind would be broken by the departure."""
    site.submit('a', 'normal', _gang(has_checkpoints=True))
    site.decide()
    _run_for(site, 2, 2)
    leaving = site.minion_of('a.0.0.0')
    _leave(site, leaving)
    site.decide()
    assert not _stopped(site)
    _leave(site, leaving, notice_ms=STOP_DELAY_MS)
    site.decide()
    assert _stopped(site) == ['a.0.0.0', 'a.0.0.1']
    for index in range(2):
        site.end(f'a.0.0.{index}', EndKind.stopped, 'c')
        _leave(site, leaving)
    site.decide()
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1']
    assert leaving not in {minion for minion, _ in site.orders}
    assert {order.checkpoint for order in site.orders.values()} == {'c'}


def test_gang_uses_the_room_of_its_own_members(site):
    """On a full fleet a gang needs room only for the members that move."""
    site.submit('a', 'normal', _gang(3))
    site.decide()
    _run_for(site, 3, 2)
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    assert len(_stopped(site)) == 3


def test_run_with_checkpoints_continues_until_it_must_be_saved(site):
    """An earlier stop only wastes the rest of the notice."""
    site.submit('a', 'normal', _step(has_checkpoints=True))
    site.decide()
    _run_for(site, 2, 2)
    leaving = site.minion_of('a.0.0.0')
    _leave(site, leaving)
    site.decide()
    assert not _stopped(site)
    site.now_ms += NOTICE_MS - STOP_DELAY_MS + 10
    site.decide()
    assert _stopped(site) == ['a.0.0.0']
    entry = next(e for e in site.log_entries if e.event == 'stop_ordered')
    assert entry.fields['reason'] == 'worker_leaves'
    assert entry.fields['action'] == 'save'


def test_slow_store_lets_runs_stop_earlier(site):
    """The checkpoint must be recorded before the worker leaves."""
    site.submit('a', 'normal', _step(4, has_checkpoints=True))
    site.decide()
    _leave(site, site.minion_of('a.0.0.0'))
    site.scheduler.decide(site.now_ms + 3500, 0, write_ms=200)
    assert not _stopped(site)
    site.scheduler.decide(site.now_ms + 3900, 0, write_ms=200)
    assert _stopped(site) == ['a.0.0.0']


def test_run_that_ends_by_its_progress_continues(site):
    """An estimate that is far too long must not move a run about to end."""
    site.submit('a', 'normal', _gang(has_checkpoints=True))
    site.decide()
    _run_for(site, 4, 24)
    _leave(site, site.minion_of('a.0.0.0'), notice_ms=STOP_DELAY_MS)
    site.decide()
    assert not _stopped(site)


def test_stalled_run_is_saved(site):
    """An expected end that has passed counted as an end in time."""
    site.submit('a', 'normal', _step(has_checkpoints=True))
    site.decide()
    _run_for(site, 5, 10)
    [(minion, name)] = site.orders
    running = [RunningTask(name, 1, '', 50)]
    for _ in range(20):
        site.now_ms += 1000
        site.report(minion.replace('m', 'n'), running=running)
    _leave(site, minion, notice_ms=STOP_DELAY_MS, running=running)
    site.decide()
    assert _stopped(site) == ['a.0.0.0']


@pytest.mark.parametrize(
    ('percent_by_second', 'stopped'), [(2, 2), (7, 0), (0, 0)]
)
def test_gang_without_checkpoints_moves_by_a_wide_margin_only(
    site, percent_by_second, stopped
):
    """A worker often stays for longer, and all work done would be lost."""
    site.submit('a', 'normal', _gang())
    site.decide()
    _run_for(site, 3, percent_by_second)
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    assert len(_stopped(site)) == stopped


def test_gang_without_checkpoints_needs_room_elsewhere(site):
    """A gang that waits instead of running has lost its work for nothing."""
    site.submit('a', 'normal', _gang(4))
    site.decide()
    _run_for(site, 3, 2)
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    assert not _stopped(site)
    site.now_ms += NOTICE_MS
    site.decide()
    assert not _stopped(site)


@pytest.mark.parametrize(
    ('has_checkpoints', 'notice_ms', 'stopped'),
    [(False, NOTICE_MS, 0), (True, STOP_DELAY_MS, 2)],
)
def test_gang_is_only_saved_while_starts_are_paused(
    has_checkpoints, notice_ms, stopped
):
    """A gang was stopped for room in which nothing could start."""
    bound_ms = 5000
    site = Site(
        racks=('r1',) * 4,
        settings=SchedulerSettings(evacuation_bound_ms=bound_ms),
    )
    known = EvacuationRequests(frozenset(), site.now_ms)
    site.scheduler.apply_evacuations(known)
    site.submit('a', 'normal', _gang(has_checkpoints=has_checkpoints))
    site.decide()
    _run_for(site, 3, 2)
    site.now_ms += bound_ms
    site.report_all()
    _leave(site, site.minion_of('a.0.0.0'), notice_ms=notice_ms)
    site.decide()
    assert len(_stopped(site)) == stopped


def test_room_that_another_step_waits_for_is_no_room(site):
    """A moved gang must not wait behind the step that takes its room."""
    site.submit('a', 'normal', _gang())
    site.decide()
    _run_for(site, 3, 2)
    site.submit('b', 'urgent', _gang())
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    assert not _stopped(site)
    assert 'b.0.0.0' in site.ordered_tasks()


def test_room_on_a_worker_that_the_gang_avoids_is_no_room(site):
    """A gang was stopped for a worker on which it had just failed."""
    site.submit('a', 'normal', _gang())
    site.decide()
    avoided = site.minion_of('a.0.0.0')
    site.end('a.0.0.0', EndKind.failed)
    site.end('a.0.0.1', EndKind.stopped)
    site.submit('b', 'normal', _step())
    site.decide()
    assert len(site.ordered_tasks()) == 3
    assert avoided not in {minion for minion, _ in site.orders}
    _run_for(site, 3, 2)
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    assert not _stopped(site)


def test_room_counts_once(site):
    """Two gangs must not be stopped for the same room."""
    site.submit('a', 'normal', _gang(1))
    site.submit('b', 'normal', _gang(1))
    site.submit('c', 'normal', _gang(1))
    site.decide()
    _run_for(site, 3, 2)
    _leave(site, site.minion_of('a.0.0.0'), site.minion_of('b.0.0.0'))
    site.decide()
    assert len(_stopped(site)) == 1


def test_withdrawn_notice_spares_the_run(site):
    """A run must not be stopped for a worker that stays."""
    site.submit('a', 'normal', _step(4, has_checkpoints=True))
    site.decide()
    _leave(site, site.minion_of('a.0.0.0'))
    site.decide()
    site.report_all()
    site.decide(NOTICE_MS)
    assert not _stopped(site)


def test_unknown_departure_time_stops_nothing(site):
    """A draining worker without a readable notice may stay for long."""
    site.submit('a', 'normal', _gang(has_checkpoints=True))
    site.decide()
    minion = site.minion_of('a.0.0.0')
    site.report(minion.replace('m', 'n'), is_ready=False)
    site.decide()
    site.now_ms += 10_000
    site.decide()
    assert not _stopped(site)


def test_worker_that_stays_after_its_notice_keeps_runs_to_completion(site):
    """Work without checkpoints must be able to complete there."""
    site.submit('a', 'normal', _step())
    site.decide()
    _run_for(site, 3, 2)
    leaving = site.minion_of('a.0.0.0')
    _leave(site, leaving)
    site.decide()
    for _ in range(10):
        site.now_ms += 1000
        _leave(site, leaving, notice_ms=-1000)
        site.decide()
    assert site.ordered_tasks() == ['a.0.0.0']


def test_runs_of_many_leaving_workers_are_stopped_once(site):
    """Each stop is one write; a run must not be stopped round after round."""
    site.submit('a', 'normal', _gang(3, has_checkpoints=True))
    site.submit('b', 'normal', _step(8, accelerators=1, has_checkpoints=True))
    site.decide()
    leaving = {minion for minion, _ in site.orders}
    _leave(site, *leaving, notice_ms=500)
    for _ in range(4):
        site.now_ms += 100
        site.decide()
    stops = [e for e in site.log_entries if e.event == 'stop_ordered']
    assert len(stops) == 11
    assert len(_stopped(site)) == 11


def _take_over(site, spec, *, at_ms):
    """Return a site whose scheduler was restored from the stored rows."""
    new = Site(racks=('r1',) * 4)
    new.now_ms = at_ms
    new.scheduler.put_job('a', spec)
    new.scheduler.restore_progress('a', site.progress['a'])
    new.progress.update(site.progress)
    for (minion, name), order in site.orders.items():
        new.orders[minion, name] = order
        new.scheduler.restore_order(minion, name, order)
    new.report_all()
    return new


def test_new_leader_decides_from_the_rows(site):
    """A change of leader must neither repeat nor forget a stop."""
    step = _gang(has_checkpoints=True)
    spec = JobSpec('normal', 'team', SERVICE, 'text', (step,))
    site.scheduler.put_job('a', spec)
    site.decide()
    _run_for(site, 2, 2)
    leaving = site.minion_of('a.0.0.0')
    second = _take_over(site, spec, at_ms=site.now_ms + 2000)
    _leave(second, leaving, notice_ms=STOP_DELAY_MS)
    second.decide()
    assert _stopped(second) == ['a.0.0.0', 'a.0.0.1']
    third = _take_over(second, spec, at_ms=second.now_ms + 2000)
    _leave(third, leaving, notice_ms=STOP_DELAY_MS - 2000)
    assert not third.decide().orders


def test_second_stored_order_of_a_task_is_ignored(site):
    """The order of an earlier run on a leaving worker ended the term."""
    site.submit('a', 'normal', _step(has_checkpoints=True))
    for run, minion in enumerate(('m0', 'm1'), start=1):
        order = Order('text', run, site.now_ms, needs=(1000, 1000, 8))
        site.scheduler.restore_order(minion, 'a.0.0.0', order)
    _leave(site, 'm0', notice_ms=STOP_DELAY_MS)
    assert not site.decide().orders
