"""Workloads are reproducible and contain every job outcome and fault."""

from collections import Counter

import pytest

from benchmarks.policy.trace import EPOCH, FaultKind, Outcome
from benchmarks.policy.workloads import WorkloadSettings, generate

WORKLOADS = ['tavua', 'ravi']


@pytest.fixture(params=WORKLOADS)
def trace(request):
    return generate(WorkloadSettings(request.param, seed=3))


def test_same_seed_gives_the_same_trace(trace):
    """Guards against a comparison of policies on different arrivals."""
    again = generate(WorkloadSettings(trace.workload, seed=3))
    other = generate(WorkloadSettings(trace.workload, seed=4))
    assert trace == again
    assert trace.jobs != other.jobs


def test_offered_load_matches_the_settings(trace):
    """Guards against a load that differs widely from the configured one."""
    capacity = 11 * 8 * 24 * 3600
    offered = sum(job.accelerator_seconds for job in trace.jobs)
    assert 0.85 * capacity < offered < 1.2 * capacity


def test_trace_contains_every_outcome_and_fault(trace):
    """Guards against a generator that omits an outcome or kind of fault."""
    assert {job.outcome for job in trace.jobs} == set(Outcome)
    assert any(job.cancelled_at for job in trace.jobs)
    assert {fault.kind for fault in trace.faults} == set(FaultKind)
    losses_by_time = Counter(
        fault.begins_at
        for fault in trace.faults
        if fault.kind is FaultKind.lost
    )
    assert max(losses_by_time.values()) >= 2
    declared_to_true_ratios = [
        job.spec.declared_run_time / job.run_time for job in trace.jobs
    ]
    assert min(declared_to_true_ratios) < 0.1
    assert max(declared_to_true_ratios) > 10


def test_small_and_large_jobs_arrive_in_one_burst(trace):
    """Guards against bursts in which all jobs have the same size."""
    large_jobs = [
        job for job in trace.jobs if job.spec.shape.accelerators >= 16
    ]
    largest_burst = max(
        sum(
            0 <= (job.submitted_at - large.submitted_at).total_seconds() < 120
            for job in trace.jobs
        )
        for large in large_jobs
    )
    assert largest_burst >= 5


def test_every_job_arrives_within_the_trace_at_a_known_data_centre(trace):
    """Guards against jobs that no replay receives."""
    names = {site.name for site in trace.sites}
    assert {job.data_centre for job in trace.jobs} == names
    assert all(
        EPOCH <= job.submitted_at <= trace.arrivals_end_at for job in trace.jobs
    )
    assert len({job.job_id for job in trace.jobs}) == len(trace.jobs)


def test_faults_can_be_turned_off():
    """Guards against faults in a run that was configured without them."""
    settings = WorkloadSettings('ravi', seed=3, hours=4, has_faults=False)
    assert not generate(settings).faults


@pytest.mark.parametrize(
    'changes', [{'workload': 'other'}, {'hours': 0}, {'load': -1}]
)
def test_invalid_settings_are_rejected(changes):
    """Guards against a benchmark run of an invalid workload."""
    values = {'workload': 'tavua', 'seed': 1} | changes
    with pytest.raises(ValueError, match=str(next(iter(changes.values())))):
        generate(WorkloadSettings(**values))
