"""Runs that stand still, and gangs that wait for their slowest member."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import RunningTask
from tests.workflows.site import Site


@pytest.fixture
def site():
    return Site()


def _report_gang(site, percents):
    """Report the members of gang ``a`` with the given percents."""
    running = {}
    for index, percent in enumerate(percents):
        task = f'a.0.0.{index}'
        running.setdefault(site.minion_of(task), []).append(
            RunningTask(task, 1, '', percent)
        )
    for minion, tasks in running.items():
        site.report(minion.replace('m', 'n'), running=tasks)


def _run_gang(site, percents_by_second):
    site.submit('a', 'normal', StepSpec(2, 1000, 1000, 8, 1000, is_gang=True))
    site.decide()
    for percents in percents_by_second:
        site.now_ms += 1000
        site.report_all()
        _report_gang(site, percents)
        site.decide()


def test_member_on_a_fast_worker_waits_for_the_others(site):
    """A gang near its end must not be stopped for its fast members."""
    _run_gang(site, [(100, percent) for percent in range(60, 80)])
    assert site.tasks() == ['a.0.0.0', 'a.0.0.1']


def test_member_that_stands_still_behind_the_others_is_found(site):
    """One member that makes no progress must not hold its gang for ever."""
    _run_gang(site, [(100, 40)] * 8)
    assert 'a.0.0.1' not in site.tasks()


def test_gang_that_never_ends_is_found(site):
    """Members that all stay at the last percent must be started anew."""
    _run_gang(site, [(100, 100)] * 8)
    assert not site.tasks()
