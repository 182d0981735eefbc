"""Whether a job has started, as callers see it and as it is counted.

Guards against the failure of review/10: jobs whose orders never started were
shown as running and left out of the count of waiting jobs.
"""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.records import (
    MISSING,
    EarlierEnd,
    EndKind,
    JobState,
    ProgressRow,
    Rejection,
    RunEnd,
    RunningTask,
    StartedRun,
    TaskRow,
    decode_row,
    encode_row,
)
from tests.workflows.site import Site, entries
from tests.workflows.test_job_faults import fail_for

TASK = 'a.0.0.0'
WAITING = {'normal': 1}


@pytest.fixture
def site():
    """A site on which the only task of job ``a`` has been ordered."""
    site = Site()
    site.submit('a')
    site.decide()
    assert site.ordered_tasks() == [TASK]
    return site


def reject(site, reason):
    """Report that the ordered run of the task will not start, then decide."""
    minion, order = (
        site.minion_of(TASK),
        site.orders[site.minion_of(TASK), TASK],
    )
    node = site.node_of(TASK)
    site.rejected.setdefault(node, []).append(
        Rejection(TASK, order.run, reason)
    )
    site.report(node)
    site.decide()
    return minion


def lose_minion(site):
    node = site.node_of(TASK)
    site.report(node, is_live=False)
    site.decide()


def lose_guard(site):
    node = site.node_of(TASK)
    site.scheduler.remove_lost_node(node)
    site.incarnations.pop(node)
    site.decide()


def replace_minion(site):
    node = site.node_of(TASK)
    _, rack, accelerators = site.incarnations[node]
    site.incarnations[node] = ('next', rack, accelerators)
    site.report(node)
    site.decide()


def withdraw(site):
    """Stop the order before its start, as a cancelled placement does."""
    reject(site, 'stopped')


def takeover(site, *, progress=None):
    """Return the site of the next holder, with what the store has."""
    successor = Site()
    successor.now_ms = site.now_ms
    successor.submit('a')
    successor.progress = dict(progress or site.progress)
    for key, row in successor.progress.items():
        stored = decode_row(encode_row(row), ProgressRow)
        successor.scheduler.restore_progress(key, stored)
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
        successor.orders[minion, task] = order
    successor.decide()
    return successor


def assert_waits(site):
    assert site.scheduler.waiting_by_queue() == WAITING
    if 'a' in site.progress:
        assert site.progress['a'].state is JobState.queued
    assert not entries(site, 'job_started')


def assert_has_started(site, state=JobState.running):
    assert site.scheduler.waiting_by_queue() == {}
    assert site.progress['a'].state is state


def test_order_is_no_start(site):
    """A job must be counted until a minion has begun one of its runs."""
    assert_waits(site)
    site.report_all()
    site.decide(500)
    assert_waits(site)


@pytest.mark.parametrize(
    'happen',
    [
        lambda site: reject(site, 'late'),
        lambda site: reject(site, 'room'),
        withdraw,
        lose_minion,
        lose_guard,
        replace_minion,
        lambda site: site.crash(site.node_of(TASK), ages={TASK: None}),
    ],
    ids=['late', 'room', 'withdrawn', 'lost', 'guard', 'replaced', 'crashed'],
)
def test_order_that_ends_without_a_run_is_no_start(site, happen):
    """A job whose order expired or got lost was counted as started."""
    happen(site)
    assert_waits(site)
    assert_waits(takeover(site))


def test_orders_one_after_another_are_no_start(site):
    """Any number of orders that never start must leave the job counted."""
    for _ in range(4):
        site.rejected.clear()
        reject(site, 'late')
        site.decide(2_000)
        assert_waits(site)


def test_silent_guard_shows_no_start(site):
    """The order of a guard that stands still must not count as a run."""
    site.incarnations.pop(site.node_of(TASK))
    site.decide(3_000)
    assert_waits(site)


def test_report_of_the_run_is_a_start(site):
    """A job at work must be shown as running and not be counted."""
    site.report_running(TASK)
    site.decide()
    assert_has_started(site)
    assert len(entries(site, 'job_started')) == 1


def test_confirmed_start_without_a_list_is_a_start(site):
    """A minion may tell its runs a second later, or end before that."""
    node = site.node_of(TASK)
    site.report(node, is_live=False, started=[StartedRun(TASK, 1)])
    site.decide()
    assert_has_started(site)


