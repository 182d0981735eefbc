"""Tests of the choice of the overdue job that comes before other work."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import JobState
from tests.workflows.site import Site

WHOLE_WORKER = StepSpec(1, 1000, 1000, 8, 4000)
WIDE = StepSpec(2, 1000, 1000, 8, 4000, is_gang=True)


@pytest.fixture
def site():
    """Return a site of two workers that are taken for long."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(2, 1000, 1000, 8, 400_000))
    site.decide()
    return site


def end_running(site):
    """End all runs, one after another, and return the jobs that ended."""
    for name in site.ordered_tasks():
        if name in site.ordered_tasks():
            site.end(name)
    return {job for job, row in site.progress.items() if row.state.is_final}


def test_wait_of_a_wide_job_is_bounded_under_many_overdue_jobs(site):
    """After a flood, its overdue jobs all came before the wide ones.

    Three workspaces have overdue jobs, so each of the wide jobs may wait for
    two others at most, while newer small work keeps coming.
    """
    for number in range(30):
        site.submit(f'f{number}', 'batch', WHOLE_WORKER, workspace='flooder')
        site.decide(advance_ms=1)
    for name in ('wide-1', 'wide-2'):
        site.submit(name, 'batch', WIDE, workspace=name)
        site.decide(advance_ms=1)
    site.decide(advance_ms=200_000)
    ended = set()
    for number in range(4):
        for fresh in range(2):
            site.submit(
                f'n{number}-{fresh}', 'normal', WHOLE_WORKER, workspace='new'
            )
        site.decide(advance_ms=4000)
        ended = end_running(site)
    assert {'wide-1', 'wide-2'} <= ended


def test_overdue_job_keeps_its_turn_until_it_ends(site):
    """Room that was kept for a job must not go to the next in turn."""
    site.submit('a', 'batch', WIDE, workspace='a')
    site.decide(advance_ms=1)
    site.submit('b', 'batch', WIDE, workspace='b')
    site.decide(advance_ms=200_000)
    for _ in range(5):
        site.decide(advance_ms=1000)
    site.end('x.0.0.0')
    site.end('x.0.0.1')
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1']


def test_one_workspace_is_served_in_the_order_of_acceptance(site):
    """Without others, turns must change nothing."""
    for name in ('c', 'b', 'a'):
        site.submit(name, 'batch', WIDE)
        site.decide(advance_ms=1)
    site.decide(advance_ms=200_000)
    order = []
    for _ in range(4):
        order.extend({name.partition('.')[0] for name in site.ordered_tasks()})
        end_running(site)
    assert order == ['x', 'c', 'b', 'a']
    assert site.progress['a'].state is JobState.completed
