"""Bounds on room that reservations keep idle, and on the wait of gangs."""

from itertools import pairwise

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import Order, decode_row, encode_row
from tests.workflows.running_site import MAX_IDLE_MS, STOP_MS, RunningSite

# Eight tasks of this step fill a worker.
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
    """A job had no run for 32 s with three of four workers empty.

    A run past its estimate was expected to end soon in each round, so the room
    reserved for a wide gang was kept from all longer tasks.
    """
    site = site_with_late_run()
    site.submit('job', 'batch', BATCH_STEP)
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_second_step_starts_beside_a_gang_that_waits_for_a_late_run():
    """Guards against the same wait of a step after the first one."""
    site = site_with_late_run()
    first = StepSpec(1, 1000, 1000, 1, 250)
    second = StepSpec(8, 2800, 7392, 1, 15_200, after=(0,))
    site.submit('job', 'batch', first, second)
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_job_starts_beside_a_gang_that_waits_for_a_long_run():
    """Room stayed idle as long if the end of the run is known."""
    site = site_with_late_run(reports_percent=True)
    site.submit('job', 'batch', StepSpec(8, 2800, 7392, 1, 60_000))
    site.advance(MAX_IDLE_MS)
    assert site.has_runs('job')


def test_job_starts_beside_steps_that_reserve_task_by_task():
    """Three steps that are no gangs reserved all of up to 24 workers."""
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
    """A gang was kept from idle room as a task of another step is."""
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


def site_with_backfill():
    """A site where a batch job runs in the room reserved for a gang."""
    site = site_with_late_run()
    site.submit('job', 'batch', BATCH_STEP)
    site.advance(MAX_IDLE_MS)
    assert site.orders[site.minion_of('job.0.0.0'), 'job.0.0.0'].is_backfill
    return site


def test_backfilled_runs_stop_for_the_gang():
    """The gang must not wait for the ends of runs in its room."""
    site = site_with_backfill()
    site.end('late.0.0.0')
    assert len(site.stops_for('backfill_reclaimed')) == 8
    site.advance(3 * STOP_MS)
    assert 'gang.0.0.0' in site.starts


def test_new_leader_stops_backfilled_runs():
    """After a takeover, the gang must not wait for runs in its room either."""
    site = site_with_backfill()
    successor = RunningSite(racks=('r1',) * 4)
    successor.submit('late', 'normal', LATE_RUN)
    successor.submit('gang', 'normal', wide_gang(4))
    successor.submit('job', 'batch', BATCH_STEP)
    for (minion, task), order in site.orders.items():
        stored = decode_row(encode_row(order), Order)
        successor.scheduler.restore_order(minion, task, stored)
        successor.orders[minion, task] = stored
    successor.decide()
    successor.end('late.0.0.0')
    assert len(successor.stops_for('backfill_reclaimed')) == 8


def test_half_of_the_capacity_is_left_to_the_gang():
    """Backfill must not make the gang stop more runs than half requires."""
    site = site_with_late_run()
    for number in range(4):
        site.submit(f'job{number}', 'batch', BATCH_STEP)
    site.advance(2 * MAX_IDLE_MS)
    assert site.share_in_use() == 0.5


def test_runs_that_cannot_be_stopped_are_not_backfilled():
    """A gang would wait for the end of such a run, which may never come."""
    site = site_with_late_run()
    site.submit(
        'job', 'batch', StepSpec(1, 2800, 7392, 1, 15_200, max_unavailable=0)
    )
    site.advance(2 * MAX_IDLE_MS)
    assert not site.has_runs('job')


def test_run_keeps_its_room_once_no_earlier_step_waits():
    """A gang that comes later must not stop what could start without it."""
    site = site_with_backfill()
    site.scheduler.cancel('gang')
    site.advance(500)
    site.submit('gang2', 'normal', wide_gang(4))
    site.end('late.0.0.0')
    site.advance(500)
    assert not site.stops_for('backfill_reclaimed')


def test_task_that_fits_beside_backfilled_runs_stops_none():
    """Only a step that fits without the runs may cost their work."""
    site = site_with_backfill()
    site.advance(5000)
    assert not site.stops_for('backfill_reclaimed')


def test_tasks_get_reserved_room_back_one_by_one():
    """Steps that are no gangs start each task when it fits, not all at once."""
    workers = 4
    site = RunningSite(racks=('r1',) * workers)
    spread = StepSpec(workers, 1000, 1000, 1, 4000, max_per_worker=1)
    site.submit('small', 'normal', spread, run_ms=60_000)
    site.decide()
    site.submit('whole', 'normal', StepSpec(8, 1000, 1000, 8, 9000))
    site.advance(5000)
    site.submit('job', 'batch', BATCH_STEP)
    site.advance(MAX_IDLE_MS)
    freed = site.minion_of('job.0.0.0')
    index = next(
        index
        for index in range(workers)
        if site.minion_of(f'small.0.0.{index}') == freed
    )
    site.end(f'small.0.0.{index}')
    site.advance(3 * STOP_MS)
    assert site.has_runs('whole')


def test_log_names_the_step_that_holds_the_room():
    """Operators must see whose reservation kept the room idle, and how long."""
    site = site_with_backfill()
    [fields] = [
        entry.fields
        for entry in site.log_entries
        if entry.event == 'room_backfilled'
    ]
    assert (fields['job'], fields['behind_job']) == ('job', 'gang')
    assert fields['runs'] == 8
    assert 1500 <= fields['idle_ms'] <= 2000


def test_orders_of_earlier_releases_are_no_backfill():
    """Rows without the field must stay readable."""
    order = decode_row(b'{"payload":"p","run":1,"start_by_ms":5}', Order)
    assert not order.is_backfill


def test_backfill_of_a_large_fleet_is_spread_over_rounds():
    """A round that orders very many runs would delay urgent work."""
    site = site_with_late_run(workers=120)
    for number in range(20):
        site.submit(
            f'job{number}', 'batch', StepSpec(20, 1000, 1000, 1, 60_000)
        )
    counts = []
    site.advance(MAX_IDLE_MS, lambda: counts.append(len(site.orders)))
    assert max(after - before for before, after in pairwise(counts)) == 200
    assert counts[-1] > 400
