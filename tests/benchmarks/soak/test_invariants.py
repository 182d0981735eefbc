"""Each check of the soak test reports the violation of its invariant."""

import pytest

from benchmarks.soak.findings import Timeline
from benchmarks.soak.invariants import (
    RunChecks,
    check_cancelled,
    check_final_state,
    check_urgent,
)
from benchmarks.soak.jobs import BATCH, URGENT, SoakJob
from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.testing.site_caller import Answer
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunEnd

TASK = 'a.0.0.0'
OTHER = 'a.0.0.1'


class CheckedRun:
    """Checks of one job, with a manual clock."""

    def __init__(self, queue=BATCH, **step):
        self.clock = ManualSteadyClock()
        self.timeline = Timeline(self.clock)
        self.timeline.start()
        self.checks = RunChecks(self.timeline, lambda: None)
        steps = [
            StepSpec(**{'count': 2, 'accelerators': 5, **step}),
            StepSpec(1, accelerators=1, after=(0,)),
        ]
        self.job = SoakJob('a', queue, 'payload', steps, 100)
        self.checks.add(self.job)

    def violated_invariants(self):
        return [finding.invariant for finding in self.timeline.findings]

    def advance_time(self, seconds):
        self.clock.advance(int(seconds * 1000))


@pytest.fixture
def run():
    return CheckedRun()


def test_correct_run_has_no_finding(run):
    """A correct run must not give a false finding."""
    run.job.accepted_s = 0
    for task, minion in ((TASK, 'm1'), (OTHER, 'm2')):
        run.checks.record_start(task, 1, minion)
        run.checks.record_end(task, 1, minion, EndKind.done)
        run.checks.acknowledge(RunEnd(1, task, 1, EndKind.done, ''))
    run.checks.record_start('a.0.1.0', 1, 'm1')
    run.checks.record_end('a.0.1.0', 1, 'm1', EndKind.done)
    run.job.completed_s = 1
    check_final_state(run.checks, run.timeline)
    assert not run.violated_invariants()


def test_two_concurrent_runs_of_a_task_are_found(run):
    run.checks.record_start(TASK, 1, 'm1')
    run.checks.record_start(TASK, 2, 'm2')
    assert run.violated_invariants() == ['one run at a time']


def test_start_of_an_unsubmitted_job_is_found(run):
    run.checks.record_start('b.0.0.0', 1, 'm1')
    assert run.violated_invariants() == ['only submitted jobs run']


def test_start_after_an_acknowledged_end_is_found(run):
    run.checks.record_start(TASK, 1, 'm1')
    run.checks.record_end(TASK, 1, 'm1', EndKind.done)
    run.checks.record_start(TASK, 2, 'm1')
    assert not run.violated_invariants()
    run.checks.record_end(TASK, 2, 'm1', EndKind.done)
    run.checks.acknowledge(RunEnd(2, TASK, 2, EndKind.done, ''))
    run.checks.record_start(TASK, 3, 'm1')
    assert run.violated_invariants() == ['no run after a reported end']


def test_step_before_its_predecessor_is_found(run):
    run.checks.record_start('a.0.1.0', 1, 'm1')
    assert run.violated_invariants() == ['steps in order']


def test_too_many_accelerators_on_a_minion_are_found(run):
    run.checks.record_start(TASK, 1, 'm1')
    run.checks.record_start(OTHER, 1, 'm1')
    assert run.violated_invariants() == ['accelerators of a minion suffice']


def test_gang_member_without_the_others_is_found():
    run = CheckedRun(is_gang=True)
    run.checks.record_start(TASK, 1, 'm1')
    run.checks.record_end(TASK, 1, 'm1', EndKind.alone)
    assert run.violated_invariants() == ['gangs start completely']


def test_recent_fault_excuses_a_gang_member_without_the_others():
    run = CheckedRun(is_gang=True)
    number = run.timeline.begin_fault('link_silent')
    run.advance_time(1)
    run.timeline.end_fault(number)
    run.advance_time(3)
    run.checks.record_start(TASK, 1, 'm1')
    run.checks.record_end(TASK, 1, 'm1', EndKind.alone)
    assert not run.violated_invariants()


def test_cancelled_job_that_starts_or_still_runs_is_found(run):
    run.job.cancelled_s = run.job.cancel_sent_s = 0
    run.advance_time(2)
    run.checks.record_start(TASK, 1, 'm1')
    assert not run.violated_invariants()
    run.advance_time(2)
    check_cancelled(run.job, run.checks, run.timeline)
    run.checks.record_start(OTHER, 1, 'm2')
    assert run.violated_invariants() == [
        'cancelled jobs are stopped',
        'cancelled jobs do not start',
    ]


def test_late_start_of_a_guaranteed_job_is_found():
    run = CheckedRun(URGENT)
    run.job.accepted_s = 0
    run.checks.record_start(TASK, 1, 'm1')
    run.advance_time(2)
    check_urgent(run.job, run.checks, run.timeline)
    assert not run.violated_invariants()
    run.advance_time(1)
    check_urgent(run.job, run.checks, run.timeline)
    assert run.violated_invariants() == ['guaranteed jobs start in time']


def test_run_of_a_refused_job_is_found(run):
    run.job.answers = [Answer(503), Answer(0, is_sent=False)]
    run.checks.record_start(TASK, 1, 'm1')
    check_final_state(run.checks, run.timeline)
    assert run.violated_invariants() == ['refused jobs never run']


def test_unknown_answer_excuses_a_run(run):
    run.job.answers = [Answer(503), Answer(0)]
    run.checks.record_start(TASK, 1, 'm1')
    check_final_state(run.checks, run.timeline)
    assert not run.violated_invariants()


def test_accepted_job_without_completion_is_found(run):
    run.job.accepted_s = 0
    check_final_state(run.checks, run.timeline)
    assert run.violated_invariants() == ['accepted jobs are completed']


def test_repeated_crashes_by_one_task_are_found(run):
    """A task that crashes minions without end must not go unnoticed."""
    run.checks.crashing_tasks.add(TASK)
    for number in range(5):
        run.checks.record_start(TASK, number + 1, f'm{number}')
        run.checks.record_end(TASK, number + 1, f'm{number}', 'crashed')
    assert not run.violated_invariants()
    run.checks.record_start(TASK, 6, 'm6')
    assert run.violated_invariants() == [
        'tasks that crash minions are given up'
    ]
