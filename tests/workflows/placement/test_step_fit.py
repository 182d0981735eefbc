"""Tests of the counts of what fits, which searches update step by step."""

from random import Random

import pytest

from dragonflynotch.workflows.jobs import JobSpec, StepSpec
from dragonflynotch.workflows.placement.best_fit import fit_gang
from dragonflynotch.workflows.placement.reservations import plan_reservations
from dragonflynotch.workflows.placement.step_fit import StepFit
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Allocation, Worker
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.resources import Resources

SERVICE = 'planner'
TASK = Resources(8000, 1000, 1)


def make_pool(workers, rack_size=8):
    return WorkerPool(
        {
            f'm{number}': Worker(
                f'n{number}',
                Report(
                    minion_id=f'm{number}',
                    service=SERVICE,
                    is_ready=True,
                    is_live=True,
                    authority_end_ms=0,
                    token=1,
                    rack=f'r{number // rack_size}',
                    capacity=(64_000, 256_000, 8),
                ),
                1,
                0,
            )
            for number in range(workers)
        },
        {f'm{number}': Resources() for number in range(workers)},
        now_ms=0,
    )


def make_demand(step, **fields):
    job = Job('a', JobSpec('queue', 'team', SERVICE, 'text', (step,)))
    return Demand(job.steps[0], SERVICE, 1000, **fields)


def count_fit_calls(monkeypatch):
    """Return a list that grows with each worker that is looked at."""
    calls = []
    fit_count = Resources.fit_count

    def counted(self, other):
        calls.append(other)
        return fit_count(self, other)

    monkeypatch.setattr(Resources, 'fit_count', counted)
    return calls


@pytest.mark.parametrize('wants_one_rack', [False, True])
@pytest.mark.parametrize('may_span_racks', [False, True])
@pytest.mark.parametrize('max_per_worker', [0, 2])
def test_counts_agree_with_the_placement_of_a_gang(
    wants_one_rack, may_span_racks, max_per_worker
):
    """A gang that only seems to fit would keep others from starting."""
    random = Random(5)
    step = StepSpec(
        12,
        8000,
        1000,
        2,
        is_gang=True,
        wants_one_rack=wants_one_rack,
        max_per_worker=max_per_worker,
    )
    demand = make_demand(step, may_span_racks=may_span_racks)
    pool = make_pool(12, rack_size=6)
    available = dict(pool.free)
    step_fit = StepFit(pool, demand, available)
    seen = set()
    for _ in range(200):
        minion_id = f'm{random.randrange(12)}'
        available[minion_id] = TASK * random.randrange(9)
        step_fit.update(minion_id)
        assert step_fit.fits == (fit_gang(pool, demand, available) is not None)
        seen.add(step_fit.fits)
    assert seen == {False, True}


def test_reservation_looks_at_each_run_once(monkeypatch):
    """Rounds of a large fleet must not take longer than urgent work may wait.

    Looking at each worker again after each freed run took most of a second.
    """
    workers, runs = 160, 8
    pool = make_pool(workers)
    allocations = {
        minion_id: [
            Allocation(None, TASK, 1000 * index, f'{minion_id}.{index}')
            for index in range(runs)
        ]
        for minion_id in pool.workers
    }
    demand = make_demand(
        StepSpec(150, 8000, 1000, 8, is_gang=True, wants_one_rack=True),
        may_span_racks=True,
    )
    calls = count_fit_calls(monkeypatch)
    assert plan_reservations(pool, demand, allocations)
    assert len(calls) < 3 * workers * (runs + 1)


def test_worker_short_of_one_resource_counts_with_the_others():
    """A task must not wait for a resource that it does not need.

    A worker that reports less memory than its runs hold still has accelerators.
    """
    pool = make_pool(1)
    short_of_memory = WorkerPool(
        pool.workers, {'m0': Resources(8000, -1000, 4)}, now_ms=0
    )
    step = StepSpec(2, 1000, 0, 2, is_gang=True)
    assert short_of_memory.may_fit(make_demand(step).step)
    step = StepSpec(3, 1000, 0, 2, is_gang=True)
    assert not short_of_memory.may_fit(make_demand(step).step)
