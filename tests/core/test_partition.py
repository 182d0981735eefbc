"""Jobs run as whole gangs on accelerators that no other job holds."""

from datetime import timedelta

import pytest

from dragonflynotch.core.actions import (
    Accepted,
    NeverRunnable,
    NotOwner,
    PrepareMember,
    StartMember,
    StopMember,
)
from dragonflynotch.core.events import (
    JobCancelled,
    JobSubmitted,
    MemberFailed,
    MemberPrepared,
    MemberRefused,
    OwnershipLost,
    WorkerJoined,
    WorkerLost,
)
from dragonflynotch.core.shapes import Proximity
from tests.core.driver import SECOND, Driver, make_job, make_worker

RACK = [make_worker(number) for number in range(3)]


@pytest.fixture
def driver():
    return Driver(RACK)


def kinds(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_job_runs_and_finishes(driver):
    """Guards against an accepted job that never reaches a final state."""
    driver.submit('a', 16)
    assert driver.state('a') == 'running'
    driver.finish('a')
    assert driver.state('a') == 'finished'


def test_no_member_starts_before_all_are_prepared(driver):
    """Guards against a gang that computes on a part of its accelerators."""
    driver.is_manual = True
    driver.submit('a', 16)
    first, second = kinds(driver.outbox, PrepareMember)
    assert not kinds(
        driver.send(MemberPrepared('a', 1, first.worker_id)), StartMember
    )
    actions = driver.send(MemberPrepared('a', 1, second.worker_id))
    assert len(kinds(actions, StartMember)) == 2


@pytest.mark.parametrize('accelerators', [9, 25])
def test_impossible_job_is_refused_with_the_reason(driver, accelerators):
    """Guards against a job that waits forever."""
    proximity = Proximity.worker if accelerators == 9 else Proximity.rack
    driver.submit('a', accelerators, proximity)
    assert isinstance(driver.answers['a'], NeverRunnable)
    assert str(accelerators) in driver.answers['a'].reason


def test_repeated_submission_is_accepted_once(driver):
    """Guards against a second gang after a lost answer."""
    driver.submit('a', 24)
    actions = driver.send(JobSubmitted(make_job('a', 24)))
    assert driver.answers['a'] == Accepted()
    assert len(actions) == 1


@pytest.mark.parametrize(
    'event',
    [
        MemberRefused('a', 1, 'w0', 'busy'),
        MemberFailed('a', 1, 'w0', 'exit code 1'),
        WorkerLost('w0', 'silent'),
    ],
)
def test_trouble_of_one_member_stops_all_others(driver, event):
    """Guards against a gang that goes on without a member."""
    driver.is_manual = True
    driver.submit('a', 24)
    actions = driver.send(event)
    stopped = {order.worker_id for order in kinds(actions, StopMember)}
    assert stopped >= {'w1', 'w2'}


def test_prepare_timeout_aborts_and_requeues(driver):
    """Guards against accelerators held for a guard that does not answer."""
    driver.is_manual = True
    driver.submit('a', 24)
    driver.advance(5 * SECOND)
    assert driver.state('a') == 'stopping'
    assert kinds(driver.outbox, StopMember)


def test_failed_gang_restarts_from_its_checkpoint(driver):
    """Guards against work lost although a checkpoint holds it."""
    driver.submit('a', 24)
    driver.advance(timedelta(minutes=11))
    actions = driver.send(MemberFailed('a', 1, 'w0', 'exit code 1'))
    orders = kinds(actions, PrepareMember)
    assert {order.attempt for order in orders} == {2}
    assert {order.checkpoint for order in orders} == {'a/1/1'}


def test_silent_worker_holds_its_job_for_the_task_lease(driver):
    """Guards against two attempts of a job that run at the same time."""
    driver.submit('a', 8)
    worker_id = driver.records['a'].members[0].worker_id
    driver.guards.silent.add(worker_id)
    driver.send(WorkerLost(worker_id, 'silent'))
    driver.advance(19 * SECOND)
    assert driver.state('a') == 'stopping'
    driver.advance(SECOND)
    assert driver.state('a') == 'running'


def test_events_of_an_earlier_attempt_change_nothing(driver):
    """Guards against a late message that stops the present attempt."""
    driver.submit('a', 24)
    driver.send(MemberFailed('a', 1, 'w0', 'exit code 1'))
    assert not driver.send(MemberFailed('a', 1, 'w1', 'exit code 1'))
    assert driver.state('a') == 'running'


def test_cancelled_jobs_end_and_free_their_place(driver):
    """Guards against a cancelled job that still runs or still waits."""
    driver.submit('a', 24)
    driver.submit('b', 24)
    driver.submit('c', 24)
    driver.send(JobCancelled('b'), JobCancelled('a'))
    assert [driver.state(name) for name in 'abc'] == [
        'cancelled',
        'cancelled',
        'running',
    ]


def test_partition_without_ownership_decides_nothing():
    """Guards against two owners that start the same job."""
    driver = Driver(RACK, fence=0)
    driver.submit('a', 8)
    assert driver.answers['a'] == NotOwner()
    driver = Driver(RACK)
    driver.send(OwnershipLost())
    driver.submit('a', 8)
    assert not driver.records


def test_workers_that_join_are_used(driver):
    """Guards against a waiting job that misses new capacity."""
    driver.submit('a', 24)
    driver.submit('b', 8)
    assert driver.partition.waiting(driver.clock.now())[0].job_id == 'b'
    driver.send(WorkerJoined(make_worker(9, rack=5)))
    assert driver.state('b') == 'running'


def test_job_is_not_refused_for_ever_while_its_workers_are_lost(driver):
    """Guards against refusals of feasible jobs during an outage."""
    workers = [entry.worker_id for entry in RACK]
    for worker_id in workers:
        driver.send(WorkerLost(worker_id, 'silent'))
    driver.advance(timedelta(minutes=1))
    driver.submit('job', 8)
    assert driver.answers['job'] == Accepted()
    driver.send(WorkerJoined(RACK[0]))
    assert driver.state('job') == 'running'
