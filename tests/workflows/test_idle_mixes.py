"""Waits beside idle room that the search over random days found."""

import pytest

from benchmarks.idle_search.faults import FaultKind, MachineFault
from benchmarks.idle_search.play import play_day
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.benchmarks.idle_search.site import make_arrival, make_day
from tests.workflows.running_site import MAX_IDLE_MS, ROUND_MS, RunningSite


def longest_idle_ms(site, job_id, total_ms):
    """Longest time without a run of a job while under half is in use."""
    times = [0]

    def measure():
        is_idle = site.share_in_use() < 0.5 and not site.has_runs(job_id)
        times.append(times[-1] + ROUND_MS if is_idle else 0)

    site.advance(total_ms, measure)
    return max(times)


def test_task_that_may_not_be_stopped_starts_beside_a_gang_that_waits():
    """Reserved room stayed idle, since such a task is no backfill."""
    site = RunningSite(racks=('r1',) * 4)
    site.submit(
        'late', 'normal', StepSpec(1, 1000, 1000, 8, 4000), run_ms=40_000
    )
    site.decide()
    site.submit(
        'gang', 'normal', StepSpec(4, 1000, 1000, 8, 9000, is_gang=True)
    )
    site.advance(5000)
    step = StepSpec(2, 1000, 1000, 1, 15_000, max_unavailable=1)
    site.submit('job', 'batch', step)
    assert longest_idle_ms(site, 'job', 10_000) <= MAX_IDLE_MS


def test_job_does_not_wait_for_the_trial_of_another_job():
    """All workers with the label were excluded, and tried by one run only."""
    site = RunningSite(racks=('r1', 'r1', 'r1', 'r2'))
    failing = StepSpec(1, 1000, 1000, 1, 2000, constraint='r2')
    for job_id in ('a', 'b'):
        site.submit(job_id, 'normal', failing)
    site.decide()
    for job_id in ('a', 'b'):
        site.end(f'{job_id}.0.0.0', EndKind.failed)
        site.scheduler.cancel(job_id)
    for job_id in ('first', 'second'):
        site.submit(
            job_id, 'batch', StepSpec(1, 1000, 1000, 1, 15_000, constraint='r2')
        )
    assert longest_idle_ms(site, 'second', 15_000) <= MAX_IDLE_MS


def test_job_does_not_wait_for_all_suspects_of_another_job():
    """Suspects that start one by one kept the only worker for themselves."""
    site = RunningSite(racks=('r1', 'r1', 'r1', 'r2'))
    site.submit(
        'suspects',
        'normal',
        StepSpec(6, 1000, 1000, 1, 15_000, constraint='r2'),
    )
    site.decide()
    site.advance(3000)
    node = site.node_of('suspects.0.0.0')
    site.crash(node, default_age_ms=3000, restart_ms=250)
    site.submit(
        'job', 'batch', StepSpec(1, 1000, 1000, 1, 15_000, constraint='r2')
    )
    assert longest_idle_ms(site, 'job', 12_000) <= MAX_IDLE_MS


@pytest.mark.parametrize('refusing', [1, 2])
def test_job_does_not_wait_for_workers_that_answer_no_start(refusing):
    """The same worker was ordered again after each order that expired."""
    step = StepSpec(1, 2800, 7392, 1, 5000)
    day = make_day(
        make_arrival('job', 2000, step),
        machines=4,
        faults=tuple(
            MachineFault(FaultKind.refusing, number, 0, 15_000)
            for number in range(refusing)
        ),
    )
    result = play_day(day)
    assert not [wait.describe() for wait in result.findings]
