"""Waits of jobs, as they are found in the logs of a play."""

import json
from pathlib import Path

import pytest

from benchmarks.site_days.idle_jobs import (
    find_idle_stretches,
    read_capacity,
)
from benchmarks.site_days.idle_tables import format_stretches, format_summary
from benchmarks.site_days.played_faults import read_broken_rules
from benchmarks.site_days.room import Room
from benchmarks.site_days.wait_causes import WaitCause

_CAPACITY = Room(32_000, 65_536, 8)
_STEP = {'millicores': 2800, 'memory_mb': 7392, 'accelerators': 1}


class _Log:
    """Output of a play that the test writes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._faults: list[str] = []

    def add(self, at_s: float, node: str, event: str, **fields: object) -> None:
        entry = {'node': node, 'event': event, **fields}
        self._lines.append(f'{at_s:9.4f} {node} {json.dumps(entry)}')

    def add_fault(self, line: str) -> None:
        self._faults.append(f'  {line}')

    def add_minions(self, *minions: str) -> None:
        for minion in minions:
            self.add(-9, f'side-{minion}', 'minion_registered', minion=minion)

    def accept(self, at_s: float, job: str, *steps: dict[str, object]) -> None:
        self.add(at_s, 'front', 'job_accepted', job=job, steps=steps)

    def run(self, start_s: float, end_s: float, task: str, minion: str) -> None:
        side = f'side-{minion}'
        self.add(start_s, 'front', 'run_ordered', task=task, minion=minion)
        self.add(start_s, side, 'start_order', task=task, outcome='Started')
        self.add(end_s, side, 'run_ended', task=task, kind='done')
        self.add(
            end_s,
            'front',
            'end_recorded',
            task=task,
            kind='done',
            minion=minion,
        )

    def find(self, **options: float):
        self._lines.sort(key=lambda line: float(line.split()[0]))
        self._path.write_text('\n'.join(self._lines + self._faults))
        return find_idle_stretches(self._path, _CAPACITY, **options)


@pytest.fixture
def log(tmp_path):
    return _Log(tmp_path / 'play.log')


def test_second_step_that_waits_beside_room_is_found(log):
    """Guards against a job that could run and is not listed."""
    log.add_minions('i-1', 'i-2')
    log.accept(0, 'job', {**_STEP, 'count': 1}, {**_STEP, 'after': [0]})
    log.run(0, 10, 'job.0.0.0', 'i-1')
    log.run(14, 20, 'job.0.1.0', 'i-1')

    [found] = log.find()

    assert (found.step, found.began_s, found.ended_s) == (1, 10, 14)
    assert found.unused.every.longest_s == pytest.approx(4)
    assert found.breaks_rule
    assert '4.00 !' in list(format_stretches([found]))[-1]


def test_wait_without_room_does_not_count_as_unused(log):
    """Guards against waits for busy minions that are listed as faults."""
    log.add_minions('i-1')
    log.accept(0, 'wide', {**_STEP, 'accelerators': 8})
    log.run(0, 10, 'wide.0.0.0', 'i-1')
    log.accept(1, 'job', _STEP)
    log.run(10, 12, 'job.0.0.0', 'i-1')

    [found] = log.find()

    assert found.length_s == pytest.approx(9)
    assert found.fewest_fit == 0
    assert not found.unused.longest_s


def test_use_below_half_is_told_by_resource(log):
    """Guards against one resource that hides how much another is used."""
    log.add_minions('i-1', 'i-2', 'i-3')
    log.accept(0, 'wide', {**_STEP, 'accelerators': 8, 'count': 2})
    log.run(0, 10, 'wide.0.0.0', 'i-1')
    log.run(0, 10, 'wide.0.0.1', 'i-2')
    log.accept(1, 'job', _STEP)
    log.run(8, 12, 'job.0.0.0', 'i-3')

    [found] = log.find()

    assert found.unused.cores.longest_s == pytest.approx(7)
    assert not found.unused.accelerators.longest_s
    assert not found.breaks_rule


def test_gang_needs_room_for_all_members_twice(log):
    """Guards against gangs that are judged by the room for one member."""
    log.add_minions('i-1')
    log.accept(0, 'gang', {**_STEP, 'count': 5, 'is_gang': True})
    log.add(6, 'front', 'job_cancelled', job='gang')

    [found] = log.find()

    assert found.fewest_fit == 8
    assert not found.unused.longest_s


@pytest.mark.parametrize(
    ('event', 'fields'),
    [
        ('minion_left', {}),
        ('minion_lost', {}),
        ('minion_draining', {'is_draining': True}),
    ],
)
def test_minion_that_leaves_is_no_room(log, event, fields):
    """Guards against the room of minions that can start nothing."""
    log.add_minions('i-1')
    log.add(0, 'side-i-1', event, minion='i-1', **fields)
    log.accept(1, 'job', _STEP)
    log.add(8, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert not found.unused.longest_s


def test_repeated_submission_and_restarted_guard_are_no_wait(log):
    """Guards against entries that repeat after a restart."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.run(0, 10, 'job.0.0.0', 'i-1')
    log.add(5, 'side-i-1', 'minion_registered', minion='i-1')
    log.add(10, 'front', 'job_ended', job='job')
    log.accept(11, 'job', _STEP)
    log.add(20, 'front', 'lease_claimed')

    assert not log.find()


