"""Which worker a task gets, and who gives way."""

import pytest

from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.site import Site

WHOLE = StepSpec(1, 8000, 8000, 8, 4000)


@pytest.fixture
def site():
    return Site()


def test_worker_that_fails_two_jobs_is_left_out(site):
    """A worker that fails all it starts must not get more work."""
    small = StepSpec(1, 1000, 1000, 1, 2000)
    site.submit('a', 'normal', small)
    site.submit('b', 'normal', small)
    site.decide()
    bad = site.minion_of('a.0.0.0')
    assert site.minion_of('b.0.0.0') == bad
    site.end('a.0.0.0', EndKind.failed)
    site.end('b.0.0.0', EndKind.failed)
    for number in range(6):
        site.submit(f'c{number}', 'normal', small)
    site.decide()
    assert bad not in {minion for minion, _ in site.orders}


def test_last_worker_is_never_left_out():
    """Evidence must not take a whole service out."""
    site = Site(racks=('r1',))
    small = StepSpec(1, 1000, 1000, 1, 2000)
    site.submit('a', 'normal', small)
    site.submit('b', 'normal', small)
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.end('b.0.0.0', EndKind.failed)
    assert site.tasks() == ['a.0.0.0', 'b.0.0.0']


def test_gang_starts_whole_or_not_at_all():
    """A member must not start whose partners do not fit."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', StepSpec(3, 1000, 1000, 8, 2000, is_gang=True))
    site.decide()
    assert not site.orders


def test_gang_prefers_one_rack(site):
    """A gang that is slow across racks is kept on one."""
    gang = StepSpec(2, 1000, 1000, 8, 4000, is_gang=True, wants_one_rack=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert {minion for minion, _ in site.orders} == {'m0', 'm1'}


def test_gang_waits_for_its_rack_but_not_for_ever(site):
    """A gang must start across racks when no rack becomes free."""
    site.submit('x', 'normal', StepSpec(1, 64_000, 1000, 1, 60_000))
    site.decide()
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True, wants_one_rack=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert site.tasks() == ['x.0.0.0']
    site.decide(advance_ms=2500)
    assert len(site.tasks()) == 3


def test_waiting_gang_keeps_room_free():
    """Small jobs must not starve a large gang."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 4000))
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.decide(advance_ms=100)
    site.submit('s', 'batch', StepSpec(8, 1000, 1000, 1, 60_000))
    site.decide(advance_ms=100)
    assert site.tasks() == ['x.0.0.0']
    site.end('x.0.0.0')
    assert site.tasks() == ['g.0.0.0', 'g.0.0.1']


def test_short_job_fills_the_room_kept_for_a_gang():
    """Room that is kept may be used by runs that end in time."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 9000))
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.decide(advance_ms=100)
    site.submit('s', 'batch', StepSpec(1, 1000, 1000, 1, 500))
    site.decide(advance_ms=100)
    assert 's.0.0.0' in site.tasks()


def test_room_is_kept_for_every_task_of_an_urgent_job():
    """Guards against one task of a step being served and the rest starved."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'batch', StepSpec(2, 1000, 1000, 8, 4000))
    site.decide()
    site.submit('u', 'urgent', StepSpec(2, 1000, 1000, 8, 2000))
    site.submit('s', 'batch', StepSpec(16, 1000, 1000, 1, 60_000))
    site.decide(advance_ms=100)
    site.end('x.0.0.0')
    site.end('x.0.0.1')
    assert site.tasks() == ['u.0.0.0', 'u.0.0.1']


def test_guarantee_takes_room_back_from_borrowers():
    """A workspace within its guarantee must not wait for a borrower."""
    site = Site(racks=('r1',))
    site.submit('x', 'batch', WHOLE)
    site.decide()
    site.submit('u', 'urgent', WHOLE)
    site.decide(advance_ms=100)
    assert site.orders['m0', 'x.0.0.0'].is_stopped
    assert not site.tasks()
    site.end('x.0.0.0', EndKind.stopped)
    assert site.tasks() == ['u.0.0.0']


def test_work_beyond_the_guarantee_costs_no_more_than_it_is():
    """Urgent work above its guarantee must not throw away more than it does."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.submit(
        'y', 'batch', StepSpec(1, 8000, 8000, 8, 60_000, has_checkpoints=True)
    )
    site.decide()
    site.decide(advance_ms=20_000)
    # Together they ask for more than the workspace is guaranteed.
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide()
    stopped = {
        name for (_, name), order in site.orders.items() if order.is_stopped
    }
    assert stopped == {'y.0.0.0'}


def test_work_about_to_be_late_takes_room_from_less_urgent_work():
    """Work that would be late must not wait for work that can wait."""
    site = Site(racks=('r1',))
    site.submit(
        'x', 'batch', StepSpec(1, 8000, 8000, 8, 60_000, has_checkpoints=True)
    )
    site.decide()
    site.submit('n', 'normal', WHOLE)
    site.decide(advance_ms=100)
    assert site.tasks() == ['x.0.0.0']
    # The objective of three times 4 s is in danger after 8 s.
    site.decide(advance_ms=7000)
    assert not site.tasks()
    site.end('x.0.0.0', EndKind.stopped)
    assert site.tasks() == ['n.0.0.0']


def test_limits_per_worker_and_labels_hold(site):
    """Anti-affinity and constraints are conditions, not wishes."""
    spread = StepSpec(3, 1000, 1000, 1, 2000, max_per_worker=1)
    site.submit('a', 'normal', spread)
    site.submit('b', 'normal', StepSpec(1, 1000, 1000, 1, 2000, constraint='x'))
    site.decide()
    minions = [minion for minion, _ in site.orders]
    assert sorted(minions) == ['m0', 'm1', 'm2']


def test_job_of_another_service_is_not_run_here(site):
    """A queue that no longer leads to a service must not use it."""
    site.scheduler.put_job('a', _spec_of('other'))
    site.decide()
    assert not site.orders


def test_late_urgent_work_comes_before_work_that_can_wait():
    """After an outage urgent jobs must not wait behind batch work."""
    site = Site(racks=('r1',))
    site.submit('b', 'batch', WHOLE)
    # Together the urgent jobs ask for more than the guarantee.
    site.submit('u', 'urgent', WHOLE)
    site.submit('v', 'urgent', WHOLE)
    # All were accepted while no worker could be used.
    site.decide(advance_ms=6000)
    assert site.tasks() == ['u.0.0.0']


def test_stopping_a_member_costs_the_work_of_its_gang():
    """A gang must not be broken for work that is worth one of its members."""
    site = Site()
    gang = StepSpec(3, 8000, 8000, 8, 60_000, is_gang=True)
    site.submit('g', 'batch', gang)
    site.decide()
    # Together they ask for more than the workspace is guaranteed.
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide(advance_ms=1000)
    assert site.tasks() == ['g.0.0.0', 'g.0.0.1', 'g.0.0.2']


def test_cheapest_run_is_stopped_first():
    """A gang must not be stopped where a single run makes the room."""
    site = Site()
    gang = StepSpec(2, 8000, 8000, 8, 60_000, is_gang=True)
    site.submit('g', 'batch', gang)
    site.submit('s', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.decide()
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.decide(advance_ms=1000)
    assert site.tasks() == ['g.0.0.0', 'g.0.0.1']


def _spec_of(service):
    return JobSpec(
        queue='unknown',
        workspace='team',
        service=service,
        payload='',
        steps=(StepSpec(1, 1, 1, 1, 1),),
    )
