"""Life cycle of jobs and runs, and takeovers of the scheduler."""

import msgspec
import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    Order,
    ProgressRow,
    Rejection,
    RunningTask,
    TaskRow,
)
from tests.workflows.site import Site

WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)


@pytest.fixture
def site():
    return Site()


def test_worker_without_a_responding_minion_gets_no_run():
    """A run ordered on a crashed minion would wait until its order expires."""
    site = Site(racks=('r1',))
    site.report('n0', is_reachable=False)
    site.submit('a')
    site.decide()
    assert not site.orders
    site.report('n0')
    site.decide()
    assert site.ordered_tasks() == ['a.0.0.0']


def test_worker_that_shrinks_keeps_its_runs_and_gets_no_more():
    """Runs are placed by the capacity in the last report."""
    site = Site(racks=('r1',))
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 6, 60_000))
    site.decide()
    site.incarnations['n0'] = ('m0', 'r1', 4)
    site.submit('b', 'normal', StepSpec(1, 1000, 1000, 1, 60_000))
    site.decide(500)
    assert site.ordered_tasks() == ['a.0.0.0']
    site.incarnations['n0'] = ('m0', 'r1', 8)
    site.decide(500)
    assert site.ordered_tasks() == ['a.0.0.0', 'b.0.0.0']


def test_gang_waits_for_workers_that_have_shrunk():
    """A gang must not be ordered where only some of its members fit."""
    site = Site(racks=('r1', 'r1'))
    site.incarnations['n1'] = ('m1', 'r1', 4)
    site.report_all()
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 8, 2000, is_gang=True))
    site.decide()
    assert not site.orders
    site.incarnations['n1'] = ('m1', 'r1', 8)
    site.decide(500)
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1']


def test_job_completes_after_every_task_is_done(site):
    """A job must not be shown as completed while a task is missing."""
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 1, 2000))
    site.decide()
    site.end('a.0.0.0')
    assert site.progress['a'].state is JobState.running
    site.end('a.0.0.1')
    assert site.progress['a'].state is JobState.completed
    assert not site.orders


def test_step_waits_for_its_dependencies(site):
    """A task must not start before the steps it depends on are done."""
    first = StepSpec(2, 1000, 1000, 1, 2000)
    site.submit('a', 'normal', first, StepSpec(1, 1000, 1000, 1, 2000, (0,)))
    site.decide()
    site.end('a.0.0.0')
    assert site.ordered_tasks() == ['a.0.0.1']
    site.end('a.0.0.1')
    assert site.ordered_tasks() == ['a.0.1.0']


def test_end_that_is_reported_repeatedly_counts_once(site):
    """Reports repeat ends; a repeated failure must not use up an attempt."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.report_all()
    site.decide()
    site.report_all()
    site.decide()
    assert site.progress['a'].state is JobState.running
    assert site.ordered_tasks() == ['a.0.0.0']


def test_job_fails_after_the_last_attempt(site):
    """No run may start after the attempts of a task are used up."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.end('a.0.0.0', EndKind.failed)
    assert site.progress['a'].state is JobState.failed
    assert site.progress['a'].reason == 'task 0 of step 0 failed 2 times'
    assert not site.ordered_tasks()


@pytest.mark.parametrize(
    'kind', [EndKind.lapsed, EndKind.stopped, EndKind.broken, EndKind.alone]
)
def test_only_failures_use_attempts(site, kind):
    """A job must not fail because its workers were lost."""
    site.submit('a')
    site.decide()
    for _ in range(5):
        site.end('a.0.0.0', kind)
    assert site.ordered_tasks() == ['a.0.0.0']


def test_retry_avoids_the_worker_that_failed(site):
    """One faulty worker must not use up all attempts of a job."""
    site.submit('a')
    site.decide()
    first = site.minion_of('a.0.0.0')
    site.end('a.0.0.0', EndKind.failed)
    assert site.minion_of('a.0.0.0') != first


