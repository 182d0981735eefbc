"""The longest-waiting job gets a reservation with a stated start."""

from datetime import timedelta

import pytest

from dragonflynotch.core.events import (
    Guarantee,
    GuaranteesChanged,
    JobCancelled,
    MemberFailed,
    WorkerLost,
)
from dragonflynotch.core.jobs import JobSpec, PriorityClass
from dragonflynotch.core.run_times import RunTimes
from dragonflynotch.core.shapes import Proximity, Shape
from tests.core.driver import Driver, make_job, make_worker

MINUTE = timedelta(minutes=1)
RACK = [make_worker(number) for number in range(3)]


def waiting_entry(driver, job_id):
    return next(
        entry
        for entry in driver.partition.waiting(driver.clock.now())
        if entry.job_id == job_id
    )


@pytest.fixture
def busy_driver():
    """Return a driver with two busy workers, one free and a waiting job.

    The busy workers run jobs of an hour; the waiting job needs the whole rack.
    """
    driver = Driver(RACK)
    for name in ('one', 'two'):
        driver.submit(name, 8, Proximity.worker, priority=PriorityClass.urgent)
    driver.submit('large', 24)
    return driver


def test_smaller_gangs_are_preempted_after_a_minimum_run():
    """Guards against a large gang that waits until all smaller jobs end."""
    driver = Driver(RACK)
    driver.submit('one', 8, Proximity.worker)
    driver.submit('same', 16)
    driver.submit('large', 24)
    driver.advance(9 * MINUTE)
    assert driver.state('large') == 'waiting'
    driver.advance(2 * MINUTE)
    assert driver.state('large') == 'running'
    assert driver.records['one'].checkpoint
    driver.advance(30 * MINUTE)
    assert driver.state('large') == 'running'


def test_reservation_moves_to_accelerators_that_are_free_sooner():
    """Guards against a reservation that is kept after jobs ended early."""
    driver = Driver(RACK)
    for name, hours in (('one', 1), ('two', 1), ('three', 3)):
        driver.submit(
            name,
            8,
            Proximity.worker,
            kind=name,
            declared_run_time=hours * 60 * MINUTE,
            is_checkpointable=False,
        )
    driver.submit('large', 16)
    driver.advance(2 * MINUTE)
    driver.finish('one')
    driver.finish('three')
    driver.advance(2 * MINUTE)
    assert driver.state('large') == 'running'


def test_large_job_is_not_starved_by_small_ones(busy_driver):
    """Guards against small jobs that keep a large one waiting forever."""
    busy_driver.advance(MINUTE)
    for number in range(3):
        busy_driver.submit(
            f'small{number}',
            8,
            Proximity.worker,
            kind='long',
            is_checkpointable=False,
        )
    assert busy_driver.state('small0') == 'waiting'
    start_by = waiting_entry(busy_driver, 'large').start_by
    assert start_by == busy_driver.clock.now() + timedelta(
        minutes=59, seconds=55
    )
    busy_driver.advance(start_by - busy_driver.clock.now())
    assert busy_driver.state('large') == 'running'


def test_reserved_job_starts_early_when_all_end_early(busy_driver):
    """Guards against a reserved job that waits for its expected start."""
    busy_driver.advance(MINUTE)
    busy_driver.finish('one')
    busy_driver.finish('two')
    assert busy_driver.state('large') == 'running'


@pytest.mark.parametrize(
    ('declared', 'checkpointable', 'state'),
    [
        (30, True, 'running'),
        (90, True, 'running'),
        (30, False, 'running'),
        (90, False, 'waiting'),
    ],
)
def test_jobs_beside_a_reservation_do_not_delay_it(
    busy_driver, declared, checkpointable, state
):
    """Guards against backfill that delays the reserved job."""
    busy_driver.advance(MINUTE)
    start_by = waiting_entry(busy_driver, 'large').start_by
    busy_driver.submit(
        'small',
        8,
        Proximity.worker,
        kind='short',
        declared_run_time=declared * MINUTE,
        is_checkpointable=checkpointable,
    )
    assert busy_driver.state('small') == state
    if state == 'running' and not checkpointable:
        busy_driver.finish('small')
    busy_driver.advance(start_by - busy_driver.clock.now())
    assert busy_driver.state('large') == 'running'


