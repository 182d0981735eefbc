"""Tests of how a partition starts, stops and refuses jobs."""

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


def of_type(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]


def test_job_runs_and_finishes(driver):
    """Guards against an accepted job that does not reach a final state."""
    driver.submit('a', 16)
    assert driver.state('a') == 'running'
    driver.finish('a')
    assert driver.state('a') == 'finished'


def test_no_member_starts_before_all_are_prepared(driver):
    """Guards against a gang that runs on only some of its accelerators."""
    driver.is_manual = True
    driver.submit('a', 16)
    first, second = of_type(driver.outbox, PrepareMember)
    assert not of_type(
        driver.send(MemberPrepared('a', 1, first.worker_id)), StartMember
    )
    actions = driver.send(MemberPrepared('a', 1, second.worker_id))
    assert len(of_type(actions, StartMember)) == 2


@pytest.mark.parametrize('accelerators', [9, 25])
def test_impossible_job_is_refused_with_the_reason(driver, accelerators):
    """Guards against accepting a job that can never run."""
    proximity = Proximity.worker if accelerators == 9 else Proximity.rack
    driver.submit('a', accelerators, proximity)
    assert isinstance(driver.answers['a'], NeverRunnable)
    assert str(accelerators) in driver.answers['a'].reason


def test_repeated_submission_is_accepted_once(driver):
    """Guards against a second gang after a caller repeats a submission."""
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
def test_gang_is_stopped_when_a_member_fails(driver, event):
    """Guards against a gang that runs on without one of its members."""
    driver.is_manual = True
    driver.submit('a', 24)
    actions = driver.send(event)
    stopped = {order.worker_id for order in of_type(actions, StopMember)}
    assert stopped >= {'w1', 'w2'}


def test_prepare_timeout_aborts_and_requeues(driver):
    """Guards against accelerators held while a guard does not answer."""
    driver.is_manual = True
    driver.submit('a', 24)
    driver.advance(5 * SECOND)
    assert driver.state('a') == 'stopping'
    assert of_type(driver.outbox, StopMember)


def test_failed_gang_restarts_from_its_checkpoint(driver):
    """Guards against a restart that ignores the last checkpoint."""
    driver.submit('a', 24)
    driver.advance(timedelta(minutes=11))
    actions = driver.send(MemberFailed('a', 1, 'w0', 'exit code 1'))
    orders = of_type(actions, PrepareMember)
    assert {order.attempt for order in orders} == {2}
    assert {order.checkpoint for order in orders} == {'a/1/1'}


def test_silent_worker_holds_its_job_for_the_task_lease(driver):
    """Guards against two attempts of a job running at the same time."""
    driver.submit('a', 8)
    worker_id = driver.records['a'].members[0].worker_id
    driver.guards.silent.add(worker_id)
    driver.send(WorkerLost(worker_id, 'silent'))
    driver.advance(19 * SECOND)
    assert driver.state('a') == 'stopping'
    driver.advance(SECOND)
    assert driver.state('a') == 'running'


def test_events_of_an_earlier_attempt_change_nothing(driver):
    """Guards against a delayed event that stops the current attempt."""
    driver.submit('a', 24)
    driver.send(MemberFailed('a', 1, 'w0', 'exit code 1'))
    assert not driver.send(MemberFailed('a', 1, 'w1', 'exit code 1'))
    assert driver.state('a') == 'running'


def test_cancelled_jobs_end_and_free_their_accelerators(driver):
    """Guards against a cancelled job that keeps running or waiting."""
    driver.submit('a', 24)
    driver.submit('b', 24)
    driver.submit('c', 24)
    driver.send(JobCancelled('b'), JobCancelled('a'))
    assert [driver.state(name) for name in 'abc'] == [
        'cancelled',
        'cancelled',
        'running',
    ]


def test_partition_without_ownership_starts_no_jobs():
    """Guards against two processes that start the same job."""
    driver = Driver(RACK, fence=0)
    driver.submit('a', 8)
    assert driver.answers['a'] == NotOwner()
    driver = Driver(RACK)
    driver.send(OwnershipLost())
    driver.submit('a', 8)
    assert not driver.records


def test_workers_that_join_are_used(driver):
    """Guards against a job that keeps waiting after workers join."""
    driver.submit('a', 24)
    driver.submit('b', 8)
    assert driver.partition.waiting(driver.clock.now())[0].job_id == 'b'
    driver.send(WorkerJoined(make_worker(9, rack=5)))
    assert driver.state('b') == 'running'


def test_job_is_accepted_while_the_workers_it_needs_are_lost(driver):
    """Guards against refusing feasible jobs during an outage."""
    workers = [entry.worker_id for entry in RACK]
    for worker_id in workers:
        driver.send(WorkerLost(worker_id, 'silent'))
    driver.advance(timedelta(minutes=1))
    driver.submit('job', 8)
    assert driver.answers['job'] == Accepted()
    driver.send(WorkerJoined(RACK[0]))
    assert driver.state('job') == 'running'