def test_gang_members_share_a_run_number(site):
    """Members with different run numbers could not work together."""
    gang = StepSpec(3, 1000, 1000, 8, 2000, is_gang=True)
    site.submit('a', 'normal', gang)
    site.decide()
    site.end('a.0.0.1', EndKind.lapsed)
    assert not site.ordered_tasks()
    site.end('a.0.0.0', EndKind.stopped)
    assert not site.ordered_tasks()
    site.end('a.0.0.2', EndKind.stopped)
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1', 'a.0.0.2']
    assert {order.run for order in site.orders.values()} == {2}


def test_gang_run_counts_as_one_failure(site):
    """Two members that fail in one run must not use up two attempts."""
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True)
    site.submit('a', 'normal', gang)
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.end('a.0.0.1', EndKind.failed)
    assert site.progress['a'].state is JobState.running
    assert len(site.ordered_tasks()) == 2


def test_one_done_member_completes_its_gang(site):
    """A gang must not run again because the ends of other members were lost."""
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True)
    site.submit('a', 'normal', gang)
    site.decide()
    site.end('a.0.0.0')
    assert site.progress['a'].state is JobState.completed


def test_cancelled_job_stops_and_never_starts_again(site):
    """No task of a cancelled job may start or keep running."""
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 1, 2000))
    site.decide()
    site.scheduler.cancel('a')
    site.decide()
    assert not site.ordered_tasks()
    site.end('a.0.0.0', EndKind.stopped)
    assert not site.ordered_tasks()
    assert site.progress['a'].state is JobState.cancelled


def test_cancellation_before_the_job_is_known_takes_effect(site):
    """The rows of a cancellation and of its job may arrive in any order."""
    site.scheduler.cancel('a')
    site.submit('a')
    site.decide()
    assert not site.orders
    assert site.progress['a'].state is JobState.cancelled


def test_rejected_start_is_ordered_again(site):
    """A task whose start was rejected must not wait for ever."""
    site.submit('a')
    site.decide()
    minion = site.minion_of('a.0.0.0')
    node = minion.replace('m', 'n')
    site.rejected[node] = [Rejection('a.0.0.0', 1, 'room')]
    site.report(node)
    site.decide()
    [order] = site.orders.values()
    assert order.run == 2


def test_tasks_of_a_lost_worker_start_elsewhere(site):
    """A task must not stay ordered from a worker that was lost."""
    site.submit('a')
    site.decide()
    minion = site.minion_of('a.0.0.0')
    site.report(minion.replace('m', 'n'), is_live=False, is_ready=False)
    site.decide()
    assert site.minion_of('a.0.0.0') != minion


def test_silent_guard_gets_no_new_work(site):
    """A guard that may be gone must not get new orders."""
    for node in ('n1', 'n2'):
        site.report(node)
    site.now_ms += 5000
    site.report('n2')
    site.submit('a', 'normal', StepSpec(3, 1000, 1000, 8, 2000))
    site.decide()
    assert {minion for minion, _ in site.orders} == {'m2'}


def test_silent_guard_keeps_its_runs(site):
    """A run on a silent worker counts as running until its lease expires."""
    site.submit('a')
    site.decide()
    minion = site.minion_of('a.0.0.0')
    site.now_ms += 9000
    site.decide()
    assert site.minion_of('a.0.0.0') == minion


def test_checkpoint_of_an_abandoned_run_is_used(site):
    """Checkpoints must not be lost with their incarnation."""
    step = StepSpec(1, 1000, 1000, 1, 2000, has_checkpoints=True)
    site.submit('a', 'normal', step)
    site.decide()
    minion = site.minion_of('a.0.0.0')
    node = minion.replace('m', 'n')
    _, rack, accelerators = site.incarnations[node]
    site.incarnations[node] = ('new', rack, accelerators)
    site.report(node, abandoned=[RunningTask('a.0.0.0', 1, 'saved', 40)])
    site.decide()
    [order] = site.orders.values()
    assert (order.run, order.checkpoint) == (2, 'saved')


