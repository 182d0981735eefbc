"""Placement of tasks on workers, reservations and preemption."""

import pytest

from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.records import EndKind, JobState
from tests.workflows.site import Site

WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)


@pytest.fixture
def site():
    return Site()


def test_worker_that_fails_two_jobs_is_excluded(site):
    """A worker on which every run fails must not get more work."""
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


def test_only_worker_is_never_excluded():
    """Excluding faulty workers must not leave a service without any."""
    site = Site(racks=('r1',))
    small = StepSpec(1, 1000, 1000, 1, 2000)
    site.submit('a', 'normal', small)
    site.submit('b', 'normal', small)
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.end('b.0.0.0', EndKind.failed)
    assert site.ordered_tasks() == ['a.0.0.0', 'b.0.0.0']


def test_gang_starts_completely_or_not_at_all():
    """A member must not start if the other members do not fit."""
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'normal', StepSpec(3, 1000, 1000, 8, 2000, is_gang=True))
    site.decide()
    assert not site.orders


def test_gang_prefers_one_rack(site):
    """A gang that is slow across racks is placed on one."""
    gang = StepSpec(2, 1000, 1000, 8, 4000, is_gang=True, wants_one_rack=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert {minion for minion, _ in site.orders} == {'m0', 'm1'}


def test_wait_of_a_gang_for_one_rack_is_limited(site):
    """A gang must start on several racks if no single rack becomes free."""
    site.submit('x', 'normal', StepSpec(1, 64_000, 1000, 1, 60_000))
    site.decide()
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True, wants_one_rack=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert site.ordered_tasks() == ['x.0.0.0']
    site.decide(advance_ms=2500)
    assert len(site.ordered_tasks()) == 3


def test_resources_are_reserved_for_a_waiting_gang():
    """Small jobs must not starve a large gang."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 4000))
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.decide(advance_ms=100)
    site.submit('s', 'batch', StepSpec(8, 1000, 1000, 1, 60_000))
    site.decide(advance_ms=100)
    assert site.ordered_tasks() == ['x.0.0.0']
    site.end('x.0.0.0')
    assert site.ordered_tasks() == ['g.0.0.0', 'g.0.0.1']


def test_short_job_may_use_resources_reserved_for_a_gang():
    """Runs that end in time may use reserved resources."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 9000))
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.decide(advance_ms=100)
    site.submit('s', 'batch', StepSpec(1, 1000, 1000, 1, 500))
    site.decide(advance_ms=100)
    assert 's.0.0.0' in site.ordered_tasks()


def test_resources_are_reserved_for_every_task_of_an_urgent_job():
    """Guards against a reservation for only one of the tasks of a step."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'batch', StepSpec(2, 1000, 1000, 8, 4000))
    site.decide()
    site.submit('u', 'urgent', StepSpec(2, 1000, 1000, 8, 2000))
    site.submit('s', 'batch', StepSpec(16, 1000, 1000, 1, 60_000))
    site.decide(advance_ms=100)
    site.end('x.0.0.0')
    site.end('x.0.0.1')
    assert site.ordered_tasks() == ['u.0.0.0', 'u.0.0.1']


def test_guaranteed_work_preempts_less_urgent_runs():
    """Guaranteed work must not wait for a less urgent run to end."""
    site = Site(racks=('r1',))
    site.submit('x', 'batch', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('u', 'urgent', WHOLE_WORKER_STEP)
    site.decide(advance_ms=100)
    assert site.orders['m0', 'x.0.0.0'].is_stopped
    assert not site.ordered_tasks()
    site.end('x.0.0.0', EndKind.stopped)
    assert site.ordered_tasks() == ['u.0.0.0']


def test_preemption_beyond_the_guarantee_is_limited_by_lost_work():
    """Urgent work above the guarantee must not lose more work than it does."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.submit(
        'y', 'batch', StepSpec(1, 8000, 8000, 8, 60_000, has_checkpoints=True)
    )
    site.decide()
    site.decide(advance_ms=20_000)
    # Together they need more accelerators than the workspace is guaranteed.
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide()
    stopped = {
        name for (_, name), order in site.orders.items() if order.is_stopped
    }
    assert stopped == {'y.0.0.0'}


def test_work_about_to_be_late_preempts_less_urgent_work():
    """Work that would be late must not wait for deferrable work."""
    site = Site(racks=('r1',))
    site.submit(
        'x', 'batch', StepSpec(1, 8000, 8000, 8, 60_000, has_checkpoints=True)
    )
    site.decide()
    site.submit('n', 'normal', WHOLE_WORKER_STEP)
    site.decide(advance_ms=100)
    assert site.ordered_tasks() == ['x.0.0.0']
    # The objective is 3 x 4 s, so the latest start is after 8 s.
    site.decide(advance_ms=7000)
    assert not site.ordered_tasks()
    site.end('x.0.0.0', EndKind.stopped)
    assert site.ordered_tasks() == ['n.0.0.0']


