"""Tests of the oracle that judges by what the minions run."""

import pytest

from benchmarks.idle_search.faults import FaultKind, MachineFault
from dragonflynotch.workflows.jobs import StepSpec
from tests.benchmarks.idle_search.site import (
    TASK,
    JudgedFleet,
    make_arrival,
    make_day,
)

WAIT_MS = 4000


def make_fleet(*steps, **fields):
    job = make_arrival('job', 0, *(steps or (TASK,)))
    return JudgedFleet(make_day(job, **fields))


def test_job_that_is_never_ordered_waits():
    """The oracle missed a job that nobody starts."""
    site = make_fleet()
    site.advance(WAIT_MS)
    assert site.waits() == {'job': {'placement': WAIT_MS}}


def test_order_is_no_run():
    """An order to a minion that answers no start counted as a run."""
    refusing = MachineFault(FaultKind.refusing, 0, 0, WAIT_MS * 2)
    site = make_fleet(faults=(refusing,))
    site.order('job.0.0.0')
    site.advance(WAIT_MS)
    assert site.waits() == {'job': {'placement': WAIT_MS}}


def test_job_with_a_run_does_not_wait():
    """The oracle blamed a job that runs, for its other tasks."""
    site = make_fleet(StepSpec(8, 2800, 7392, 1, 20_000))
    site.order('job.0.0.0')
    site.advance(WAIT_MS)
    assert site.waits()['job']['placement'] < 200


@pytest.mark.parametrize('end', ['cancelled', 'completed'])
def test_ended_job_does_not_wait(end):
    """The oracle blamed a job that its caller had cancelled, or an old one."""
    site = make_fleet()
    if end == 'cancelled':
        site.store.cancelled.add('job')
    else:
        site.end_job('job')
    site.advance(WAIT_MS)
    assert not site.waits()


def test_room_for_one_task_is_not_enough():
    """The rule only holds while the task fits twice."""
    site = make_fleet(StepSpec(1, 1000, 1000, 8, 5000), machines=1)
    site.advance(WAIT_MS)
    assert not site.waits()


def test_room_of_a_lost_machine_does_not_count():
    """Room on a machine without power counted."""
    lost = MachineFault(FaultKind.lost, 1, 0, 100_000)
    site = make_fleet(StepSpec(1, 1000, 1000, 8, 5000), faults=(lost,))
    site.advance(WAIT_MS)
    assert not site.waits()


def test_limit_per_worker_bounds_the_room():
    """Two tasks on one worker counted as a fit although one is allowed."""
    step = StepSpec(1, 2800, 7392, 1, 5000, max_per_worker=1)
    site = make_fleet(step, machines=1)
    site.advance(WAIT_MS)
    assert not site.waits()


def test_busy_service_excuses_a_wait():
    """Half of the capacity in use excuses a wait, judged by what runs."""
    step = StepSpec(8, 2800, 7392, 1, 50_000)
    busy = make_arrival('busy', 0, step)
    site = JudgedFleet(make_day(busy, make_arrival('job', 0, TASK)))
    for index in range(8):
        site.order(f'busy.0.0.{index}')
    site.advance(WAIT_MS)
    assert site.waits()['job']['placement'] < 200


def test_second_step_waits_before_the_leader_knows():
    """A step was only due once the end of the one before was recorded."""
    second = StepSpec(1, 2800, 7392, 1, 1000, after=(0,))
    site = make_fleet(StepSpec(1, 2800, 7392, 1, 1000), second)
    site.order('job.0.0.0')
    site.advance(1500)
    site.oracle.finish()
    site.oracle.waits.clear()
    site.advance(WAIT_MS)
    assert site.waits() == {'job': {'placement': WAIT_MS}}


def test_absence_of_the_leader_stops_the_clock():
    """A wait without any leader is no fault of placement."""
    site = make_fleet()
    site.advance(1000)
    site.advance(WAIT_MS, has_leader=False)
    site.advance(1000)
    assert site.waits() == {'job': {'placement': 2000}}


def test_hold_of_a_lost_run_is_told_apart():
    """A stated hold was taken for a fault, or for ever."""
    lost = MachineFault(FaultKind.lost, 2, 2000, 100_000)
    site = make_fleet(machines=3, faults=(lost,))
    site.order('job.0.0.0', machine=2)
    site.advance(1000)
    site.oracle.finish()
    site.oracle.waits.clear()
    site.advance(20_000)
    assert site.waits() == {'job': {'lost_machine': 15_000, 'placement': 5000}}


def test_task_without_an_order_is_no_hold():
    """A job was excused although another of its tasks could start."""
    lost = MachineFault(FaultKind.lost, 2, 2000, 100_000)
    step = StepSpec(2, 2800, 7392, 1, 50_000)
    site = make_fleet(step, machines=3, faults=(lost,))
    site.order('job.0.0.0', machine=2)
    site.advance(1000)
    site.oracle.finish()
    site.oracle.waits.clear()
    site.advance(WAIT_MS)
    assert site.waits() == {'job': {'placement': WAIT_MS}}


def test_guard_that_is_not_heard_is_told_apart():
    """A wait for a guard without contact was not distinguishable."""
    silent = MachineFault(FaultKind.silent, 0, 0, 100_000)
    site = make_fleet(faults=(silent,))
    site.order('job.0.0.0')
    site.advance(WAIT_MS)
    assert site.waits() == {'job': {'unheard_guard': WAIT_MS}}


def test_hold_of_a_crashed_run_is_told_apart():
    """A run is held while the lease of its minion may be valid, no longer."""
    crash = MachineFault(FaultKind.crash, 2, 2000, 100_000)
    site = make_fleet(machines=3, faults=(crash,))
    site.order('job.0.0.0', machine=2)
    site.advance(1000)
    site.oracle.finish()
    site.oracle.waits.clear()
    site.advance(7000)
    times_ms = site.waits()['job']
    assert times_ms == {'crashed_minion': 5700, 'placement': 1300}


def test_two_runs_of_a_task_are_found():
    """A task that runs twice at the same time went unnoticed."""
    site = make_fleet()
    site.order('job.0.0.0')
    site.order('job.0.0.0', machine=1, run=2)
    site.advance(500)
    assert site.violations == [('two runs at the same time', 'job.0.0.0')]


def test_step_before_its_turn_is_found():
    """A step that starts before the one that it follows went unnoticed."""
    second = StepSpec(1, 2800, 7392, 1, 1000, after=(0,))
    site = make_fleet(TASK, second)
    site.order('job.0.1.0')
    site.advance(500)
    assert site.violations == [('started before its turn', 'job.0.1.0')]


def test_more_tasks_than_the_limit_are_found():
    """More tasks on a worker than allowed went unnoticed."""
    site = make_fleet(StepSpec(2, 2800, 7392, 1, 5000, max_per_worker=1))
    site.order('job.0.0.0')
    site.order('job.0.0.1')
    site.advance(500)
    rules = [rule for rule, _ in site.violations]
    assert rules == ['more than the limit per worker']