def test_checkpoint_is_not_passed_to_steps_without_checkpoints(site):
    """A task that cannot resume must not be given a checkpoint."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.stopped, 'saved')
    [order] = site.orders.values()
    assert not order.checkpoint


def test_stalled_run_is_moved(site):
    """A task that makes no progress must not hold its job for ever."""
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 1, 1000))
    site.decide()
    minion = site.minion_of('a.0.0.0')
    node = minion.replace('m', 'n')
    for _ in range(8):
        site.now_ms += 1000
        site.report_all()
        site.report(node, running=[RunningTask('a.0.0.0', 1, '', 30)])
        site.decide()
    assert site.orders[minion, 'a.0.0.0'].is_stopped
    site.end('a.0.0.0', EndKind.stopped)
    assert site.minion_of('a.0.0.0') != minion


def test_slow_run_that_progresses_is_not_stopped(site):
    """A run must not lose its work only because its worker is slow."""
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 1, 1000))
    site.decide()
    minion = site.minion_of('a.0.0.0')
    node = minion.replace('m', 'n')
    for percent in range(1, 20):
        site.now_ms += 1000
        site.report(node, running=[RunningTask('a.0.0.0', 1, '', percent)])
        site.decide()
    assert site.ordered_tasks() == ['a.0.0.0']


def test_occurrences_start_when_due(site):
    """An occurrence must not start before its due time."""
    site.submit(
        'a',
        'normal',
        StepSpec(1, 1000, 1000, 1, 500),
        repetitions=2,
        first_due_ms=5000,
        interval_ms=1000,
    )
    site.decide(wall_ms=4999)
    assert not site.orders
    site.decide(wall_ms=5000)
    assert site.ordered_tasks() == ['a.0.0.0']
    site.decide(wall_ms=6000)
    assert site.ordered_tasks() == ['a.0.0.0', 'a.1.0.0']


def test_long_running_task_starts_again_however_it_ends(site):
    """A long-running task must only end with its job."""
    step = StepSpec(1, 1000, 1000, 1, 500, is_long_running=True)
    site.submit('a', 'normal', step)
    site.decide()
    for kind in (EndKind.done, EndKind.failed, EndKind.failed, EndKind.failed):
        site.end('a.0.0.0', kind)
    assert site.ordered_tasks() == ['a.0.0.0']


def test_takeover_starts_nothing_twice(site):
    """After a takeover, the scheduler must know every active run."""
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 1, 2000))
    site.decide()
    site.end('a.0.0.0')
    successor = Site()
    successor.now_ms = site.now_ms
    successor.submit('a', 'normal', StepSpec(2, 1000, 1000, 1, 2000))
    successor.scheduler.restore_progress('a', site.progress['a'])
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
        successor.orders[minion, task] = order
    successor.decide()
    assert successor.orders == site.orders
    successor.end('a.0.0.1')
    assert successor.progress['a'].state is JobState.completed


def test_failure_counts_once_if_the_removal_of_its_order_was_not_written(site):
    """A takeover amid a large write used up an attempt twice.

    The progress of jobs is written before the orders, in several transactions.
    """
    site.submit('a')
    site.decide()
    order = site.orders['m0', 'a.0.0.0']
    site.end('a.0.0.0', EndKind.failed)
    successor = Site()
    successor.submit('a')
    successor.scheduler.restore_progress('a', site.progress['a'])
    successor.scheduler.restore_order('m0', 'a.0.0.0', order)
    successor.orders['m0', 'a.0.0.0'] = order
    successor.end('a.0.0.0', EndKind.failed)
    assert successor.progress['a'].tasks[0].failures == 1
    assert successor.progress['a'].state is JobState.running


def test_run_of_an_ended_job_is_stopped_if_its_stop_was_not_written(site):
    """A takeover amid a large write let a cancelled job run on for ever."""
    step = StepSpec(1, 1000, 1000, 1, 500, is_long_running=True)
    site.submit('a', 'normal', step)
    site.decide()
    order = msgspec.structs.replace(site.orders['m0', 'a.0.0.0'])
    site.scheduler.cancel('a')
    site.decide()
    successor = Site()
    successor.submit('a', 'normal', step)
    successor.scheduler.cancel('a')
    successor.scheduler.restore_progress('a', site.progress['a'])
    successor.scheduler.restore_order('m0', 'a.0.0.0', order)
    successor.decide()
    assert successor.orders['m0', 'a.0.0.0'].is_stopped


def failures_on_m0(site, *job_ids):
    """Let jobs fail on m0 and complete elsewhere; return their progress."""
    for job_id in job_ids:
        site.submit(job_id)
    site.decide()
    for job_id in job_ids:
        assert site.minion_of(f'{job_id}.0.0.0') == 'm0'
        site.end(f'{job_id}.0.0.0', EndKind.failed)
        site.end(f'{job_id}.0.0.0')
    return {job_id: site.progress[job_id] for job_id in job_ids}


def successor_with(site, progress):
    successor = Site()
    successor.now_ms = site.now_ms
    for job_id, row in progress.items():
        successor.submit(job_id)
        successor.scheduler.restore_progress(job_id, row)
    return successor


def test_takeover_does_not_forget_where_runs_failed(site):
    """Work was given to a faulty worker again after each takeover."""
    successor = successor_with(site, failures_on_m0(site, 'a'))
    successor.submit('c', 'normal', StepSpec(1, 1000, 1000, 1, 2000))
    successor.decide()
    assert successor.minion_of('c.0.0.0') == 'm1'


def test_takeover_excludes_no_worker_by_itself(site):
    """Successes since the failures are not known to the new leader."""
    successor = successor_with(site, failures_on_m0(site, 'a', 'b'))
    successor.submit('c', 'normal', StepSpec(3, 8000, 8000, 8, 4000))
    successor.decide()
    assert len(successor.ordered_tasks()) == 3


def test_takeover_removes_orders_of_unknown_incarnations(site):
    """A task must not wait for an incarnation that no guard reports."""
    site.submit('a')
    site.scheduler.restore_progress(
        'a',
        ProgressRow(JobState.running, [TaskRow('0.0.0', 3, 1, False, '')]),
    )
    site.scheduler.restore_order('gone', 'a.0.0.0', Order('text', 3, 0))
    site.scheduler.remove_unknown_orders()
    site.decide()
    [order] = [order for key, order in site.orders.items() if key[0] != 'gone']
    assert order.run == 4


def test_stored_report_of_an_older_release_counts_as_new(site):
    """Workers of guards that don't tell the time must not stay idle."""
    worker = site.scheduler.workers['n0']
    successor = Site(racks=())
    successor.scheduler.restore_report('n0', worker.report, 1, site.now_ms)
    successor.submit('a')
    successor.decide()
    assert successor.ordered_tasks() == ['a.0.0.0']


