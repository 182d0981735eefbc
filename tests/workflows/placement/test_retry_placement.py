"""Choice of the worker for tasks that have failed."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    ProgressRow,
    decode_row,
    encode_row,
)
from tests.workflows.site import Site

SMALL_STEP = StepSpec(1, 1000, 1000, 1, 2000)
WHOLE_WORKER_STEP = StepSpec(1, 1000, 1000, 8, 60_000)


@pytest.fixture
def site():
    """Two workers, of which only m0 has room."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.submit('y', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.end('x.0.0.0' if site.minion_of('x.0.0.0') == 'm0' else 'y.0.0.0')
    return site


def running_on_m1(site):
    return next(name for minion, name in site.orders if minion == 'm1')


def test_attempts_are_not_spent_on_one_faulty_worker(site):
    """A job must not fail because only the worker that failed it has room."""
    site.submit('a')
    site.decide()
    assert site.minion_of('a.0.0.0') == 'm0'
    site.end('a.0.0.0', EndKind.failed)
    assert 'a.0.0.0' not in site.ordered_tasks()
    assert site.progress['a'].state is JobState.running
    site.end(running_on_m1(site))
    assert site.minion_of('a.0.0.0') == 'm1'


def test_success_of_an_older_run_does_not_hide_a_faulty_worker():
    """Runs from before a worker became faulty must not clear its failures."""
    site = Site()
    site.submit('old', 'normal', SMALL_STEP)
    site.decide()
    faulty = site.minion_of('old.0.0.0')
    for job in ('a', 'b'):
        site.submit(job, 'normal', SMALL_STEP)
    site.decide(advance_ms=100)
    assert site.minion_of('b.0.0.0') == faulty
    site.end('a.0.0.0', EndKind.failed)
    site.end('old.0.0.0')
    site.end('b.0.0.0', EndKind.failed)
    site.submit('c', 'normal', StepSpec(24, 1000, 1000, 1, 2000))
    site.decide()
    assert faulty not in {minion for minion, _ in site.orders}


def test_takeover_remembers_which_worker_failed_a_task(site):
    """A new holder must not repeat a task on the worker that failed it."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    stored = decode_row(encode_row(site.progress['a']), ProgressRow)
    successor = Site(racks=('r1', 'r1'))
    successor.now_ms = site.now_ms
    successor.submit('a')
    successor.scheduler.restore_progress('a', stored)
    successor.decide()
    assert successor.minion_of('a.0.0.0') == 'm1'


def test_task_returns_to_the_worker_that_failed_after_a_limited_time(site):
    """A task must not wait without a bound for another worker."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.decide(advance_ms=16_000)
    assert site.minion_of('a.0.0.0') == 'm0'


def test_only_worker_that_can_run_a_task_is_not_avoided(site):
    """A retry must not wait for workers on which it could never run."""
    step = StepSpec(1, 1000, 1000, 1, 2000, constraint='r9')
    site.incarnations['n2'] = ('m2', 'r9', 8)
    site.report_all()
    site.submit('a', 'normal', step)
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    assert site.minion_of('a.0.0.0') == 'm2'


def test_gang_is_not_started_on_the_worker_that_failed_it():
    """A gang must not spend its attempts on one faulty member."""
    site = Site(racks=('r1', 'r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 2000, is_gang=True))
    site.decide()
    faulty = site.minion_of('g.0.0.0')
    site.end('g.0.0.0', EndKind.failed)
    site.end('g.0.0.1', EndKind.broken)
    assert site.ordered_tasks() == ['x.0.0.0']
    site.end('x.0.0.0')
    assert site.ordered_tasks() == ['g.0.0.0', 'g.0.0.1']
    assert faulty not in {minion for minion, _ in site.orders}


def test_long_running_task_does_not_wait_for_another_worker(site):
    """A task without a limit of attempts must start again at once."""
    step = StepSpec(1, 1000, 1000, 1, 2000, is_long_running=True)
    site.submit('a', 'normal', step)
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    assert site.minion_of('a.0.0.0') == 'm0'


def test_gang_failure_counts_once_across_a_takeover():
    """A job must not fail because a new holder counts one run twice."""
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True)
    site = Site()
    site.submit('g', 'normal', gang)
    site.decide()
    site.end('g.0.0.0', EndKind.failed)
    successor = Site()
    successor.now_ms = site.now_ms
    successor.submit('g', 'normal', gang)
    successor.scheduler.restore_progress(
        'g', decode_row(encode_row(site.progress['g']), ProgressRow)
    )
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
        successor.orders[minion, task] = order
    successor.end('g.0.0.1', EndKind.failed)
    assert successor.progress['g'].state is JobState.running


def test_progress_stored_by_an_earlier_release_is_readable():
    """A takeover from a holder of an earlier release must keep all jobs."""
    row = decode_row(
        b'{"state":"running","tasks":[["0.0.0",1,1,false,""]]}', ProgressRow
    )
    assert row.tasks[0].failed_on == {}


def test_task_that_avoids_a_worker_does_not_hold_up_its_step(site):
    """Guards against tasks that fit and wait for the first of their step."""
    site.submit('a', 'batch', StepSpec(2, 1000, 1000, 1, 2000))
    site.decide()
    assert site.minion_of('a.0.0.1') == 'm0'
    site.end('a.0.0.0', EndKind.failed)
    site.end('a.0.0.1', EndKind.stopped)
    assert 'a.0.0.0' not in site.ordered_tasks()
    assert site.minion_of('a.0.0.1') == 'm0'


def test_repeat_starts_on_the_rack_of_its_data_if_there_is_room():
    """A repeat took three times as long, on the fullest worker of any rack.

    A job that has waited for longer than its estimate may leave the rack of
    its data, also if that rack has room.
    """
    site = Site(racks=('r1', 'r1', 'r2'))
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 1, 500, data_rack='r1'))
    site.submit(
        'x', 'normal', StepSpec(1, 1000, 1000, 4, 60_000, (), data_rack='r2')
    )
    site.decide()
    site.incarnations[site.node_of('a.0.0.0')] = ('new', 'r1', 8)
    site.decide(advance_ms=1_000)
    assert site.node_of('a.0.0.0') in {'n0', 'n1'}
