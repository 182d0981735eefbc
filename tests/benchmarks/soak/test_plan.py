"""Schedules of faults."""

import itertools

from benchmarks.soak.plan import FaultKind, plan_faults


def test_seed_decides_the_schedule():
    """A seed that failed must show the same faults again."""
    assert plan_faults(7, 25) == plan_faults(7, 25)
    assert plan_faults(7, 25) != plan_faults(8, 25)


def test_seeds_cover_every_kind_in_series_and_overlapping():
    """A kind that is never drawn would be a promise that is never tested."""
    plans = [plan_faults(seed, 25) for seed in range(60)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    assert any(
        first.kind == second.kind
        for plan in plans
        for first, second in itertools.pairwise(plan)
    )
    assert any(
        second.at_s < first.end_s
        for plan in plans
        for first, second in itertools.pairwise(plan)
    )


def test_faults_end_with_the_load():
    """The last jobs are submitted without faults, to show the recovery."""
    for seed in range(60):
        assert all(fault.at_s <= 22 for fault in plan_faults(seed, 25))
