"""Detection of stalled runs, in particular of gang members."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import RunningTask
from tests.workflows.site import Site


@pytest.fixture
def site():
    return Site()


def _report_gang(site, percents, **fields):
    """Report the progress of each member of gang ``a``."""
    running = {}
    for index, percent in enumerate(percents):
        task = f'a.0.0.{index}'
        running.setdefault(site.minion_of(task), []).append(
            RunningTask(task, 1, '', percent)
        )
    for minion, tasks in running.items():
        site.report(minion.replace('m', 'n'), running=tasks, **fields)


def _run_gang(site, percents_by_second):
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 8, 1000, is_gang=True))
    site.decide()
    for percents in percents_by_second:
        site.now_ms += 1000
        site.report_all()
        _report_gang(site, percents)
        site.decide()


def test_finished_gang_member_waiting_for_others_is_not_stopped(site):
    """A gang must not be stopped while its slowest member makes progress."""
    _run_gang(site, [(100, percent) for percent in range(60, 80)])
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1']


def test_stalled_gang_member_is_stopped(site):
    """A gang must not wait for ever for a member that makes no progress."""
    _run_gang(site, [(100, 40)] * 8)
    assert 'a.0.0.1' not in site.ordered_tasks()


def test_gang_stalled_at_100_percent_is_stopped(site):
    """A gang whose members all stay at 100 percent must be stopped."""
    _run_gang(site, [(100, 100)] * 8)
    assert not site.ordered_tasks()


def test_run_is_not_stalled_while_its_minion_cannot_be_read(site):
    """A minion that does not answer its guard for some time works on.

    The guard repeats the last progress that it has read, which says nothing
    about the time since.
    """
    _run_gang(site, [(10, 10)])
    for second in range(1, 9):
        site.now_ms += 1000
        site.report_all()
        _report_gang(site, (10, 10), runs_age_ms=second * 1000)
        site.decide()
    assert site.ordered_tasks() == ['a.0.0.0', 'a.0.0.1']
    _report_gang(site, (10, 10))
    site.decide()
    assert not site.ordered_tasks()
