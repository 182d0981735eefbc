"""Ends of runs of earlier incarnations, as the scheduler records them."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import (
    EarlierEnd,
    EndKind,
    JobState,
    Report,
    RunEnd,
    decode_row,
)
from tests.workflows.site import SERVICE, Site

TASK = 'a.0.0.0'
STEP = StepSpec(1, 1000, 1000, 1, 2000, has_checkpoints=True)


@pytest.fixture
def site():
    site = Site()
    site.submit('a', 'normal', STEP)
    site.decide()
    return site


def replace_minion(site, *ends):
    """Report the next incarnation on the node of the run, with ends."""
    node = site.node_of(TASK)
    minion, rack, accelerators = site.incarnations[node]
    site.incarnations[node] = ('next', rack, accelerators)
    site.report(node, earlier_ends=[EarlierEnd(minion, end) for end in ends])
    site.decide()


def test_end_as_done_is_recorded_before_its_minion_is_lost(site):
    """A task that is done must not be repeated."""
    replace_minion(site, RunEnd(1, TASK, 1, EndKind.done, ''))
    assert site.progress['a'].state is JobState.completed
    assert not site.orders


@pytest.mark.parametrize(
    'kind', [kind for kind in EndKind if kind is not EndKind.done]
)
def test_other_ends_count_as_from_a_live_minion(site, kind):
    """A failure uses an attempt, and a checkpoint is resumed from."""
    replace_minion(site, RunEnd(1, TASK, 1, kind, 'saved'))
    [order] = site.orders.values()
    assert (order.run, order.checkpoint) == (2, 'saved')
    [row] = site.progress['a'].tasks
    assert row.failures == (kind is EndKind.failed)


def test_end_of_another_run_ends_no_run(site):
    """A live run must not count as ended."""
    minion = site.minion_of(TASK)
    ends = [
        EarlierEnd(minion, RunEnd(1, TASK, 2, EndKind.done, '')),
        EarlierEnd('other', RunEnd(1, TASK, 1, EndKind.done, '')),
    ]
    site.report(site.node_of(TASK), earlier_ends=ends)
    site.decide()
    assert site.minion_of(TASK) == minion
    assert site.progress['a'].state is JobState.running


def test_end_that_is_repeated_counts_once(site):
    """Guards repeat an end until its order is gone."""
    end = RunEnd(1, TASK, 1, EndKind.failed, '')
    replace_minion(site, end)
    replace_minion(site, end)
    [row] = site.progress['a'].tasks
    assert row.failures == 1


@pytest.mark.parametrize('is_gang', [False, True])
def test_new_leader_records_ends_before_it_gives_up_incarnations(is_gang):
    """The order of a gang member must not be lost before the end of another."""
    step = StepSpec(2, 1000, 1000, 8, 2000, is_gang=is_gang)
    site = Site()
    site.submit('a', 'normal', step)
    site.decide()
    done = list(site.orders)[1:] if is_gang else list(site.orders)
    successor = Site(racks=())
    successor.now_ms = site.now_ms
    successor.submit('a', 'normal', step)
    successor.scheduler.restore_progress('a', site.progress['a'])
    for (minion, task), order in site.orders.items():
        successor.scheduler.restore_order(minion, task, order)
    for number in range(3):
        ends = [
            EarlierEnd(minion, RunEnd(1, task, 1, EndKind.done, ''))
            for minion, task in done
            if minion == f'm{number}'
        ]
        report = Report('', SERVICE, False, False, 0, 1, earlier_ends=ends)
        successor.scheduler.restore_report(
            f'n{number}', report, 1, successor.now_ms
        )
    successor.scheduler.remove_unknown_orders()
    successor.decide()
    assert successor.progress['a'].state is JobState.completed


def test_row_of_an_older_release_has_no_earlier_ends():
    """A report must be readable while releases are mixed."""
    row = (
        b'{"minion_id":"m1","service":"s","is_ready":true,"is_live":true,'
        b'"authority_end_ms":1,"token":1}'
    )
    assert decode_row(row, Report).earlier_ends == []
