"""Tests of takeovers from job records and reports of guards."""

from dataclasses import replace
from datetime import timedelta

import pytest

from dragonflynotch.core.actions import MemberOrder, StartMember, StopMember
from dragonflynotch.core.events import (
    MemberReport,
    MemberState,
    MemberStopped,
    WorkerJoined,
    WorkerLost,
    WorkerReported,
)
from dragonflynotch.core.jobs import JobState, Member
from tests.core.driver import SECOND, Driver, make_job, make_worker

RACK = [make_worker(number) for number in range(3)]
GANG = (Member('w0', tuple(range(8))), Member('w1', tuple(range(8))))


def record(state=JobState.running, **changes):
    return replace(
        make_job('a', 16), state=state, attempt=3, members=GANG, **changes
    )


def take_over(*jobs):
    return Driver(RACK, fence=2, jobs=jobs)


def report(driver, worker_id, state=None, attempt=3, fence=2):
    members = ()
    if state is not None:
        accelerators = tuple(range(8))
        members = (MemberReport('a', attempt, state, accelerators),)
        held = (state, Member(worker_id, accelerators))
        driver.guards.members['a', attempt, worker_id] = held
    return driver.send(WorkerReported(worker_id, members, fence))


def test_running_gang_continues_after_a_takeover():
    """Guards against restarting running gangs at a change of the owner."""
    driver = take_over(record())
    report(driver, 'w0', MemberState.running)
    report(driver, 'w1', MemberState.running)
    assert driver.partition.job('a').state is JobState.running
    driver.advance(timedelta(minutes=1))
    assert driver.partition.job('a').attempt == 3


def test_partly_started_gang_is_started_completely():
    """Guards against a gang that the earlier owner started only in part."""
    driver = take_over(record(JobState.starting))
    report(driver, 'w0', MemberState.running)
    actions = report(driver, 'w1', MemberState.prepared)
    (order,) = [entry for entry in actions if isinstance(entry, StartMember)]
    assert (order.worker_id, order.fence) == ('w1', 2)


def test_gang_with_a_missing_member_is_stopped_and_restarted():
    """Guards against a gang that runs on without one of its members."""
    driver = take_over(record())
    report(driver, 'w0', MemberState.running)
    actions = report(driver, 'w1')
    stopped = [entry for entry in actions if isinstance(entry, StopMember)]
    assert [order.worker_id for order in stopped] == ['w0']


@pytest.mark.parametrize('fence', [1, 3])
def test_report_under_another_fence_does_not_verify_a_worker(fence):
    """Guards against an order of the earlier owner after the report."""
    driver = take_over()
    report(driver, 'w0', fence=fence)
    driver.submit('b', 8)
    assert driver.state('b') == 'waiting'
    report(driver, 'w0')
    assert driver.state('b') == 'running'


def test_silent_worker_holds_job_and_accelerators_for_the_lease():
    """Guards against a second gang beside one of the earlier owner."""
    driver = take_over(record())
    report(driver, 'w0', MemberState.running)
    report(driver, 'w2')
    driver.guards.silent.add('w1')
    driver.send(WorkerLost('w1', 'silent'))
    driver.advance(19 * SECOND)
    assert driver.partition.job('a').state is JobState.stopping
    driver.advance(SECOND)
    assert driver.partition.job('a').state is JobState.running
    assert driver.partition.job('a').attempt == 4


def test_worker_that_does_not_join_is_given_up_after_the_lease():
    """Guards against a job that waits for a removed worker."""
    driver = Driver(RACK[:1], fence=2, jobs=[record()])
    report(driver, 'w0', MemberState.running)
    driver.advance(19 * SECOND)
    assert driver.partition.job('a').state is JobState.running
    driver.send(WorkerJoined(RACK[2]))
    report(driver, 'w2')
    driver.advance(SECOND)
    assert driver.partition.job('a').attempt == 4


def test_inherited_waiting_job_waits_for_unknown_attempts():
    """Guards against a second attempt beside one that was not recorded."""
    driver = take_over(make_job('a', 8))
    for number in range(3):
        report(driver, f'w{number}')
    assert driver.partition.job('a').state is JobState.waiting
    driver.advance(20 * SECOND)
    assert driver.partition.job('a').state is JobState.running


def test_unrecorded_attempt_is_stopped_and_its_number_not_reused():
    """Guards against two attempts with the same number."""
    driver = take_over(make_job('a', 8))
    actions = report(driver, 'w0', MemberState.running, attempt=5)
    orders = [entry for entry in actions if isinstance(entry, MemberOrder)]
    assert [type(order) for order in orders] == [StopMember]
    assert orders[0].attempt == 5
    report(driver, 'w1')
    report(driver, 'w2')
    driver.advance(20 * SECOND)
    assert driver.partition.job('a').attempt == 6


def test_accelerators_of_an_unrecorded_attempt_are_not_used_twice():
    """Guards against a prepare order for accelerators still in use."""
    driver = take_over()
    driver.guards.silent.add('w0')
    report(driver, 'w0', MemberState.running, attempt=5)
    driver.submit('b', 8)
    assert driver.state('b') == 'waiting'
    driver.send(MemberStopped('a', 5, 'w0'))
    assert driver.state('b') == 'starting'


def test_cancellation_survives_the_owner():
    """Guards against a new owner that runs a cancelled job again."""
    driver = take_over(record(JobState.stopping, is_cancel_requested=True))
    report(driver, 'w0')
    report(driver, 'w1')
    assert driver.partition.job('a') is None
    assert driver.state('a') == 'cancelled'


def test_two_records_that_name_one_accelerator():
    """Guards against a crash if the record of an ended member is stale."""
    driver = take_over(record(), replace(record(), job_id='b', attempt=1))
    b_member = MemberReport('b', 1, MemberState.running, tuple(range(8)))
    for worker_id in ('w0', 'w1'):
        driver.guards.members['b', 1, worker_id] = (MemberState.running, None)
        driver.send(WorkerReported(worker_id, (b_member,), 2))
    assert driver.partition.job('b').state is JobState.running
    driver.submit('c', 8)
    report(driver, 'w2')
    assert driver.records['c'].members[0].worker_id == 'w2'


def test_job_with_a_later_unrecorded_attempt_is_held_back():
    """Guards against two attempts after a takeover during a table outage.

    The earlier owner started an attempt on another worker but could not write
    its record.
    """
    driver = take_over(record())
    report(driver, 'w0')
    report(driver, 'w1')
    assert driver.partition.job('a').state is JobState.waiting
    driver.guards.silent.add('w2')
    report(driver, 'w2', MemberState.running, attempt=4)
    driver.advance(25 * SECOND)
    assert driver.partition.job('a').state is JobState.waiting
    driver.guards.silent.clear()
    driver.send(MemberStopped('a', 4, 'w2'))
    assert driver.partition.job('a').attempt == 5


def test_repeated_join_needs_no_second_report():
    """Guards against inherited jobs that wait forever for a report."""
    driver = take_over(make_job('a', 8))
    for worker in RACK:
        report(driver, worker.worker_id)
        driver.send(WorkerJoined(worker))
    driver.advance(20 * SECOND)
    assert driver.partition.job('a').state is JobState.running


def test_finished_member_of_a_stopping_gang_is_released():
    """Guards against a gang that stays in stopping after a takeover.

    One member is reported as stopped, and the next report lists the other one
    as finished.
    """
    driver = take_over(record())
    report(driver, 'w0', MemberState.stopped)
    report(driver, 'w1', MemberState.finished)
    assert driver.partition.job('a').state is JobState.waiting