def test_first_member_of_a_gang_is_a_start():
    """One begun task is enough, though the others are still to come."""
    site = Site()
    gang = StepSpec(2, 1000, 1000, 8, 2000, is_gang=True)
    site.submit('a', 'normal', gang)
    site.decide()
    assert_waits(site)
    site.report_running('a.0.0.1')
    site.decide()
    assert_has_started(site)


@pytest.mark.parametrize(
    'kind', [kind for kind in EndKind if kind is not EndKind.done]
)
def test_run_between_two_reports_is_a_start(site, kind):
    """A run of which only the end is known has begun, however it ended."""
    site.end(TASK, kind)
    assert_has_started(site)
    assert_has_started(takeover(site))


def test_run_that_its_minion_has_lost_is_a_start(site):
    """The minion had confirmed the run before it lost it."""
    reject(site, MISSING)
    assert_has_started(site)


@pytest.mark.parametrize('is_earlier', [False, True])
def test_end_whose_order_is_gone_is_a_start(site, is_earlier):
    """A run that ends after it was given up had begun all the same."""
    minion, node = site.minion_of(TASK), site.node_of(TASK)
    replace_minion(site)
    assert_waits(site)
    end = RunEnd(1, TASK, 1, EndKind.stopped, '')
    if is_earlier:
        site.report(node, earlier_ends=[EarlierEnd(minion, end)])
    else:
        site.ends[node] = [end]
        site.report(node)
    site.decide()
    assert_has_started(site)


def test_abandoned_run_is_a_start(site):
    """Only the report of the next incarnation tells of the run."""
    node = site.node_of(TASK)
    _, rack, accelerators = site.incarnations[node]
    site.incarnations[node] = ('next', rack, accelerators)
    site.report(node, abandoned=[RunningTask(TASK, 1, '', 1)])
    site.decide()
    assert_has_started(site)


@pytest.mark.parametrize(
    'happen',
    [
        lambda site: site.end(TASK, EndKind.failed),
        lambda site: site.end(TASK, EndKind.stopped),
        lambda site: site.crash(site.node_of(TASK)),
        lose_minion,
        lose_guard,
    ],
    ids=['failed', 'stopped', 'crashed', 'lost', 'guard'],
)
def test_start_is_never_taken_back(site, happen):
    """A job that has begun must not be counted again after its run ended."""
    site.report_running(TASK)
    happen(site)
    assert_has_started(site)
    site.decide(3_000)
    assert_has_started(site)
    assert_has_started(takeover(site))


def test_takeover_finds_a_start_that_only_a_report_shows(site):
    """The last holder may not have written the start."""
    successor = takeover(site)
    successor.report_running(TASK)
    successor.decide()
    assert_has_started(successor)


@pytest.mark.parametrize(
    ('task', 'has_started'),
    [
        (TaskRow('0.0.0', 1, 0, False), False),
        (TaskRow('0.0.0', 2, 1, False), True),
        (TaskRow('0.0.0', 1, 0, False, 'saved'), True),
        (TaskRow('0.0.0', 1, 0, False, '', {'m0': 9_000}), True),
    ],
    ids=['ordered', 'failed', 'checkpoint', 'stalled'],
)
def test_row_of_an_earlier_release_tells_no_start(site, task, has_started):
    """Earlier releases stored an ordered job as running."""
    row = ProgressRow(JobState.running, [task], queue='normal')
    successor = takeover(site, progress={'a': row})
    expected = {} if has_started else WAITING
    assert successor.scheduler.waiting_by_queue() == expected


def test_job_that_is_set_aside_is_counted(site, monkeypatch):
    """A job about which nothing is decided has not begun for that."""
    fail_for(monkeypatch, Job, 'is_unblocked', lambda job, _: job.job_id)
    site.submit('bad')
    site.decide()
    assert entries(site, 'job_set_aside')
    assert site.scheduler.waiting_by_queue() == {'normal': 2}
    site.scheduler.cancel('bad')
    site.decide()
    assert site.progress['bad'].state is JobState.cancelled
    assert site.scheduler.waiting_by_queue() == WAITING


def test_cancelled_job_is_not_counted(site):
    """A job that has ended does not wait, whether it had begun or not."""
    site.scheduler.cancel('a')
    site.decide()
    assert_has_started(site, JobState.cancelled)
