"""Repeats of lost runs that keep the next step of their job from starting."""

from dataclasses import replace

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.scheduler import Scheduler, SchedulerSettings
from tests.workflows.site import DEPLOYMENT, Site, entries

WHOLE = StepSpec(1, 1000, 1000, 8, 20_000)
NEXT = StepSpec(2, 1000, 1000, 8, 20_000, after=(0,))


def _lose_run(*specs, queue='batch', repeat_first=True):
    """Lose a run of job ``long`` while the rest of its step is done.

    The only other worker is busy; a smaller job of the queue waits.
    """
    site = Site(racks=('r1', 'r1'))
    if not repeat_first:
        site.scheduler = Scheduler(
            SchedulerSettings(), replace(Mechanisms(), prefers_repeats=False)
        )
        site.scheduler.apply_deployment(DEPLOYMENT)
        site.report_all()
    site.submit('long', queue, *specs)
    site.decide()
    site.submit('busy', 'normal', WHOLE)
    site.decide(advance_ms=10)
    lost = site.node_of('long.0.0.0')
    site.submit('small', queue, StepSpec(1, 1000, 1000, 8, 5_000))
    site.incarnations[lost] = ('new', 'r1', 8)
    site.decide(advance_ms=3_000)
    return site


def test_lost_run_that_keeps_the_next_step_comes_before_smaller_jobs():
    """A job waited for a lost run that waited behind work of its priority.

    The run had ended before the loss of power, and was started again 22 s
    after the other runs that were lost then.
    """
    site = _lose_run(WHOLE, NEXT)
    assert site.ordered_tasks() == ['busy.0.0.0', 'long.0.0.0']
    (entry,) = entries(site, 'repeat_first')
    assert entry['waiting_repeats'] == [0]


def test_order_is_by_work_left_without_the_mechanism():
    """The ablation must leave out all of the mechanism."""
    site = _lose_run(WHOLE, NEXT, repeat_first=False)
    assert site.ordered_tasks() == ['busy.0.0.0', 'small.0.0.0']


@pytest.mark.parametrize(
    'specs',
    [
        (WHOLE,),
        (StepSpec(3, 1000, 1000, 8, 20_000), NEXT),
        (StepSpec(9, 1000, 1000, 0, 20_000, max_per_worker=9), NEXT),
    ],
    ids=['no next step', 'unstarted task', 'many tasks'],
)
def test_other_lost_runs_do_not_move_up(specs):
    """Work that does not hold up a next step must not delay smaller jobs."""
    site = _lose_run(*specs)
    assert not entries(site, 'repeat_first')


def test_suspected_task_does_not_move_up():
    """A task that crashes its minions must not come first after each crash."""
    site = Site(racks=('r1',))
    site.submit('long', 'batch', WHOLE, NEXT)
    site.decide()
    site.submit('small', 'batch', StepSpec(1, 1000, 1000, 8, 5_000))
    site.crash('n0')
    assert site.ordered_tasks() == ['small.0.0.0']


def test_repeat_does_not_come_before_more_urgent_work():
    """A repeat must not delay the queues before its own, nor guarantees."""
    site = Site(racks=('r1',))
    site.submit('long', 'batch', WHOLE, NEXT)
    site.decide()
    site.submit('urgent', 'urgent', StepSpec(1, 1000, 1000, 8, 5_000))
    site.submit('normal', 'normal', StepSpec(1, 1000, 1000, 8, 5_000))
    site.incarnations['n0'] = ('new', 'r1', 8)
    site.decide(advance_ms=3_000)
    assert site.ordered_tasks() == ['urgent.0.0.0']
    site.end('urgent.0.0.0')
    assert site.ordered_tasks() == ['normal.0.0.0']


def test_repeat_comes_first_after_a_takeover():
    """A new leader only knows rows; it must find the lost runs itself."""
    site = Site(racks=('r1',))
    specs = WHOLE, NEXT
    site.submit('long', 'batch', *specs)
    site.decide()
    order = site.orders.pop(('m0', 'long.0.0.0'))
    site.scheduler = Scheduler(SchedulerSettings())
    site.scheduler.apply_deployment(DEPLOYMENT)
    site.submit('small', 'batch', StepSpec(1, 1000, 1000, 8, 5_000))
    site.submit('long', 'batch', *specs)
    site.scheduler.restore_progress('long', site.progress['long'])
    site.scheduler.restore_order('m0', 'long.0.0.0', order)
    site.incarnations['n0'] = ('new', 'r1', 8)
    site.report_all()
    site.scheduler.remove_unknown_orders()
    site.decide(advance_ms=10)
    assert site.ordered_tasks() == ['long.0.0.0']
