"""Evacuation of data centres: orders, placement, bound and log entries."""

import pytest

from dragonflynotch.workflows.evacuation import EvacuationRequests
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, Order, RunningTask
from dragonflynotch.workflows.scheduler import SchedulerSettings
from tests.workflows.site import Site

BOUND_MS = 5000


@pytest.fixture
def site():
    """Two workers in each of two data centres."""
    return _site('east', 'east', 'west', 'west')


def _site(*data_centres, bound_ms=BOUND_MS):
    site = Site(
        racks=('r1',) * len(data_centres),
        data_centres=data_centres,
        settings=SchedulerSettings(evacuation_bound_ms=bound_ms),
    )
    _request(site)
    return site


def _request(site, *names, age_ms=0):
    site.scheduler.apply_evacuations(
        EvacuationRequests(frozenset(names), site.now_ms - age_ms)
    )


def _fill(site, job_id='a', count=4):
    """Run one task on each of ``count`` whole workers."""
    site.submit(job_id, 'normal', *_whole_workers(count))
    site.decide()


def _whole_workers(count):
    return (StepSpec(count, 1000, 1000, 8, 2000),)


def _report_running(site):
    """Report each ordered run as running."""
    for node, (minion, _, _) in site.incarnations.items():
        site.report(
            node,
            running=[
                RunningTask(name, order.run, '', 10)
                for (ordered_from, name), order in site.orders.items()
                if ordered_from == minion
            ],
        )


def _events(site):
    return [entry.event for entry in site.log_entries]


def _data_centres_of_orders(site):
    return {
        site.data_centres[minion.replace('m', 'n')]
        for (minion, _), order in site.orders.items()
        if not order.is_stopped
    }


def test_no_run_is_ordered_in_an_evacuated_data_centre(site):
    """A start after the bound breaks the guarantee given to the operator."""
    _request(site, 'east')
    _fill(site)
    assert _data_centres_of_orders(site) == {'west'}
    assert len(site.orders) == 2


def test_started_runs_continue_to_completion(site):
    """Work must not be lost by an evacuation."""
    _fill(site)
    _report_running(site)
    _request(site, 'east')
    site.decide()
    assert len(site.ordered_tasks()) == 4
    assert site.scheduler.status.evacuation_run_counts == {'east': 2}


def test_unstarted_order_is_stopped_and_placed_elsewhere(site):
    """An order that is still open could start after the evacuation."""
    site.submit('a', 'normal', *_whole_workers(1))
    site.decide()
    [minion] = {minion for minion, _ in site.orders}
    data_centre = site.data_centres[minion.replace('m', 'n')]
    _request(site, data_centre)
    site.decide()
    assert not site.ordered_tasks()
    site.end('a.0.0.0', EndKind.stopped)
    site.decide()
    assert _data_centres_of_orders(site) == {'east', 'west'} - {data_centre}