def test_late_record_of_an_end_does_not_end_the_next_run(log):
    """Guards against a run that counts as ended while it is at work."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    for at_s, run in ((0, 1), (5, 2)):
        log.add(
            at_s,
            'side-i-1',
            'start_order',
            task='job.0.0.0',
            run=run,
            outcome='Started',
        )
    end = {'task': 'job.0.0.0', 'run': 1, 'kind': 'stopped', 'minion': 'i-1'}
    log.add(6, 'front', 'end_recorded', **end)
    log.add(20, 'front', 'lease_claimed')

    assert not log.find()


def test_cause_of_a_wait_is_told(log):
    """Guards against a wait of which the table gives no reason."""
    log.add(0, 'front', 'scheduling_started')
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.add(1, 'front', 'run_ordered', task='job.0.0.0', minion='i-1')
    log.add(2, 'front', 'run_lost', task='job.0.0.0', minion='i-1', reason='r')
    log.add(
        3,
        'front',
        'step_waits',
        job='job',
        step=0,
        tier=3,
        fit_free=2,
        fit_unreserved=0,
    )
    log.add(5, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.facts.details == {'run lost: r'}
    assert WaitCause.order_not_started in found.facts.seconds
    assert 'free 2, unreserved 0' in list(format_stretches([found]))[-1]


def test_waits_are_taken_from_a_given_time(log):
    """Guards against waits early in the day that hide those at its end."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.add(30, 'front', 'lease_claimed')
    log.add(40, 'front', 'lease_claimed')

    [found] = log.find(from_s=25)

    assert found.length_s == pytest.approx(10)


def test_capacity_is_read_from_the_site(tmp_path):
    """Guards against a play that is judged by other minions than it had."""
    site = tmp_path / 'site.toml'
    site.write_text(
        'services = [{ node = { cpu = 32000, mem_mb = 65536, gpu = 8 } }]'
    )

    assert read_capacity(site) == _CAPACITY