def test_stored_report_of_a_silent_guard_counts_from_when_it_was_built(site):
    """A worker that is silent counted as present again after a takeover."""
    report = msgspec.structs.replace(
        site.scheduler.workers['n0'].report, built_ms=site.now_ms - 4000
    )
    successor = Site(racks=())
    successor.scheduler.restore_report('n0', report, 1, site.now_ms)
    successor.submit('a')
    successor.decide()
    assert not successor.orders


def test_orders_expire_later_on_a_slow_store(site):
    """Orders must not expire while a slow store delivers them."""
    site.submit('a')
    decisions = site.scheduler.decide(site.now_ms, 0, write_ms=500)
    [order] = decisions.orders.values()
    assert order.start_by_ms == site.now_ms + 3000


def test_ended_job_is_removed_after_its_retention_time(site):
    """The store must not fill up with ended jobs."""
    site.submit('a')
    site.decide()
    site.end('a.0.0.0')
    assert site.decide(advance_ms=250_000).expired_jobs == ['a']


def test_waiting_count_excludes_started_jobs(site):
    """Only jobs without a started task are counted as waiting."""
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 9, 500))
    site.submit('b')
    site.decide()
    site.report_running('b.0.0.0')
    assert site.scheduler.waiting_by_queue() == {'normal': 1}
