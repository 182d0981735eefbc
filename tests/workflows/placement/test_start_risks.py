"""Placement beside workers that do not start what is ordered there."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import Rejection, RunningTask
from tests.workflows.site import Site, entries

# Eight of them fill one worker.
STEP = StepSpec(8, 1000, 1000, 1, 4000)
SMALL = StepSpec(1, 1000, 1000, 1, 4000)
FAILURE_MS = 10_000
# After this time an order that no report lists is overdue.
OVERDUE_MS = 3_000
OLD_REPORT_MS = 2_500


def reject_all(site, node, reason='expired'):
    """Report that no order of a node was carried out, then decide."""
    minion = site.incarnations[node][0]
    site.rejected[node] = [
        Rejection(task, order.run, reason)
        for (ordered_from, task), order in site.orders.items()
        if ordered_from == minion
    ]
    site.report(node)
    return site.decide()


def used_minions(site):
    return {minion for minion, _ in site.orders}


def report_runs(site, node):
    """Report the orders of a node as running."""
    minion = site.incarnations[node][0]
    running = [
        RunningTask(task, order.run, '', 1)
        for (ordered_from, task), order in site.orders.items()
        if ordered_from == minion
    ]
    site.report(node, running=running)


def test_step_that_a_worker_did_not_start_runs_on_another():
    """A step was ordered again and again where no run starts."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', STEP)
    site.decide()
    assert used_minions(site) == {'m0'}
    reject_all(site, 'n0')
    assert used_minions(site) == {'m1'}
    assert len(site.ordered_tasks()) == 8


def test_only_worker_is_used_although_it_did_not_start_a_run():
    """A failed start must never hold room back."""
    site = Site(racks=('r1',))
    site.submit('a', 'normal', STEP)
    site.decide()
    reject_all(site, 'n0')
    assert len(site.ordered_tasks()) == 8
    assert entries(site, 'run_ordered')[-1]['start_risks'] == ('failed_start',)


@pytest.mark.parametrize('reason', ['stopped', 'invalid'])
def test_rejection_without_a_fault_of_the_worker_does_not_count(reason):
    """A task that no worker understands must not change the choice."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', STEP)
    site.decide()
    reject_all(site, 'n0', reason)
    assert used_minions(site) == {'m0'}


def test_failed_start_counts_for_a_bounded_time():
    """A worker that has recovered must not stay the last choice."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', SMALL)
    site.decide()
    reject_all(site, 'n0')
    site.end('a.0.0.0')
    site.decide(FAILURE_MS)
    site.submit('b', 'normal', SMALL)
    site.decide()
    assert site.minion_of('b.0.0.0') == 'm0'


def test_run_that_starts_clears_earlier_failures():
    """A worker that starts runs again must be chosen as before."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', STEP)
    site.decide()
    reject_all(site, 'n0')
    site.submit('b', 'normal', SMALL)
    site.decide()
    assert site.minion_of('b.0.0.0') == 'm0'
    report_runs(site, 'n0')
    for index in range(8):
        site.end(f'a.0.0.{index}')
    site.submit('c', 'normal', SMALL)
    site.decide()
    assert site.minion_of('c.0.0.0') == 'm0'


def test_run_from_before_a_failure_does_not_clear_it():
    """A worker lists its earlier runs although it starts none."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 1, 60_000))
    site.decide()
    site.now_ms += 500
    site.report_all()
    site.submit('a', 'normal', SMALL)
    site.decide()
    site.rejected['n0'] = [Rejection('a.0.0.0', 1, 'expired')]
    site.report('n0', running=[RunningTask('x.0.0.0', 1, '', 1)])
    site.decide()
    assert site.minion_of('a.0.0.0') == 'm1'


def test_worker_with_an_overdue_order_comes_last():
    """A worker that neither starts nor rejects orders got all others too."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', SMALL)
    site.decide()
    site.decide(OVERDUE_MS)
    site.submit('b', 'normal', SMALL)
    site.decide()
    assert site.minion_of('b.0.0.0') == 'm1'


def test_worker_with_a_confirmed_order_is_filled_first():
    """A run that a report lists is not overdue, however old it is."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', SMALL)
    site.decide()
    report_runs(site, 'n0')
    site.decide(OVERDUE_MS)
    site.submit('b', 'normal', SMALL)
    site.decide()
    assert site.minion_of('b.0.0.0') == 'm0'


def test_worker_with_an_old_report_comes_last():
    """A step was ordered where the guard had just fallen silent."""
    site = Site(racks=('r1', 'r1'))
    site.now_ms += OLD_REPORT_MS
    site.report('n1')
    site.submit('a', 'normal', STEP)
    site.decide()
    assert used_minions(site) == {'m1'}


def test_workers_with_old_reports_are_used():
    """Reports that are late on a slow store must not hold room back."""
    site = Site(racks=('r1', 'r1'))
    site.now_ms += OLD_REPORT_MS
    site.submit('a', 'normal', STEP)
    site.decide()
    assert len(site.ordered_tasks()) == 8


def test_gang_prefers_a_rack_on_which_all_workers_start_runs():
    """A gang was ordered on the fullest rack although no run starts there."""
    site = Site(racks=('r1', 'r2', 'r2'))
    gang = StepSpec(8, 1000, 1000, 1, 4000, is_gang=True, wants_one_rack=True)
    site.submit('g', 'normal', gang)
    site.decide()
    assert used_minions(site) == {'m0'}
    reject_all(site, 'n0')
    assert not used_minions(site) & {'m0'}
    assert len(site.ordered_tasks()) == 8


def test_only_every_second_order_is_shorter():
    """A task would never start on a worker where each start takes longer."""
    site = Site(racks=('r1',))
    site.submit('a', 'normal', SMALL)
    site.decide()
    limits = []
    for _ in range(4):
        [order] = site.orders.values()
        limits.append(order.start_by_ms - site.now_ms)
        reject_all(site, 'n0')
    assert limits == [1500, 750, 1500, 750]
