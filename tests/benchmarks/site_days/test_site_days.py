"""Sets of plays: what is played again, how losses are counted and compared."""

import json
import stat
from pathlib import Path

import pytest

from benchmarks.site_days.figures import UnreadableReportError, load_figures
from benchmarks.site_days.losses import format_losses, read_losses
from benchmarks.site_days.plays import Play, PlaySettings, list_plays, play_all
from benchmarks.site_days.tables import comparison_rows, load_set, set_rows

# Stands in for the bench: writes the report that it was asked for.
_STAND_IN = """#!/bin/sh
[ "$3" = broken ] && exit 3
while [ "$1" != --report ]; do shift; done
echo '{{"G": {worth}, "served": 0.9, "parts": [], "prices": []}}' > "$2"
"""


def _report(worth, *, thrown_away=(100.0, 0.1), breaks=None):
    return json.dumps(
        {
            'G': worth,
            'served': 0.9,
            'parts': [['whole day', 0.4, 0.9], ['worst windows', 0.1, 0.4]],
            'prices': [
                ['machine-seconds', 1000.0, 0.12],
                ['core-seconds of work thrown away', *thrown_away],
                ['duties missed', 0.0, None],
                ['probes', 3.0, 0.02],
            ],
            'breaks': breaks or {},
            'short': [],
        }
    )


def _settings(tmp_path: Path, worth: float = 0.5) -> PlaySettings:
    bench = tmp_path / 'bench'
    bench.write_text(_STAND_IN.format(worth=worth))
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    return PlaySettings(
        bench, tmp_path, tmp_path / 'site', tmp_path / 'reports', 'test'
    )


async def test_interrupted_set_is_continued(tmp_path):
    """Guards against plays that are repeated, or left out, after a stop."""
    lines = []
    plays = list_plays(['one', 'two'], range(5, 7))
    await play_all(_settings(tmp_path), plays[:1], lines.append)
    settings = _settings(tmp_path, worth=0.7)

    failed = await play_all(settings, plays, lines.append)

    assert not failed
    worth = {
        key: found.worth for key, found in load_set(settings.reports).items()
    }
    assert worth == {
        ('one', 5): 0.5,
        ('two', 5): 0.7,
        ('one', 6): 0.7,
        ('two', 6): 0.7,
    }
    assert len(lines) == 4


async def test_failed_play_is_named(tmp_path):
    """Guards against a set that seems complete without all of its plays."""
    play = Play('broken', 1)

    failed = await play_all(_settings(tmp_path), [play], lambda _: None)

    assert failed == [play]
    assert not list((tmp_path / 'reports').glob('*.json'))


def test_figures_of_a_report(tmp_path):
    """Guards against costs that are counted twice or under a wrong name."""
    path = tmp_path / 'one-1.json'
    path.write_text(_report(0.5, breaks={'TWICE': 1}))

    figures = load_figures(path)

    assert figures.not_earned == pytest.approx(0.2)
    assert figures.costs == pytest.approx(
        {
            'machines': 0.12,
            'thrown_away': 0.1,
            'store_calls': 0,
            'other': 0.02,
        }
    )
    assert figures.faults == ['TWICE']


def test_unreadable_report_is_named(tmp_path):
    """Guards against a half-written report that counts as a play."""
    path = tmp_path / 'one-1.json'
    path.write_text('{')

    with pytest.raises(UnreadableReportError, match=r"'one-1\.json'"):
        load_figures(path)


def test_comparison_is_paired(tmp_path):
    """Guards against a difference between sets with other seeds."""
    for name, worths in (('before', (0.4, 0.9)), ('after', (0.5, 0.6, 0.1))):
        folder = tmp_path / name
        folder.mkdir()
        for seed, worth in enumerate(worths):
            (folder / f'day-{seed}.json').write_text(_report(worth))

    rows = list(
        comparison_rows(
            load_set(tmp_path / 'before'), load_set(tmp_path / 'after')
        )
    )

    assert rows[-1].startswith(
        '| all | 2 | 0.650 to 0.550 | -0.100 | 0.283 | 0.200 |'
    )
    assert list(set_rows(load_set(tmp_path / 'after')))[-1].startswith(
        '| all | 3 | 0.400 |'
    )


def _line(at_s, **entry):
    return f'  {at_s:.4f} front-a-1 {json.dumps(entry)}'


def test_losses_by_cause(tmp_path):
    """Guards against lost work that is counted as done or without its cause."""
    steps = [{'millicores': 2000, 'accelerators': 1}]
    saved = [{**steps[0], 'has_checkpoints': True, 'is_gang': True}]
    log = tmp_path / 'day-1.txt'
    log.write_text(
        '\n'.join(
            (
                'a line of another program',
                _line(0, event='job_accepted', job='a', steps=steps),
                _line(0, event='job_accepted', job='b', steps=saved),
                _line(1, event='run_ordered', task='a.0.0.0', run=1),
                _line(1, event='run_ordered', task='a.0.0.1', run=1),
                _line(1, event='run_ordered', task='b.0.0.0', run=1),
                _line(
                    2,
                    event='stop_ordered',
                    task='a.0.0.0',
                    run=1,
                    reason='room',
                ),
                _line(
                    3,
                    event='end_recorded',
                    task='a.0.0.0',
                    run=1,
                    kind='stopped',
                ),
                _line(5, event='run_lost', task='b.0.0.0', reason='guard_lost'),
                _line(
                    6, event='end_recorded', task='a.0.0.1', run=1, kind='done'
                ),
                _line(7, event='job_ended', job='a', state='completed'),
                _line(8, event='job_ended', job='a', state='completed'),
            )
        )
    )

    losses = read_losses(log)

    assert losses.core_s == {
        ('tasks', 'stopped: room'): 20,
        ('gang, resumable', 'lost: guard_lost'): 10,
    }
    assert losses.done_core_s == 50
    assert losses.jobs == {('tasks', 'completed'): 1}
    assert '| tasks | stopped: room | 1.0 | 20 |' in format_losses(losses, 1)