def test_limits_per_worker_and_labels_are_enforced(site):
    """Anti-affinity and constraints must never be violated."""
    spread = StepSpec(3, 1000, 1000, 1, 2000, max_per_worker=1)
    site.submit('a', 'normal', spread)
    site.submit('b', 'normal', StepSpec(1, 1000, 1000, 1, 2000, constraint='x'))
    site.decide()
    minions = [minion for minion, _ in site.orders]
    assert sorted(minions) == ['m0', 'm1', 'm2']


def test_worker_does_not_run_jobs_of_another_service(site):
    """Workers must only get jobs of their own service."""
    site.scheduler.put_job('a', _spec_for_service('other'))
    site.decide()
    assert not site.orders


def test_late_urgent_work_comes_before_deferrable_work():
    """After an outage urgent jobs must not wait behind batch work."""
    site = Site(racks=('r1',))
    site.submit('b', 'batch', WHOLE_WORKER_STEP)
    # Together the urgent jobs need more accelerators than are guaranteed.
    site.submit('u', 'urgent', WHOLE_WORKER_STEP)
    site.submit('v', 'urgent', WHOLE_WORKER_STEP)
    # All were accepted during an outage; by now the urgent jobs are late.
    site.decide(advance_ms=6000)
    assert site.ordered_tasks() == ['u.0.0.0']


def test_cost_of_stopping_a_member_is_that_of_its_gang():
    """A gang must not be stopped for work that is worth one of its members."""
    site = Site()
    gang = StepSpec(3, 8000, 8000, 8, 60_000, is_gang=True)
    site.submit('g', 'batch', gang)
    site.decide()
    # Together they need more accelerators than the workspace is guaranteed.
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 3000))
    site.decide(advance_ms=1000)
    assert site.ordered_tasks() == ['g.0.0.0', 'g.0.0.1', 'g.0.0.2']


