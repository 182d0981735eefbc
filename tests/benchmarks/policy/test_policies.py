"""Every policy accounts for every job, and its results are repeatable."""

import json

import pytest

from benchmarks.policy.__main__ import PolicyBenchmark
from benchmarks.policy.baselines import EasyBackfill
from benchmarks.policy.comparison import POLICIES, run_policy
from benchmarks.policy.driver import Replay
from benchmarks.policy.report import judge, render
from benchmarks.policy.workloads import WorkloadSettings, generate
from tests.benchmarks.policy.test_driver import EPOCH, MINUTE, make_job, replay

HOURS = 5
TRACES = {
    workload: generate(WorkloadSettings(workload, seed=2, hours=HOURS))
    for workload in ('tavua', 'ravi')
}


@pytest.mark.parametrize('workload', TRACES)
@pytest.mark.parametrize('policy', POLICIES)
def test_every_job_has_ended_or_is_waiting(policy, workload):
    """Guards against jobs that a policy or the replay loses."""
    trace = TRACES[workload]
    for site in trace.sites:
        outcome = Replay(trace, site, POLICIES[policy](site)).run()
        if policy == 'partition':
            violations = [job.violates_guarantee for job in outcome.jobs]
            assert not any(violations)
        names = {progress.job.job_id for progress in outcome.jobs}
        assert names == {job.job_id for job in trace.jobs_of(site)}
        assert all(
            progress.end or progress.is_waiting for progress in outcome.jobs
        )
        assert not outcome.partial_gangs
        assert not outcome.double_uses


@pytest.mark.parametrize('policy', POLICIES)
def test_same_trace_gives_the_same_result(policy):
    """Guards against results that differ between runs of one trace."""
    trace = TRACES['ravi']
    assert run_policy(policy, trace) == run_policy(policy, trace)


@pytest.mark.parametrize(
    ('policy', 'order'),
    [
        ('fifo', ['a', 'b', 'long', 'short']),
        ('best-fit', ['a', 'long', 'short', 'b']),
        ('easy', ['a', 'short', 'b', 'long']),
    ],
)
def test_baselines_differ_in_which_jobs_overtake_a_blocked_gang(policy, order):
    """Guards against a baseline that does not follow its named policy."""
    jobs = [
        make_job('a', 30, 8, at=EPOCH),
        make_job('b', 10, 16, at=EPOCH + 1 * MINUTE),
        make_job('long', 300, 4, at=EPOCH + 2 * MINUTE),
        make_job('short', 5, 4, at=EPOCH + 3 * MINUTE),
    ]
    outcome = replay(jobs, scheduler=POLICIES[policy](None))
    started = sorted(outcome.jobs, key=lambda job: job.first_started_at)
    assert [progress.job.job_id for progress in started] == order


def test_backfill_starts_a_short_job_before_a_blocked_gang():
    """Guards against a short job that waits behind a gang it cannot delay."""
    late = make_job('late', 5, 4, at=EPOCH + 2 * MINUTE)
    jobs = [
        make_job('a', 30, 8, at=EPOCH),
        make_job('b', 10, 16, at=EPOCH + 1 * MINUTE),
        late,
    ]
    outcome = replay(jobs, scheduler=EasyBackfill())
    waits = {job.job.job_id: job.longest_wait for job in outcome.jobs}
    assert waits['late'] < MINUTE < waits['b']


def test_report_marks_missed_target():
    """Guards against a report that does not mark a missed target."""
    trace = TRACES['ravi']
    easy = run_policy('easy', trace)
    results = {'partition': [easy], 'easy': [easy]}
    assert not judge('ravi', results)[0].is_met
    assert render('ravi', results).endswith('MISSED')


def test_json_contains_settings_and_results(capsys):
    """Guards against a JSON report without the settings of its run."""
    PolicyBenchmark(
        workload='tavua', seeds=2, hours=1, policies='fifo', json=True
    )()
    report = json.loads(capsys.readouterr().out)
    assert (report['seed'], report['hours']) == (1, 1)
    assert len(report['results']['fifo']) == 2
