"""The checks of the soak: each finds what it is there for."""

import pytest

from benchmarks.soak.findings import Timeline
from benchmarks.soak.jobs import BATCH, URGENT, SoakJob
from benchmarks.soak.promises import (
    RunChecks,
    check_at_end,
    check_cancelled,
    check_urgent,
)
from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.testing.site_caller import Answer
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunEnd

TASK = 'a.0.0.0'
OTHER = 'a.0.0.1'


class Run:
    """Checks with one job, driven by hand."""

    def __init__(self, queue=BATCH, **step):
        self.clock = ManualSteadyClock()
        self.timeline = Timeline(self.clock)
        self.timeline.begin()
        self.checks = RunChecks(self.timeline, lambda: None)
        steps = [
            StepSpec(**{'count': 2, 'accelerators': 5, **step}),
            StepSpec(1, accelerators=1, after=(0,)),
        ]
        self.job = SoakJob('a', queue, 'payload', steps, 100)
        self.checks.add(self.job)

    def found(self):
        return [finding.promise for finding in self.timeline.findings]

    def wait(self, seconds):
        self.clock.advance(int(seconds * 1000))


@pytest.fixture
def run():
    return Run()


def test_sound_run_has_no_finding(run):
    """Checks that find something in a sound run would be worth nothing."""
    run.job.accepted_s = 0
    for task, minion in ((TASK, 'm1'), (OTHER, 'm2')):
        run.checks.begin(task, 1, minion)
        run.checks.end(task, 1, minion, EndKind.done)
        run.checks.acknowledge(RunEnd(1, task, 1, EndKind.done, ''))
    run.checks.begin('a.0.1.0', 1, 'm1')
    run.checks.end('a.0.1.0', 1, 'm1', EndKind.done)
    run.job.completed_s = 1
    check_at_end(run.checks, run.timeline)
    assert not run.found()


def test_two_runs_at_once(run):
    run.checks.begin(TASK, 1, 'm1')
    run.checks.begin(TASK, 2, 'm2')
    assert run.found() == ['one run at a time']


def test_start_of_what_nobody_submitted(run):
    run.checks.begin('b.0.0.0', 1, 'm1')
    assert run.found() == ['only what was asked for']


def test_start_after_an_end_that_was_noted(run):
    run.checks.begin(TASK, 1, 'm1')
    run.checks.end(TASK, 1, 'm1', EndKind.done)
    run.checks.begin(TASK, 2, 'm1')
    assert not run.found()
    run.checks.end(TASK, 2, 'm1', EndKind.done)
    run.checks.acknowledge(RunEnd(2, TASK, 2, EndKind.done, ''))
    run.checks.begin(TASK, 3, 'm1')
    assert run.found() == ['no run after the end']


def test_step_before_the_one_it_follows(run):
    run.checks.begin('a.0.1.0', 1, 'm1')
    assert run.found() == ['steps in order']


def test_more_than_a_minion_holds(run):
    run.checks.begin(TASK, 1, 'm1')
    run.checks.begin(OTHER, 1, 'm1')
    assert run.found() == ['room of a minion']


def test_member_of_a_gang_alone():
    run = Run(is_gang=True)
    run.checks.begin(TASK, 1, 'm1')
    run.checks.end(TASK, 1, 'm1', EndKind.alone)
    assert run.found() == ['gangs start whole']


def test_fault_nearby_excuses_a_lone_member():
    run = Run(is_gang=True)
    number = run.timeline.fault_begins('link_silent')
    run.wait(1)
    run.timeline.fault_ends(number)
    run.wait(3)
    run.checks.begin(TASK, 1, 'm1')
    run.checks.end(TASK, 1, 'm1', EndKind.alone)
    assert not run.found()


def test_cancelled_job_that_starts_or_runs_on(run):
    run.job.cancelled_s = run.job.cancel_sent_s = 0
    run.wait(2)
    run.checks.begin(TASK, 1, 'm1')
    assert not run.found()
    run.wait(2)
    check_cancelled(run.job, run.checks, run.timeline)
    run.checks.begin(OTHER, 1, 'm2')
    assert run.found() == [
        'cancelled jobs are stopped',
        'cancelled jobs do not start',
    ]


def test_guaranteed_job_that_begins_late():
    run = Run(URGENT)
    run.job.accepted_s = 0
    run.checks.begin(TASK, 1, 'm1')
    run.wait(2)
    check_urgent(run.job, run.checks, run.timeline)
    assert not run.found()
    run.wait(1)
    check_urgent(run.job, run.checks, run.timeline)
    assert run.found() == ['guarantees are kept']


def test_refused_job_that_runs(run):
    run.job.answers = [Answer(503), Answer(0, is_sent=False)]
    run.checks.begin(TASK, 1, 'm1')
    check_at_end(run.checks, run.timeline)
    assert run.found() == ['refused jobs never run']


def test_unknown_answer_excuses_a_run(run):
    run.job.answers = [Answer(503), Answer(0)]
    run.checks.begin(TASK, 1, 'm1')
    check_at_end(run.checks, run.timeline)
    assert not run.found()


def test_accepted_job_that_is_never_completed(run):
    run.job.accepted_s = 0
    check_at_end(run.checks, run.timeline)
    assert run.found() == ['accepted jobs are completed']
