"""Placement after a minion had no room for a run."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import Rejection
from tests.workflows.site import Site

REFUSAL_MS = 1000
STEP = StepSpec(1, 8000, 8000, 4, 4000)


def refuse(site, node, task):
    """Report that the minion of a node has no room for its last order."""
    minion = site.incarnations[node][0]
    rejection = Rejection(task, site.orders[minion, task].run, 'room')
    site.rejected.setdefault(node, []).append(rejection)
    site.report(node)
    return site.decide()


def partly_used_site(**fields):
    """Return a site whose first worker fits the next task best."""
    site = Site(**fields)
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 1, 60_000))
    site.decide()
    site.submit('a', 'normal', STEP)
    site.decide()
    assert site.minion_of('a.0.0.0') == 'm0'
    return site


def test_task_refused_for_room_runs_on_another_worker():
    """A worker with less room than it reports must not hold a task back."""
    site = partly_used_site(racks=('r1', 'r1'))
    refuse(site, 'n0', 'a.0.0.0')
    assert site.minion_of('a.0.0.0') == 'm1'


def test_gang_refused_for_room_runs_on_other_workers():
    """A gang must not be ordered where a member was refused."""
    site = Site(racks=('r1', 'r1', 'r1'))
    gang = StepSpec(2, 8000, 8000, 8, 4000, is_gang=True)
    site.submit('g', 'normal', gang)
    site.decide()
    refuse(site, 'n0', 'g.0.0.0')
    refuse(site, 'n1', 'g.0.0.1')
    assert 'm2' not in {minion for minion, _ in site.orders}
    site.decide(REFUSAL_MS)
    assert site.ordered_tasks() == ['g.0.0.0', 'g.0.0.1']


def test_urgent_task_refused_for_room_takes_room_elsewhere():
    """Urgent work must not wait for a worker that only seems to have room."""
    site = Site(racks=('r1', 'r1'))
    whole_worker = StepSpec(1, 8000, 8000, 8, 60_000)
    site.submit('x', 'batch', whole_worker)
    site.decide()
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 2000))
    site.decide()
    assert site.minion_of('u.0.0.0') == 'm1'
    refuse(site, 'n1', 'u.0.0.0')
    assert site.orders['m0', 'x.0.0.0'].is_stopped


def test_worker_that_refused_for_room_is_tried_again():
    """A refusal must not cost a worker for long, or one per round."""
    site = partly_used_site(racks=('r1',))
    refuse(site, 'n0', 'a.0.0.0')
    site.decide(REFUSAL_MS - 1)
    assert site.ordered_tasks() == ['x.0.0.0']
    site.decide(1)
    assert site.ordered_tasks() == ['a.0.0.0', 'x.0.0.0']


def test_smaller_task_runs_where_a_larger_one_was_refused():
    """A worker must not stay idle because a large task did not fit."""
    site = partly_used_site(racks=('r1',))
    refuse(site, 'n0', 'a.0.0.0')
    site.submit('b', 'normal', StepSpec(1, 8000, 8000, 2, 4000))
    site.decide()
    assert site.ordered_tasks() == ['b.0.0.0', 'x.0.0.0']


@pytest.mark.parametrize('change', ['end', 'capacity'])
def test_refusal_ends_when_the_room_changes(change):
    """A task must not wait once its worker has room again."""
    site = partly_used_site(racks=('r1',))
    refuse(site, 'n0', 'a.0.0.0')
    if change == 'end':
        site.end('x.0.0.0')
    else:
        site.capacities['n0'] = (48_000, 256_000, 8)
        site.decide(1)
    assert 'a.0.0.0' in site.ordered_tasks()
