"""Ends of runs that a play lost, and the runs that repeated their tasks."""

import json

import pytest

from benchmarks.site_days.end_tables import (
    format_delays,
    format_end_summary,
    format_ends,
)
from benchmarks.site_days.play_ends import read_play_ends
from benchmarks.site_days.played_ends import EndPlace

_TASK = 'job.0.0.0'


class _Log:
    """Output of a play that the test writes."""

    def __init__(self, path):
        self._path = path
        self._lines = []

    def add(self, at_s, node, event, **fields):
        entry = {'node': node, 'event': event, **fields}
        self._lines.append(f'{at_s:9.4f} {node} {json.dumps(entry)}')

    def run(self, start_s, end_s, run=1, *, kind='done', minion='i-1'):
        """Add a run of the task with its end."""
        name = {'task': _TASK, 'run': run}
        self.add(start_s, 'front', 'run_ordered', **name, minion=minion)
        self.add(start_s, 'side', 'start_order', **name, outcome='Started')
        if end_s is not None:
            self.add(
                end_s, 'side', 'run_ended', **name, kind=kind, unseen_ms=200
            )

    def report(self, at_s, task=_TASK):
        self.add(at_s, 'side', 'ends_reported', ends=[{'task': task, 'run': 1}])

    def record(self, at_s, run=1):
        self.add(
            at_s, 'front', 'end_recorded', task=_TASK, run=run, kind='done'
        )

    def lose(self, at_s, run=1):
        self.add(at_s, 'front', 'run_lost', task=_TASK, run=run, minion='i-1')

    def read(self):
        self._lines.sort(key=lambda line: float(line.split()[0]))
        self._path.write_text('\n'.join(self._lines))
        return read_play_ends(self._path)


@pytest.fixture
def log(tmp_path):
    return _Log(tmp_path / 'play.log')


def test_lost_end_is_found_with_its_repeat(log):
    """Guards against a task that runs again after its end and is not seen."""
    log.run(0, 10)
    log.lose(12)
    log.run(12.5, 20, 2)
    log.record(20.1, 2)

    play = log.read()

    [lost] = play.lost
    [repeat] = play.repeats
    assert (lost.read_s, lost.lost_s) == (10, 12)
    assert (repeat.number, repeat.wasted_s) == (2, 7.5)
    assert sum(_TASK in line for line in format_ends(play)) == 2


def test_repeat_at_work_at_the_end_of_the_log_counts(log):
    """A repeat that holds up a job to the end must not count as short."""
    log.run(0, 10)
    log.lose(12)
    log.run(12.5, None, 2)
    log.add(30, 'front', 'stopping')
    [repeat] = log.read().repeats
    assert repeat.wasted_s == 17.5
    assert not repeat.run.ended_as


def test_repeat_whose_minion_is_gone_ends_with_it(log):
    """A repeat must not count as at work once its minion has ended."""
    log.run(0, 10)
    log.lose(12)
    log.run(12.5, None, 2, minion='i-2')
    log.add(15, 'side-2', 'minion_left', minion='i-2')
    log.add(30, 'front', 'stopping')
    [repeat] = log.read().repeats
    assert repeat.wasted_s == 2.5


@pytest.mark.parametrize('kind', ['failed', 'stopped'])
def test_run_after_one_that_was_not_done_is_no_repeat(log, kind):
    """A retry of a failed or stopped run is needed."""
    log.run(0, 10, kind=kind)
    log.lose(12)
    log.run(12.5, 20, 2)
    assert not log.read().repeats


def test_end_in_a_report_that_was_replaced_is_told_apart(log):
    """Ends lost in the store and at the guard have different causes."""
    log.run(0, 10)
    log.report(10.1)
    log.lose(12)
    [lost] = log.read().lost
    assert lost.place == EndPlace.report


def test_end_without_a_report_was_lost_at_the_guard(log):
    """An end that no report names must not count as lost in the store."""
    log.run(0, 10)
    log.report(10.1, 'other.0.0.0')
    log.lose(12)
    [lost] = log.read().lost
    assert lost.place == EndPlace.guard


@pytest.mark.parametrize(
    ('events', 'place'),
    [
        ((), EndPlace.unknown),
        (((9, 'report_not_written'),), EndPlace.guard),
        (((11, 'report_not_written'),), EndPlace.guard),
        (
            ((9, 'report_not_written'), (11, 'report_written')),
            EndPlace.unknown,
        ),
        (((19, 'report_not_written'),), EndPlace.unknown),
    ],
)
def test_place_is_found_in_logs_without_entries_of_reports(log, events, place):
    """Logs of older builds tell of failed writes only."""
    log.run(0, 10)
    for at_s, event in events:
        log.add(at_s, 'side', event, reason='down')
    log.add(20, 'front', 'run_lost', task=_TASK, minion='i-1')
    [lost] = log.read().lost
    assert lost.place == place


@pytest.mark.parametrize('ended_s', [9, 11])
def test_end_of_a_cancelled_job_is_not_missed(log, ended_s):
    """The leader logs no record of such an end, and repeats nothing."""
    log.run(0, 10)
    log.add(ended_s, 'front', 'job_ended', job='job')
    play = log.read()
    assert len(play.needless) == 1
    assert not play.open


def test_summary_counts_lost_ends_by_place(log):
    """Guards against a table whose cells do not match its columns."""
    log.run(0, 10)
    log.report(10.1)
    log.lose(12)
    header, _, row = format_end_summary({'play': log.read()})
    assert header.count('|') == row.count('|')
    assert row.startswith('| play | 1 | 1 | 1 | 0 | 1 | 0 |')


def test_delays_are_given_by_leg(log):
    """The leg in which ends wait must be visible."""
    log.run(0, 10)
    log.report(10.2)
    log.record(10.5)
    rows = list(format_delays(log.read().ends))
    assert '| before the poll, at most | 1 | 0.200 | 0.200 | 0.200 |' in rows
    assert '| poll to written report | 1 | 0.200 | 0.200 | 0.200 |' in rows
    assert '| written report to record | 1 | 0.300 | 0.300 | 0.300 |' in rows
    assert '| poll to record | 1 | 0.500 | 0.500 | 0.500 |' in rows
