"""Bad workers, bad jobs and jobs that exceed their size are told apart."""

from datetime import timedelta

import pytest

from dragonflynotch.core.actions import (
    QuarantineWorker,
    ReadmitWorker,
    ThrottleMember,
)
from dragonflynotch.core.events import (
    WORKER_RESTARTED,
    Guarantee,
    GuaranteesChanged,
    MemberFailed,
    MemberRefused,
    MemberReport,
    MemberState,
    WorkerReported,
)
from dragonflynotch.core.policy import PolicySettings
from dragonflynotch.core.shapes import Proximity, Shape
from tests.core.driver import Driver, make_worker

AVOIDANCE_PERIOD = PolicySettings().avoidance_period
WORKERS = [make_worker(number, rack=number // 3) for number in range(11)]


@pytest.fixture
def driver():
    return Driver(WORKERS)


def actions_of_type(driver, kind):
    return [action for action in driver.actions if isinstance(action, kind)]


def fail(driver, job_id, event=MemberFailed):
    while driver.state(job_id) == 'waiting':
        driver.advance(timedelta(seconds=20))
    job = driver.records[job_id]
    worker_id = job.members[0].worker_id
    driver.guards.members.pop((job_id, job.attempt, worker_id), None)
    driver.send(event(job_id, job.attempt, worker_id, 'exit code 1'))
    return worker_id


def fail_new(driver, job_id):
    driver.submit(job_id, 8, Proximity.worker)
    return fail(driver, job_id)


def fail_on(driver, worker_id, job_id, event=MemberFailed, accelerators=8):
    """Submit jobs until one is placed on the worker, and let that one fail."""
    driver.submit(job_id, accelerators, Proximity.worker)
    while driver.records[job_id].members[0].worker_id != worker_id:
        driver.submit(f'{job_id}-other', accelerators, Proximity.worker)
        job_id = f'{job_id}-other'
    fail(driver, job_id, event)
    driver.finish(job_id)


@pytest.mark.parametrize('event', [MemberFailed, MemberRefused])
def test_worker_that_fails_distinct_jobs_is_quarantined(driver, event):
    """Guards against placing more jobs on a worker that fails all of them."""
    for name in 'abc':
        fail_on(driver, 'w0', name, event)
        driver.advance(timedelta(seconds=6))
    assert [
        entry.worker_id for entry in actions_of_type(driver, QuarantineWorker)
    ] == ['w0']
    driver.submit('d', 8, Proximity.worker)
    assert driver.records['d'].members[0].worker_id != 'w0'
    driver.advance(timedelta(minutes=10))
    assert actions_of_type(driver, ReadmitWorker) == [ReadmitWorker('w0')]


def test_success_of_an_older_gang_does_not_hide_a_bad_worker(driver):
    """Guards against gangs from before a fault that clear its failures."""
    driver.submit('old', 1, Proximity.worker)
    worker_id = driver.records['old'].members[0].worker_id
    for name in 'abc':
        driver.advance(timedelta(seconds=6))
        fail_on(driver, worker_id, name, accelerators=7)
        if name == 'b':
            driver.finish('old')
    assert [
        entry.worker_id for entry in actions_of_type(driver, QuarantineWorker)
    ] == [worker_id]


def test_failures_of_a_single_job_do_not_quarantine_its_worker():
    """Guards against quarantining healthy workers because of a bad job."""
    driver = Driver(WORKERS[:1])
    driver.submit('a', 8)
    for _ in range(7):
        fail(driver, 'a')
    assert not actions_of_type(driver, QuarantineWorker)
    assert driver.state('a') == 'waiting'
    fail(driver, 'a')
    assert driver.state('a') == 'failed'


def test_job_that_fails_on_distinct_workers_is_a_bad_job(driver):
    """Guards against retrying a bad job for ever."""
    driver.submit('a', 8, Proximity.worker)
    workers = [fail(driver, 'a') for _ in range(4)]
    assert len(set(workers)) == 4
    assert driver.state('a') == 'failed'
    assert 'distinct workers' in driver.records['a'].detail


def restart_worker(driver, worker_id):
    """End all members on a worker as its restart does."""
    for job_id, job in list(driver.records.items()):
        if any(member.worker_id == worker_id for member in job.members):
            key = (job_id, job.attempt, worker_id)
            driver.guards.members.pop(key, None)
            driver.send(MemberFailed(*key, WORKER_RESTARTED))


def test_job_that_restarts_its_workers_fails(driver):
    """Guards against a job that crashes one worker after another."""
    driver.submit('a', 8, Proximity.worker)
    restarts = 0
    while driver.state('a') != 'failed' and restarts < 20:
        while driver.state('a') == 'waiting':
            driver.advance(timedelta(seconds=20))
        restart_worker(driver, driver.records['a'].members[0].worker_id)
        restarts += 1
    assert restarts == 4
    assert WORKER_RESTARTED in driver.records['a'].detail


def test_neighbours_of_a_job_that_restarts_its_worker_are_not_blamed():
    """Guards against failing healthy jobs and quarantining their worker."""
    driver = Driver(WORKERS[:1])
    for name in 'abcd':
        driver.submit(name, 1, Proximity.worker)
    driver.advance(timedelta(minutes=1))
    driver.submit('bad', 1, Proximity.worker)
    restart_worker(driver, 'w0')
    assert not actions_of_type(driver, QuarantineWorker)
    assert all(not driver.records[name].failures for name in 'abcd')
    assert driver.records['bad'].failures == 1


def test_quarantine_is_limited_to_a_share_of_the_workers():
    """Guards against a common fault that puts every worker in quarantine."""
    driver = Driver(WORKERS[:4])
    for name in 'abc':
        fail_on(driver, 'w0', name)
    assert not actions_of_type(driver, QuarantineWorker)


def report_usage(driver, cores):
    job = driver.records['a']
    worker_id = job.members[0].worker_id
    usage = MemberReport(
        'a', job.attempt, MemberState.running, (0,), cores_used=cores
    )
    driver.send(WorkerReported(worker_id, (usage,), 1))


@pytest.mark.parametrize(
    ('usage', 'throttled', 'state'),
    [
        ([9], 0, 'running'),
        ([9, 8, 9], 0, 'running'),
        ([9, 9], 1, 'running'),
        ([9, 9, 8, 8], 1, 'running'),
        ([9, 9, 9, 9], 1, 'failed'),
    ],
)
def test_job_that_exceeds_its_cores_is_throttled_then_stopped(
    driver, usage, throttled, state
):
    """Guards against acting on a single, possibly outdated usage report."""
    driver.submit('a', 8, Proximity.worker)
    for cores in usage:
        report_usage(driver, cores)
    assert len(actions_of_type(driver, ThrottleMember)) == throttled
    assert driver.state('a') == state


def test_firm_job_returns_to_the_only_worker_that_it_may_use():
    """Guards against waiting for ever to avoid the only permitted worker."""
    driver = Driver(WORKERS[:2])
    owner = Guarantee('owner', Shape(8, Proximity.worker))
    driver.send(GuaranteesChanged((owner,)))
    driver.submit('firm', 8, Proximity.worker, is_checkpointable=False)
    fail(driver, 'firm')
    assert driver.state('firm') == 'running'


def test_failed_job_does_not_wait_for_ever_beside_an_idle_worker():
    """Guards against avoiding the only free worker without a time limit."""
    driver = Driver(WORKERS[:2])
    driver.submit('other', 8, Proximity.worker, is_checkpointable=False)
    driver.submit('a', 8, Proximity.worker)
    worker_id = fail(driver, 'a')
    driver.advance(AVOIDANCE_PERIOD - timedelta(seconds=1))
    assert driver.state('a') == 'waiting'
    driver.advance(timedelta(seconds=1))
    assert driver.state('a') == 'running'
    assert driver.records['a'].members[0].worker_id == worker_id


def test_quarantine_of_a_worker_does_not_renew_an_avoidance():
    """Guards against avoiding workers again because another one is bad."""
    driver = Driver(WORKERS[:5])
    for number in range(3):
        driver.submit(
            f'other-{number}', 8, Proximity.worker, is_checkpointable=False
        )
    driver.submit('a', 8, Proximity.worker)
    failed_on = {fail(driver, 'a'), fail(driver, 'a')}
    driver.advance(AVOIDANCE_PERIOD + timedelta(minutes=1))
    worker_id = driver.records['a'].members[0].worker_id
    bad_workers = {fail_new(driver, name) for name in 'bc'}
    assert failed_on == {worker_id, *bad_workers}
    assert actions_of_type(driver, QuarantineWorker)
    restart_worker(driver, worker_id)
    driver.advance(timedelta(minutes=1))
    assert driver.state('a') == 'running'


def test_retries_of_a_failed_job_are_spread_over_time():
    """Guards against failing a job for good within minutes."""
    driver = Driver(WORKERS[:1])
    driver.submit('a', 8)
    started = driver.clock.now()
    while driver.state('a') != 'failed':
        fail(driver, 'a')
    assert driver.clock.now() - started >= timedelta(minutes=20)


def test_failures_on_a_bad_worker_do_not_count_against_a_job(driver):
    """Guards against failing good jobs because of a bad worker."""
    for name in 'abc':
        driver.submit(name, 2, Proximity.worker)
    for name in 'abc':
        fail(driver, name)
    assert actions_of_type(driver, QuarantineWorker)
    jobs = [driver.partition.job(name) for name in 'abc']
    assert [job.failures for job in jobs] == [0, 0, 0]


def test_failures_on_a_bad_worker_beyond_the_cap_do_not_count_either():
    """Guards against failing good jobs when the cap prevents a quarantine."""
    driver = Driver(WORKERS[:3])
    for name in 'abc':
        driver.submit(name, 2, Proximity.worker)
    for name in 'abc':
        fail(driver, name)
    assert not actions_of_type(driver, QuarantineWorker)
    jobs = [driver.partition.job(name) for name in 'abc']
    assert [job.failures for job in jobs] == [0, 0, 0]
