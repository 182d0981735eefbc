"""Log entries about jobs of which nothing runs although it could."""

import msgspec
import pytest

from dragonflynotch.workflows.evacuation import EvacuationRequests
from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.ordering.idle_causes import IdleCause
from dragonflynotch.workflows.records import EndKind, RunningTask
from dragonflynotch.workflows.scheduler import SchedulerSettings
from tests.workflows.site import Site, entries

WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)
LONG_STEP = StepSpec(1, 8000, 8000, 8, 60_000)
SMALL_STEP = StepSpec(1, 1000, 1000, 1, 60_000)
# By now, each scenario has an entry; sites begin at 10 s.
LAST_ENTRY_MS = 20_000
GANG_STEP = StepSpec(2, 1000, 1000, 8, 9000, is_gang=True)


class ReportingSite(Site):
    """A site whose guards report ordered runs as running.

    Tests put the identifiers of tasks that no report lists in ``hidden``, and
    nodes without further reports in ``silent``.
    """

    def __init__(self, *args, **fields):
        self.hidden = set()
        self.silent = set()
        super().__init__(*args, **fields)

    def report(self, node, **fields):
        if node in self.silent:
            return
        minion = self.incarnations[node][0]
        running = [
            RunningTask(name, order.run, '', 10)
            for (ordered_from, name), order in self.orders.items()
            if ordered_from == minion and name not in self.hidden
        ]
        super().report(node, running=running, **fields)

    def wait(self, duration_ms, step_ms=500):
        for _ in range(duration_ms // step_ms):
            self.decide(advance_ms=step_ms)


def reserved_room():
    """A gang waits for a late run, and its room is kept from job a."""
    site = ReportingSite(racks=('r1', 'r1'))
    site.submit('x', 'normal', LONG_STEP)
    site.decide()
    site.submit('g', 'normal', GANG_STEP)
    site.submit('a', 'batch', StepSpec(1, 1000, 1000, 1, 600_000))
    return site


def avoided_worker():
    """Job a failed on the only worker with room."""
    site = ReportingSite(racks=('r1', 'r1'))
    site.submit('x', 'normal', LONG_STEP)
    site.decide()
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    return site


def excluded_worker():
    """Two jobs failed on the only worker with room for the gang."""
    site = ReportingSite(racks=('r1', 'r1', 'r1'))
    for job in ('y', 'z'):
        site.submit(job)
        site.decide()
    site.submit('x', 'urgent', StepSpec(2, 8000, 8000, 8, 60_000))
    site.decide()
    for job in ('y', 'z'):
        site.end(f'{job}.0.0.0', EndKind.failed)
    site.submit('a', 'normal', StepSpec(2, 8, 8, 4, 60_000, is_gang=True))
    return site


def suspected_neighbour():
    """Two suspected tasks start on the only worker, one after the other.

    The second one starts just before job a may claim the worker.
    """
    site = ReportingSite(racks=('r1',))
    site.submit('bad', 'normal', StepSpec(2, 1000, 1000, 1, 60_000))
    site.decide()
    site.crash('n0')
    site.submit('a', 'batch', SMALL_STEP)
    for advance_ms in (500, 810, 200):
        site.decide(advance_ms=advance_ms)
    return site


def other_rack():
    """Job a waits for the rack of its data, which is full."""
    site = ReportingSite(racks=('r1', 'r2'))
    site.submit('x', 'normal', StepSpec(1, 8, 8, 8, 60_000, data_rack='r1'))
    site.decide()
    site.submit('a', 'normal', StepSpec(1, 8, 8, 8, 60_000, data_rack='r1'))
    return site


def full_site():
    """Another job takes up the only worker."""
    site = ReportingSite(racks=('r1',))
    site.submit('x', 'normal', LONG_STEP)
    site.decide()
    site.submit('a', 'normal', SMALL_STEP)
    return site


def too_large_step():
    """Job a needs more than any worker has."""
    site = ReportingSite()
    site.submit('a', 'normal', StepSpec(1, 1000, 1000, 9, 2000))
    return site


def paused_starts():
    """The operator's rows cannot be read, so that no run may start."""
    site = ReportingSite(settings=SchedulerSettings(evacuation_bound_ms=2500))
    site.scheduler.apply_evacuations(
        EvacuationRequests(frozenset(), current_at_ms=site.now_ms - 60_000)
    )
    site.submit('a', 'normal', SMALL_STEP)
    return site


def order_without_run():
    """The guard does not start the run that was ordered."""
    site = ReportingSite()
    site.hidden.add('a.0.0.0')
    site.submit('a', 'normal', SMALL_STEP)
    return site


def order_to_stop():
    """A run is ordered to stop, and no report tells of its end."""
    site = ReportingSite(racks=('r1',))
    site.hidden.add('a.0.0.0')
    site.submit('a', 'batch', LONG_STEP)
    site.decide()
    site.submit('x', 'urgent', SMALL_STEP)
    return site


def broken_gang():
    """One member of a gang ended, and the other is not reported."""
    site = ReportingSite(racks=('r1', 'r1'))
    site.hidden.update(('a.0.0.0', 'a.0.0.1'))
    site.submit('a', 'normal', GANG_STEP)
    site.decide()
    site.end('a.0.0.0', EndKind.lapsed)
    return site


def missing_end():
    """The first step has run, and its end has not been recorded."""
    site = ReportingSite()
    site.submit('a', 'normal', SMALL_STEP, StepSpec(1, 1, 1, 1, 1, after=(0,)))
    site.decide()
    site.decide(advance_ms=500)
    site.hidden.add('a.0.0.0')
    return site


def silent_guard():
    """The guard of the run does not report for a long time."""
    site = ReportingSite()
    site.submit('a', 'normal', SMALL_STEP)
    site.decide()
    site.decide(advance_ms=500)
    site.silent.add(site.node_of('a.0.0.0'))
    return site


SCENARIOS = {
    IdleCause.reserved: reserved_room,
    IdleCause.avoided: avoided_worker,
    IdleCause.excluded: excluded_worker,
    IdleCause.kept_apart: suspected_neighbour,
    IdleCause.off_rack: other_rack,
    IdleCause.full: full_site,
    IdleCause.no_candidates: too_large_step,
    IdleCause.starts_paused: paused_starts,
    IdleCause.order_unreported: order_without_run,
    IdleCause.order_stopping: order_to_stop,
    IdleCause.gang_incomplete: broken_gang,
    IdleCause.end_not_recorded: missing_end,
    IdleCause.report_outdated: silent_guard,
}


def idle_entries(site):
    return [
        fields for fields in entries(site, 'job_idle') if fields['job'] == 'a'
    ]


def test_every_cause_has_a_scenario():
    """Guards against a cause that nothing shows to be told from the others."""
    assert set(IdleCause) - SCENARIOS.keys() == {IdleCause.unknown}


@pytest.mark.parametrize(('cause', 'scenario'), SCENARIOS.items())
def test_cause_is_told_from_the_others(cause, scenario):
    """A job that doesn't run must lead to its cause."""
    site = scenario()
    while not idle_entries(site) and site.now_ms < LAST_ENTRY_MS:
        site.wait(500)
    assert [fields['cause'] for fields in idle_entries(site)] == [cause]
    assert site.scheduler.status.idle_jobs[cause] >= 1


def test_job_is_recorded_at_intervals_until_something_runs():
    """A wait must not write a line in every round, and its end must show."""
    site = order_without_run()
    site.wait(13_000)
    assert [fields['idle_ms'] for fields in idle_entries(site)] == [
        2_000,
        7_000,
        12_000,
    ]
    assert entries(site, 'job_idle_ended') == []
    site.hidden.clear()
    site.wait(1_000)
    (ended,) = entries(site, 'job_idle_ended')
    assert (ended['job'], ended['cause']) == ('a', 'order_unreported')
    assert ended['idle_ms'] == 13_000
    assert sum(site.scheduler.status.idle_jobs.values()) == 0


def test_job_that_runs_or_starts_soon_is_not_recorded():
    """Healthy jobs must not hide the ones that do not run."""
    site = ReportingSite()
    site.submit('a', 'normal', SMALL_STEP)
    site.submit('b', 'normal', SMALL_STEP)
    site.hidden.add('b.0.0.0')
    site.wait(1_500)
    site.hidden.clear()
    site.wait(6_000)
    assert entries(site, 'job_idle') == []
    assert entries(site, 'job_idle_ended') == []


def test_step_that_is_not_due_is_not_idle():
    """The next occurrence of a repeated job must not look like a fault."""
    site = ReportingSite()
    site.submit(
        'a',
        'normal',
        SMALL_STEP,
        repetitions=2,
        first_due_ms=1_000,
        interval_ms=1_000,
    )
    site.wait(8_000)
    assert entries(site, 'job_idle') == []


def test_entry_names_the_order_that_is_not_reported():
    """The minion to look at must be in the entry, with its report's age."""
    site = order_without_run()
    site.decide()
    minion = site.minion_of('a.0.0.0')
    site.wait(3_000)
    (entry,) = idle_entries(site)
    (step,) = entry['steps']
    order = step.oldest_order
    assert (order.task, order.minion) == ('a.0.0.0', minion)
    assert (order.order_age_ms, order.report_age_ms) == (2_000, 0)
    assert order.is_report_recent
    assert (step.waiting_tasks, step.ordered_tasks) == (0, 1)


def test_entry_names_the_share_that_no_report_lists():
    """Room held by orders without a run must not look like work."""
    site = ReportingSite(racks=('r1', 'r1'))
    site.hidden.add('a.0.0.0')
    for job in ('a', 'b'):
        site.submit(job, 'normal', StepSpec(1, 1000, 1000, 4, 60_000))
    site.wait(3_000)
    entry = idle_entries(site)[-1]
    assert (entry['capacity_in_use'], entry['capacity_unreported']) == (
        0.5,
        0.25,
    )
    use = site.scheduler.status.capacity_use['planner']
    assert (use.in_use, use.unreported) == (0.5, 0.25)


def test_number_of_entries_of_a_round_is_bounded():
    """Overload must not fill the log; all jobs get their turn."""
    site = full_site()
    for number in range(120):
        site.submit(f'w{number}', 'normal', SMALL_STEP)
    site.wait(2_500)
    assert len(entries(site, 'job_idle')) == 50
    site.wait(1_000)
    assert len({fields['job'] for fields in entries(site, 'job_idle')}) == 121


def test_entry_can_be_encoded():
    """Guards against an entry that the decision log cannot write."""
    site = reserved_room()
    site.wait(3_000)
    line = msgspec.json.decode(msgspec.json.encode(idle_entries(site)[0]))
    (step,) = line['steps']
    assert step['room']['reserved_by'][0]['job'] == 'g'
