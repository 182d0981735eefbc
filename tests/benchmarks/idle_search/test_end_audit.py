"""Tests of the comparison of the minions' ends with the leader's records."""

import pytest

from benchmarks.idle_search.days import draw_day
from benchmarks.idle_search.end_audit import EndPlace
from benchmarks.idle_search.faults import (
    FaultKind,
    LeaderAbsence,
    MachineFault,
    Return,
)
from benchmarks.idle_search.play import play_day
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import Report
from tests.benchmarks.idle_search.site import (
    JudgedFleet,
    make_arrival,
    make_day,
)

STEPS = (
    StepSpec(1, 2800, 7392, 1, 2000),
    StepSpec(1, 2800, 7392, 1, 3000, after=(0,)),
)
LOST_MS = 4200
BACK_MS = 5000


ABSENCE = LeaderAbsence(2500, 5500)
SILENT = MachineFault(FaultKind.silent, 0, 2000, LOST_MS)


def play(*faults, absences=(ABSENCE,), machines=1):
    """Play one job, whose first step ends at about 3.3 s."""
    lost = MachineFault(
        FaultKind.lost, 0, LOST_MS, BACK_MS, returns=Return.same_node
    )
    day = make_day(
        make_arrival('job', 1000, *STEPS),
        machines=machines,
        faults=(*faults, lost),
        absences=absences,
    )
    return play_day(day, 1500)


def test_end_in_a_report_outlasts_a_time_without_a_leader():
    """A task was repeated although its end had been in the store."""
    result = play()
    assert not result.lost_ends
    assert not result.repeated_ms


def test_end_in_a_report_that_is_replaced_is_lost():
    """Ends that the store had must be told from those that it never had."""
    lost = MachineFault(FaultKind.lost, 0, LOST_MS, BACK_MS)
    job = make_arrival('job', 0, *STEPS)
    site = JudgedFleet(make_day(job, machines=1, faults=(lost,)))
    site.order('job.0.0.0')
    site.advance(LOST_MS)
    site.store.write_report('n0', Report('', '', False, False, 0, 1))
    site.advance(1000)
    [end] = site.oracle.audit.lost
    assert (end.task, end.run, end.place) == ('job.0.0.0', 1, EndPlace.report)
    assert end.ended_ms < LOST_MS


def test_end_that_could_not_be_reported_is_lost_at_the_guard():
    """An end that the store never had must not count as one that it had."""
    result = play(SILENT)
    [end] = result.lost_ends
    assert end.place == EndPlace.guard
    assert result.repeated_ms['job.0.0.0'] > 1900


def test_end_that_a_leader_reads_is_not_lost():
    """An end that is recorded before the loss of power needs no repeat."""
    result = play(absences=())
    assert not result.lost_ends
    assert not result.repeated_ms


def test_repeat_does_not_count_as_work_of_its_job():
    """A job had nothing but a repeat at work, and the rule did not see it."""
    [wait] = play(SILENT, machines=2).findings
    assert wait.main_class.value == 'lost_end'


@pytest.mark.parametrize('seed', [5, 37])
def test_search_finds_days_on_which_ends_are_lost(seed):
    """Random days did not lose ends, so that a repair could not be judged."""
    result = play_day(draw_day(seed, frozenset({FaultKind.outage})))
    assert result.lost_ends
    assert not result.violations
