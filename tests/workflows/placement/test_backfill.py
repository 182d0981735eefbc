"""Bounds on room that reservations keep idle, and on the wait of gangs."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.running_site import STOP_MS, RunningSite

# Longest time for which a job may have nothing running although there is room
# for its task twice over and under half of the capacity is in use.
MAX_IDLE_MS = 3000
# A step of the deferrable queue as on the site that reported the incident.
BATCH_STEP = StepSpec(8, 2800, 7392, 1, 15_200)
LATE_RUN = StepSpec(1, 1000, 1000, 8, 4000)


def wide_gang(width, estimated_ms=9000):
    return StepSpec(width, 1000, 1000, 8, estimated_ms, is_gang=True)


def site_with_late_run(workers=4, **fields):
    """A site where a gang of all workers waits for one run that is late."""
    site = RunningSite(racks=('r1',) * workers, **fields)
    site.submit('late', 'normal', LATE_RUN, run_ms=40_000)
    site.decide()
    site.submit('gang', 'normal', wide_gang(workers))
    site.advance(5000)
    return site


def test_job_starts_beside_a_gang_that_waits_for_a_late_run():
    """LOST: a job had no run for 32 s with three of four workers empty.

    A run past its estimate was expected to end soon in each round, so the room
    reserved for a wide gang was kept from all longer tasks.
    """
    site = site_with_late_run()
    site.submit('job', 'batch', BATCH_STEP)
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_second_step_starts_beside_a_gang_that_waits_for_a_late_run():
    """LOST: the task of the record was in the second step of its job."""
    site = site_with_late_run()
    first = StepSpec(1, 1000, 1000, 1, 250)
    second = StepSpec(8, 2800, 7392, 1, 15_200, after=(0,))
    site.submit('job', 'batch', first, second)
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_job_starts_beside_a_gang_that_waits_for_a_long_run():
    """LOST: room stays idle as long if the end of the run is known."""
    site = site_with_late_run(reports_percent=True)
    site.submit('job', 'batch', StepSpec(8, 2800, 7392, 1, 60_000))
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_job_starts_beside_steps_that_reserve_task_by_task():
    """LOST: three steps that are no gangs reserve all of up to 24 workers."""
    workers = 6
    site = RunningSite(racks=('r1',) * workers)
    spread = StepSpec(workers, 1000, 1000, 1, 4000, max_per_worker=1)
    site.submit('small', 'normal', spread, run_ms=60_000)
    site.decide()
    for number in range(3):
        site.submit(
            f'whole{number}', 'normal', StepSpec(8, 1000, 1000, 8, 4000)
        )
    site.advance(5000)
    site.submit('job', 'batch', BATCH_STEP)
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_gang_starts_beside_a_wider_gang_that_waits():
    """LOST: a gang is kept from idle room as a task of another step is."""
    site = site_with_late_run()
    site.submit('job', 'batch', wide_gang(1, 15_000))
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


@pytest.mark.parametrize('reports_percent', [False, True])
def test_wide_gang_starts_beside_a_stream_of_small_tasks(reports_percent):
    """A gang of all workers must not starve while small tasks keep coming.

    It has to start once the runs before it have ended, and those that were
    given idle room meanwhile have stopped.
    """
    run_ms = 4000
    site = RunningSite(racks=('r1',) * 4, reports_percent=reports_percent)
    small = StepSpec(1, 1000, 1000, 1, run_ms)
    numbers = iter(range(1000))

    def submit_small():
        site.submit(f's{next(numbers)}', 'batch', small)

    site.advance(6000, submit_small)
    assert 0 < site.share_in_use() <= 0.5 + 1 / 32
    submitted_ms = site.now_ms
    site.submit('gang', 'normal', wide_gang(4, 1000))
    site.advance(2 * run_ms + 4 * STOP_MS, submit_small)
    assert 'gang.0.0.0' in site.starts
    assert site.starts['gang.0.0.0'][0] - submitted_ms <= run_ms + 4 * STOP_MS


def test_wide_gang_starts_when_the_late_run_ends():
    """Using idle room must delay the step that reserved it by a stop only."""
    site = site_with_late_run()
    site.submit('job', 'batch', BATCH_STEP)
    site.run_ms['late'] = 12_000
    site.advance(20_000)
    late_end_ms = 10_000 + 12_000
    assert site.starts['gang.0.0.0'][0] - late_end_ms <= 3 * STOP_MS