def test_unstarted_gang_is_moved_as_a_whole():
    """A gang must not be split by an evacuation of some of its workers."""
    site = _site('east', 'west', 'north', 'north', 'north')
    gang = StepSpec(4, 1000, 1000, 8, 2000, is_gang=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert 'east' in _data_centres_of_orders(site)
    _request(site, 'east')
    site.decide()
    assert all(order.is_stopped for order in site.orders.values())
    for index in range(4):
        site.end(f'a.0.0.{index}', EndKind.stopped)
    assert {minion for minion, _ in site.orders} == {'m1', 'm2', 'm3', 'm4'}
    assert len(site.ordered_tasks()) == 4


def test_gang_with_a_started_member_continues(site):
    """A stop of the members not yet reported would break the whole gang."""
    site.submit('a', 'normal', StepSpec(4, 1000, 1000, 8, 2000, is_gang=True))
    site.decide()
    task = 'a.0.0.0'
    node = site.minion_of(task).replace('m', 'n')
    site.report(node, running=[RunningTask(task, 1, '', 10)])
    _request(site, 'east')
    site.decide()
    assert len(site.ordered_tasks()) == 4


def test_order_whose_start_window_has_passed_is_not_stopped(site):
    """Its run may have started without having been reported yet."""
    _fill(site)
    _request(site, 'east')
    site.now_ms += 4000
    site.decide()
    assert len(site.ordered_tasks()) == 4


def test_workers_rejoin_after_the_withdrawal(site):
    """A data centre must not stay closed after its evacuation."""
    _request(site, 'east')
    _fill(site)
    _request(site)
    site.decide()
    assert len(site.orders) == 4
    assert 'evacuation_ended' in _events(site)


def test_request_withdrawn_before_a_round_has_no_effect(site):
    """A mistake of the operator that is corrected at once must cost nothing."""
    _fill(site)
    _request(site, 'east')
    _request(site)
    site.decide()
    assert len(site.ordered_tasks()) == 4
    assert 'evacuation_began' not in _events(site)


def test_several_evacuations_are_separate(site):
    """The end of one evacuation must not end another."""
    _request(site, 'east', 'west')
    _fill(site)
    assert not site.orders
    _request(site, 'west')
    site.decide()
    assert _data_centres_of_orders(site) == {'east'}


def test_evacuation_of_an_unknown_data_centre_changes_nothing(site):
    """A mistyped name must be visible and must not close other workers."""
    _request(site, 'esat')
    _fill(site)
    assert len(site.orders) == 4
    [entry] = [
        entry
        for entry in site.log_entries
        if entry.event == 'evacuation_data_centre_unknown'
    ]
    assert entry.fields == {'data_centre': 'esat', 'known': ['east', 'west']}
    assert 'evacuation_empty' not in _events(site)


def test_worker_of_unknown_data_centre_gets_no_run_meanwhile():
    """A report of the previous release may come from the named data centre."""
    site = _site('west', '')
    _request(site, 'east')
    _fill(site, count=2)
    assert list({minion for minion, _ in site.orders}) == ['m0']
    _request(site)
    site.decide()
    assert len(site.orders) == 2


def test_run_in_an_unknown_data_centre_delays_empty():
    """The data centre could be switched off with runs still in it."""
    site = _site('east', '')
    _fill(site, count=2)
    _report_running(site)
    _request(site, 'east')
    for minion in ('m0', 'm1'):
        site.decide()
        assert 'evacuation_empty' not in _events(site)
        [name] = [name for on, name in site.orders if on == minion]
        site.end(name)
    assert _events(site).count('evacuation_empty') == 1


def test_begin_empty_and_end_are_recorded_once(site):
    """An operator must see when the data centre can be switched off."""
    _fill(site)
    _report_running(site)
    _request(site, 'east')
    site.decide()
    site.decide()
    assert _events(site).count('evacuation_began') == 1
    assert 'evacuation_empty' not in _events(site)
    for (minion, name), _ in list(site.orders.items()):
        if minion in {'m0', 'm1'}:
            site.end(name)
    site.decide()
    assert _events(site).count('evacuation_empty') == 1
    assert site.scheduler.status.evacuation_run_counts == {'east': 0}
    _request(site)
    site.decide()
    site.decide()
    assert _events(site).count('evacuation_ended') == 1
    assert site.scheduler.status.evacuation_run_counts == {}


def test_loss_of_all_workers_counts_as_empty(site):
    """A data centre without power has no runs once its guards are lost."""
    _fill(site)
    _report_running(site)
    _request(site, 'east')
    site.decide()
    for node in ('n0', 'n1'):
        site.scheduler.remove_lost_node(node)
        site.incarnations.pop(node)
    site.decide()
    assert 'evacuation_empty' in _events(site)


def test_exclusion_of_faulty_workers_counts_usable_workers_only():
    """Exclusions could otherwise take all workers of what remains."""
    site = _site('east', 'east', 'east', 'west', 'west', 'west')
    for job in ('a', 'b'):
        _fill(site, job, 6)
        for (minion, name), _ in sorted(site.orders.items()):
            kind = EndKind.failed if minion in {'m3', 'm4'} else EndKind.done
            site.end(name, kind)
            site.scheduler.cancel(job)
            site.decide()
    _request(site, 'east')
    _fill(site, 'c', 6)
    assert len(site.ordered_tasks()) >= 2


# ---- bound ---------------------------------------------------------------


def _latest_start(site):
    return max(order.start_by_ms for order in site.orders.values())


@pytest.mark.parametrize('age_ms', [0, 1000, 2500, 3900])
def test_start_window_ends_before_the_bound(site, age_ms):
    """A request acknowledged just after the last known state must hold.

    The scheduler does not know of it while the feed lags.
    """
    _request(site, age_ms=age_ms)
    _fill(site)
    assert len(site.orders) == 4
    assert _latest_start(site) < site.now_ms - age_ms + BOUND_MS


def test_nothing_is_ordered_from_outdated_requests(site):
    """A feed that delivers nothing must stop starts before the bound."""
    _request(site, age_ms=BOUND_MS)
    _fill(site)
    assert not site.orders
    assert 'starts_paused' in _events(site)
    _request(site)
    site.decide()
    assert len(site.orders) == 4
    assert 'starts_resumed' in _events(site)


def test_nothing_is_ordered_before_the_requests_are_known():
    """A new scheduler must not start runs in an evacuated data centre."""
    site = Site(settings=SchedulerSettings(evacuation_bound_ms=BOUND_MS))
    _fill(site, count=3)
    assert not site.orders


def test_stops_continue_while_starts_are_paused(site):
    """A cancelled job must not run on because the requests are outdated."""
    _fill(site)
    _request(site, age_ms=BOUND_MS)
    site.scheduler.cancel('a')
    site.decide()
    assert not site.ordered_tasks()


def test_deployment_without_bound_is_not_limited():
    """Deployments without evacuations must be served as before."""
    site = Site()
    _fill(site, count=3)
    assert len(site.orders) == 3
    usual_ms = SchedulerSettings().start_timeout_ms
    assert _latest_start(site) == site.now_ms + usual_ms


def test_order_restored_after_a_takeover_is_stopped_if_unstarted(site):
    """A leader may die between the request and its first order after it."""
    _request(site, 'east')
    site.submit('a', 'normal', *_whole_workers(1))
    order = Order('text', 1, site.now_ms + 1000, needs=(1000, 1000, 8))
    site.scheduler.restore_order('m0', 'a.0.0.0', order)
    site.decide()
    assert site.orders['m0', 'a.0.0.0'].is_stopped
