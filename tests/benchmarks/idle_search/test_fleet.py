"""Tests of the simulated minions and guards."""

from benchmarks.idle_search.faults import FaultKind, MachineFault, Return
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import NO_ROOM, EndKind
from tests.benchmarks.idle_search.site import (
    TASK,
    JudgedFleet,
    make_arrival,
    make_day,
)

GANG = StepSpec(2, 2800, 7392, 1, 2000, is_gang=True)


def make_fleet(step=TASK, **fields):
    return JudgedFleet(make_day(make_arrival('job', 0, step), **fields))


def reasons(site):
    return [rejection.reason for rejection in site.report().rejected]


def test_run_takes_its_time_and_is_reported():
    """Runs ended at once, or never, or nobody heard of it."""
    site = make_fleet()
    site.order('job.0.0.0')
    site.advance(4000)
    assert [run.task for run in site.report().running] == ['job.0.0.0']
    site.advance(1500)
    assert [end.kind for end in site.report().ended] == [EndKind.done]


def test_start_without_room_is_rejected():
    """A worker that has shrunk started more than it has room for."""
    shrunk = MachineFault(FaultKind.shrunk, 0, 0, 9000, size=0.1)
    site = make_fleet(faults=(shrunk,))
    site.order('job.0.0.0')
    site.advance(500)
    assert reasons(site) == [NO_ROOM]


def test_late_order_expires():
    """An order that comes after its last start time was carried out."""
    site = make_fleet()
    site.order('job.0.0.0', start_timeout_ms=30)
    site.advance(500)
    assert reasons(site) == ['expired']
    assert not site.book.runs_by_job['job']


def test_restarting_guard_keeps_the_order():
    """An order that came while the guard restarts was lost."""
    restart = MachineFault(FaultKind.guard_restart, 0, 0, 2000)
    site = make_fleet(faults=(restart,))
    site.order('job.0.0.0', start_timeout_ms=5000)
    site.advance(1000)
    assert not site.book.runs_by_job['job']
    site.advance(1500)
    assert site.book.runs_by_job['job'] == 1


def test_gang_ends_together():
    """A member of a gang went on without the others."""
    crash = MachineFault(FaultKind.crash, 0, 2000, 3000)
    site = make_fleet(GANG, faults=(crash,))
    site.order('job.0.0.0')
    site.order('job.0.0.1', machine=1)
    site.advance(1500)
    [end] = site.report(machine=1).ended
    assert end.kind is EndKind.broken


def test_incomplete_gang_gives_up():
    """A member waited for the others without a bound."""
    site = make_fleet(GANG)
    site.order('job.0.0.0')
    site.advance(3500)
    [end] = site.report().ended
    assert end.kind is EndKind.alone


def test_lost_machine_returns_as_another_incarnation():
    """A returned machine was taken for the one that had lost its runs."""
    lost = MachineFault(FaultKind.lost, 0, 2000, 3000, 0, Return.same_node)
    site = make_fleet(faults=(lost,))
    site.order('job.0.0.0')
    before = site.fleet.machines[0].minion.minion_id
    site.advance(3000)
    assert site.report().minion_id != before
    assert not site.report().running


def test_machine_that_returns_elsewhere_has_a_report_of_its_own():
    """The stored report of the lost guard must stay until it is voided."""
    lost = MachineFault(FaultKind.lost, 0, 2000, 3000, 0, Return.other_node)
    site = make_fleet(faults=(lost,))
    site.advance(3000)
    assert site.report().minion_id == 'm0'
    assert site.store.reports['n0b'].report.minion_id == 'm2'


def test_runs_end_with_the_authority_of_their_guard():
    """Runs outlived the time after which the leader starts them again."""
    silent = MachineFault(FaultKind.silent, 0, 2000, 60_000)
    site = make_fleet(StepSpec(1, 2800, 7392, 1, 50_000), faults=(silent,))
    site.order('job.0.0.0')
    site.advance(14_000)
    assert site.book.runs_by_job['job'] == 1
    site.advance(3000)
    assert not site.book.runs_by_job['job']