def test_backfill_skips_a_window_that_is_too_short(busy_driver):
    """Guards against backfill jobs that are stopped soon after their start."""
    busy_driver.advance(56 * MINUTE)
    busy_driver.submit('small', 8, Proximity.worker, kind='short')
    assert busy_driver.state('small') == 'waiting'


def test_job_that_overruns_its_window_is_checkpointed_and_requeued(busy_driver):
    """Guards against a declared run time that is far too short."""
    busy_driver.advance(MINUTE)
    busy_driver.submit('small', 8, kind='short', declared_run_time=MINUTE)
    busy_driver.advance(timedelta(minutes=60))
    assert busy_driver.state('large') == 'running'
    assert busy_driver.state('small') == 'waiting'
    assert busy_driver.records['small'].checkpoint


def test_lost_worker_ends_the_reservation(busy_driver):
    """Guards against a reservation on a worker that was lost."""
    busy_driver.send(*[])
    busy_driver.advance(MINUTE)
    busy_driver.send(WorkerLost('w2', 'silent'))
    assert waiting_entry(busy_driver, 'large').start_by is None


def test_reservation_avoids_the_worker_on_which_the_job_failed():
    """Guards against a job that fails for good because of one worker."""
    driver = Driver(RACK)
    for name in ('job', 'one', 'two'):
        driver.submit(
            name, 8, Proximity.worker, is_checkpointable=name == 'job'
        )
    failed = driver.records['job'].members[0].worker_id
    driver.send(MemberFailed('job', 1, failed))
    driver.advance(2 * MINUTE)
    assert driver.state('job') == 'waiting'


def test_cancelled_job_releases_its_reservation(busy_driver):
    """Guards against accelerators reserved for a cancelled job."""
    busy_driver.advance(MINUTE)
    busy_driver.submit('small', 8, kind='long', is_checkpointable=False)
    assert busy_driver.state('small') == 'waiting'
    busy_driver.send(JobCancelled('large'))
    assert busy_driver.state('small') == 'running'


def test_guarantee_comes_before_a_reservation_that_is_due():
    """Guards against a reservation that delays the owner of a guarantee."""
    driver = Driver(RACK[:2])
    shape = Shape(4, Proximity.worker)
    driver.send(GuaranteesChanged((Guarantee('owner', shape, True),)))
    driver.submit('firm', 8, Proximity.worker, is_checkpointable=False)
    driver.submit('large', 16)
    assert driver.state('large') == 'waiting'
    driver.advance(62 * MINUTE)
    driver.submit(
        'urgent', 4, Proximity.worker, workspace='owner', kind='urgent'
    )
    assert driver.state('urgent') == 'running'


def test_idle_partition_has_no_deadline():
    """Guards against timers that fire forever without a purpose."""
    driver = Driver(RACK)
    driver.submit('a', 24, is_checkpointable=False)
    driver.finish('a')
    assert driver.partition.next_deadline is None


@pytest.mark.parametrize(
    ('observed', 'expected'),
    [([], 60), ([90], 90), ([5] * 10, 5), ([*range(1, 11)], 9)],
)
def test_run_times_are_learned_from_observations(observed, expected):
    """Guards against estimates from declared run times that are far off."""
    run_times = RunTimes(0.9)
    spec = make_job('a').spec
    assert isinstance(spec, JobSpec)
    for minutes in observed:
        run_times.observe(spec, minutes * MINUTE)
    assert run_times.estimate(spec) == expected * MINUTE
    other = JobSpec('other', 'audit', Shape(1))
    assert run_times.estimate(other) == 60 * MINUTE


def test_job_may_use_reserved_and_other_accelerators_together():
    """Guards against idle accelerators in a rack that is partly reserved."""
    driver = Driver(RACK)
    for name, size, hours in (('one', 8, 1), ('two', 4, 10)):
        driver.submit(
            name,
            size,
            Proximity.worker,
            kind=name,
            declared_run_time=hours * 60 * MINUTE,
            is_checkpointable=False,
        )
    driver.submit('large', 16)
    driver.advance(2 * MINUTE)
    driver.submit('beside', 12, kind='long')
    assert driver.state('beside') == 'running'