def test_cheapest_run_is_stopped_first():
    """A gang must not be stopped if stopping a single run is enough."""
    site = Site()
    gang = StepSpec(2, 8000, 8000, 8, 60_000, is_gang=True)
    site.submit('g', 'batch', gang)
    site.submit('s', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.decide()
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.decide(advance_ms=1000)
    assert site.ordered_tasks() == ['g.0.0.0', 'g.0.0.1']


def test_one_stopped_run_is_not_counted_for_two_urgent_steps():
    """Of two urgent steps, the second must not wait for the room of the first.

    In a burst, several steps were given the room of the same stopped runs and
    had to ask again one after the other.
    """
    site = Site(racks=('r1', 'r1'))
    site.submit('a', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.submit('b', 'batch', StepSpec(1, 8000, 8000, 8, 60_000))
    site.decide()
    site.submit('u', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.submit('v', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.decide(advance_ms=1000)
    assert site.ordered_tasks() == []


def test_freed_room_is_kept_for_each_urgent_step_that_asked_for_it():
    """Tasks that were just stopped must not start again in the freed room.

    The urgent step then never got all of it, and the tasks were stopped again.
    """
    workers = 5
    site = Site(racks=('r1',) * workers)
    small = StepSpec(8, 1000, 1000, 1, 60_000)
    for number in range(workers):
        site.submit(f'b{number}', 'batch', small)
    site.decide()
    for number in range(workers):
        site.submit(f'u{number}', 'urgent', StepSpec(1, 8000, 8000, 8, 30_000))
    site.decide(advance_ms=1000)
    assert site.ordered_tasks() == []
    for number in range(workers):
        for index in range(4):
            site.end(f'b{number}.0.0.{index}', EndKind.stopped)
    assert site.ordered_tasks() == []


def test_overdue_job_is_not_starved_by_newer_work():
    """A job that is too late must still finish while work keeps coming."""
    site = Site(racks=('r1',))
    site.submit('new', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('old', 'batch', WHOLE_WORKER_STEP, WHOLE_WORKER_STEP)
    running = 'new.0.0.0'
    # The objective of the old job is 3 x 4 s.
    for number in range(30):
        site.submit(f'n{number}', 'normal', WHOLE_WORKER_STEP)
        site.decide(advance_ms=4000)
        site.end(running)
        [running] = site.ordered_tasks()
    assert site.progress['old'].state is JobState.completed


def test_overdue_job_stops_no_other_runs():
    """Work that is too late to be useful must not destroy work in progress."""
    site = Site(racks=('r1',))
    site.submit('x', 'batch', StepSpec(1, 8000, 8000, 8, 600_000))
    site.decide()
    site.submit('old', 'normal', WHOLE_WORKER_STEP)
    # In one step, so that the job is not about to be late in between.
    site.decide(advance_ms=100_000)
    assert site.ordered_tasks() == ['x.0.0.0']


def test_one_overdue_job_at_a_time_comes_before_other_work():
    """After an outage, overdue jobs must not hold up all other work."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', StepSpec(2, 1000, 1000, 8, 200_000))
    site.decide()
    for name in ('old-1', 'old-2'):
        site.submit(name, 'batch', WHOLE_WORKER_STEP)
        site.decide(advance_ms=10)
    site.decide(advance_ms=100_000)
    site.submit('new', 'normal', WHOLE_WORKER_STEP)
    site.end('x.0.0.0')
    site.end('x.0.0.1')
    assert site.ordered_tasks() == ['new.0.0.0', 'old-1.0.0.0']


def test_overdue_job_that_fits_nowhere_does_not_hold_up_the_next_one():
    """A job that can never run must not keep others from finishing."""
    site = Site(racks=('r1',))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 200_000))
    site.decide()
    site.submit('huge', 'batch', StepSpec(1, 1000, 1000, 9, 1000))
    site.decide(advance_ms=10)
    site.submit('old', 'batch', WHOLE_WORKER_STEP)
    site.decide(advance_ms=100_000)
    site.submit('new', 'normal', WHOLE_WORKER_STEP)
    site.end('x.0.0.0')
    assert site.ordered_tasks() == ['old.0.0.0']


def _spec_for_service(service):
    return JobSpec(
        queue='unknown',
        workspace='team',
        service=service,
        payload='',
        steps=(StepSpec(1, 1, 1, 1, 1),),
    )


def test_round_under_overload_does_not_try_each_waiting_step(monkeypatch):
    """With many waiting steps, each round looked at each worker for each.

    The rounds of a large fleet then took longer than urgent work may wait.
    """
    workers, jobs = 40, 100
    site = Site(racks=('r1',) * workers)
    site.submit('x', 'batch', StepSpec(workers * 8, 1000, 1000, 1, 60_000))
    site.decide()
    gang = StepSpec(2, 1000, 1000, 8, 4000, is_gang=True)
    for number in range(jobs):
        site.submit(f'w{number}', 'batch', gang)
    site.decide()
    calls = []
    candidates = WorkerPool.candidates

    def counted(self, demand):
        calls.append(demand)
        return candidates(self, demand)

    monkeypatch.setattr(WorkerPool, 'candidates', counted)
    site.decide(advance_ms=250)
    assert len(calls) < jobs


def site_with_less_cpu_than_is_used():
    """Return a site whose first worker has accelerators free, but no cores."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'batch', StepSpec(1, 60_000, 1000, 1, 60_000))
    site.decide()
    site.capacities['n0'] = (30_000, 256_000, 8)
    site.report_all()
    return site


def test_gang_without_cpu_is_not_placed_on_an_overcommitted_worker():
    """Guards against members whose start is rejected again and again."""
    site = site_with_less_cpu_than_is_used()
    gang = StepSpec(2, 8000, 1000, 4, 4000, is_gang=True, ignores_cpu=True)
    site.submit('g', 'normal', gang)
    site.decide()
    assert site.minion_of('g.0.0.0') == 'm1'
    assert site.minion_of('g.0.0.1') == 'm1'


def test_overcommitted_worker_is_no_room_for_urgent_work():
    """Guards against urgent work that waits where it cannot start."""
    site = site_with_less_cpu_than_is_used()
    site.submit('y', 'batch', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide()
    site.submit(
        'u', 'urgent', StepSpec(1, 8000, 1000, 4, 2000, ignores_cpu=True)
    )
    site.decide(advance_ms=100)
    assert site.orders['m1', 'y.0.0.0'].is_stopped


def test_gang_that_shrunken_workers_cannot_hold_reserves_nothing():
    """Guards against room kept idle for a gang until a worker grows again."""
    site = Site(racks=('r1', 'r1', 'r1'))
    site.capacities['n0'] = (35_200, 144_000, 4)
    site.report_all()
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 8, 4000))
    site.decide()
    site.submit('g', 'normal', StepSpec(3, 1000, 1000, 8, 9000, is_gang=True))
    site.submit('s', 'batch', StepSpec(12, 1000, 1000, 1, 60_000))
    site.decide(advance_ms=100)
    assert len(site.ordered_tasks()) == 13


def test_overcommitted_worker_is_reserved_for_when_enough_runs_have_ended():
    """Guards against a reservation that begins while a worker is too full."""
    site = Site(racks=('r1',))
    site.submit('x', 'normal', StepSpec(1, 1000, 1000, 4, 4000))
    site.submit('y', 'normal', StepSpec(1, 1000, 1000, 4, 20_000))
    site.decide()
    site.capacities['n0'] = (35_200, 144_000, 4)
    site.submit('w', 'normal', StepSpec(1, 1000, 1000, 4, 30_000))
    site.submit('s', 'batch', StepSpec(1, 0, 1000, 0, 9000))
    site.decide(advance_ms=100)
    assert site.ordered_tasks() == ['x.0.0.0', 'y.0.0.0']
    site.end('x.0.0.0')
    assert site.ordered_tasks() == ['s.0.0.0', 'y.0.0.0']
    site.end('y.0.0.0')
    assert site.ordered_tasks() == ['s.0.0.0', 'w.0.0.0']