def test_lost_machine_is_no_room_and_holds_its_runs(log):
    """Guards against a minion that counts after it lost power."""
    log.add_minions('i-1', 'i-2')
    log.accept(0, 'job', _STEP)
    log.add(0, 'front', 'scheduling_started')
    log.add(0, 'front', 'run_ordered', task='job.0.0.0', minion='i-1')
    log.add(0, 'side-i-1', 'start_order', task='job.0.0.0', outcome='Started')
    log.add_fault('5.0 s to 30.0 s  node_kill (power) side-i-1')
    log.add(20, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert (found.began_s, found.ended_s) == (5, 20)
    assert found.fewest_fit == 8
    assert found.facts.cause is WaitCause.lost_machine


def test_machine_that_returns_with_another_minion_was_lost(log):
    """Guards against runs that go on with the old minion's machine."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.add(0, 'side-i-1', 'start_order', task='job.0.0.0', outcome='Started')
    log.add_fault('5.0 s to 9.0 s  closing (power_off_all) front, and 1 more')
    log.add(9, 'side-i-1', 'minion_registered', minion='i-2')
    log.add(20, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.began_s == 5


@pytest.mark.parametrize(
    ('step', 'fit'),
    [
        ({'max_per_worker': 1}, 2),
        ({'constraint': 'kind-a'}, 8),
        ({'fills': True}, 16),
    ],
)
def test_step_fits_only_where_it_may_run(log, step, fit):
    """Guards against room that the step has no right to."""
    for minion, label in (('i-1', 'kind-a'), ('i-2', 'kind-b')):
        side = f'side-{minion}'
        log.add(-9, side, 'minion_registered', minion=minion, labels=[label])
    log.accept(0, 'job', {**_STEP, 'count': 9, **step})
    log.add(8, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.fewest_fit == fit


def test_shrunk_minion_has_less_room(log):
    """Guards against the room that a minion no longer has."""
    log.add_minions('i-1')
    capacity = [32_000, 16_000, 8]
    log.add(0, 'side-i-1', 'capacity_changed', minion='i-1', capacity=capacity)
    log.accept(1, 'job', _STEP)
    log.add(8, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.fewest_fit == 2


def test_run_that_a_guard_finds_is_at_work(log):
    """Guards against runs without an answer that are taken for waits."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.add(4, 'side-i-1', 'run_found', task='job.0.0.0', run=1)
    log.add(9, 'front', 'lease_claimed')

    [found] = log.find()

    assert found.ended_s == 4


@pytest.mark.parametrize(
    ('wait', 'cause'),
    [
        ({'fit_free': 8, 'fit_unreserved': 0}, WaitCause.reserved),
        ({'fit_free': 0, 'fit_excluded': 8}, WaitCause.excluded),
        ({'fit_free': 8, 'fit_unreserved': 8, 'fit_avoided': 8}, 'avoided'),
        ({'fit_free': 0, 'fit_off_rack': 8}, WaitCause.off_rack),
        ({'fit_free': 0, 'fit_unreserved': 0}, WaitCause.believed_full),
    ],
)
def test_cause_is_taken_from_the_wait_of_the_step(log, wait, cause):
    """Guards against a wait for a preference that counts as another."""
    log.add_minions('i-1')
    log.add(0, 'front', 'scheduling_started')
    log.accept(0, 'job', _STEP)
    wait = {'fit_unreserved': 0, **wait}
    log.add(0, 'front', 'step_waits', job='job', step=0, **wait)
    log.add(9, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.facts.cause == cause


def test_time_without_a_leader_is_told(log):
    """Guards against a missing leader that looks like a preference."""
    log.add_minions('i-1')
    log.add(-9, 'front', 'started', program='front')
    log.add(0, 'front', 'scheduling_started')
    log.accept(1, 'job', _STEP)
    log.add(2, 'front', 'started', program='front')
    log.add(9, 'front', 'scheduling_started')
    log.add(10, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.facts.cause is WaitCause.no_leader
    assert found.facts.takeovers == 1


def test_end_that_a_cut_off_guard_cannot_report_is_told(log):
    """Guards against a cut-off worker that the leader seems to neglect."""
    log.add_minions('i-1', 'i-2')
    log.add(0, 'front', 'scheduling_started')
    log.accept(0, 'job', {**_STEP, 'count': 1}, {**_STEP, 'after': [0]})
    log.add(0, 'front', 'run_ordered', task='job.0.0.0', minion='i-1')
    log.add(0, 'side-i-1', 'start_order', task='job.0.0.0', outcome='Started')
    log.add(1, 'side-i-1', 'report_not_written', reason='no response')
    log.add(2, 'side-i-1', 'run_ended', task='job.0.0.0', kind='done')
    log.add(9, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.step == 1
    assert found.facts.cause is WaitCause.silent_guard


def test_repeated_run_of_a_task_that_is_done_is_no_work(log):
    """Guards against a wait that a run ends which the users do not count."""
    log.add_minions('i-1', 'i-2')
    log.add(0, 'front', 'scheduling_started')
    log.accept(0, 'job', {**_STEP, 'count': 1}, {**_STEP, 'after': [0]})
    log.add(0, 'side-i-1', 'start_order', task='job.0.0.0', outcome='Started')
    log.add(2, 'side-i-1', 'run_ended', task='job.0.0.0', kind='done')
    log.add(3, 'side-i-2', 'start_order', task='job.0.0.0', outcome='Started')
    log.add(9, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.unused.every.longest_s == pytest.approx(7)
    assert found.facts.cause is WaitCause.end_lost


def test_first_start_of_a_program_ends_no_leader(log):
    """Guards against a start of all programs that counts as a restart."""
    log.add_minions('i-1')
    log.add(-9, 'front', 'started', program='front')
    log.add(-8, 'front', 'scheduling_started')
    log.accept(1, 'job', _STEP)
    log.add(9, 'front', 'job_ended', job='job')

    [found] = log.find()

    assert found.facts.cause is WaitCause.unknown


def test_summary_counts_the_waits_of_all_plays(log):
    """Guards against a hunt whose waits are told for its first play only."""
    log.add_minions('i-1')
    log.accept(0, 'job', _STEP)
    log.add(9, 'front', 'job_ended', job='job')

    found = log.find()
    rows = list(format_summary({'day-1': found, 'day-2': found}))

    assert rows[2] == (
        '| no leader | 2 | 2 | 18.0 | 18.0 | 2 | 9.00 | day-1 at 0.0 |'
    )


def test_broken_rules_are_read_from_the_output():
    """Guards against a broken rule that the table does not show."""
    lines = ['  GATE', 'LOST at 66.55 s: at the end a.0.0.0 could run']

    assert read_broken_rules(lines) == [lines[1]]
