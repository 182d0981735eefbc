"""Schedules of faults."""

import itertools

from benchmarks.soak.plan import FaultKind, plan_faults


def test_seed_decides_the_schedule():
    """A seed that failed must reproduce the same faults."""
    assert plan_faults(7, 25) == plan_faults(7, 25)
    assert plan_faults(7, 25) != plan_faults(8, 25)


def test_seeds_cover_every_kind_in_series_and_overlapping():
    """A kind that is never drawn would leave an invariant untested."""
    plans = [plan_faults(seed, 25) for seed in range(60)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    assert any(
        first.kind == second.kind
        for plan in plans
        for first, second in itertools.pairwise(plan)
    )
    assert any(
        second.begin_s < first.end_s
        for plan in plans
        for first, second in itertools.pairwise(plan)
    )


def test_no_fault_begins_near_the_end_of_the_load():
    """No fault begins in the last seconds, so that the recovery is seen."""
    for seed in range(60):
        assert all(fault.begin_s <= 22 for fault in plan_faults(seed, 25))


def test_each_run_has_a_job_that_crashes_minions():
    """No other fault lets a task end its minion."""
    for seed in range(20):
        kinds = [fault.kind for fault in plan_faults(seed, 25)]
        assert FaultKind.crashing_job_submitted in kinds
