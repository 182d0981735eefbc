"""The burn-rate report, from a sample file and from a running entry."""

import asyncio
import json
from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.__main__ import run
from dragonflynotch.reports.samples import RequestSample, encode_samples
from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.running_deployment import RunningDeployment

_LAST_SAMPLE_AT = datetime(2026, 3, 1, tzinfo=UTC)
_RECORD_FILE = 'examples/tavua/records.json'
_INTERVAL_COUNT = 12


@pytest.fixture
def sample_file(tmp_path):
    """One hour of samples in which half of the requests fail."""
    samples = [
        RequestSample(
            at=_LAST_SAMPLE_AT
            - timedelta(minutes=5 * (_INTERVAL_COUNT - step)),
            entry='e1',
            workspace='resorts',
            request_class='checklist',
            total=100 * step,
            buckets={'1.0': 50 * step, '+Inf': 50 * step},
        )
        for step in range(_INTERVAL_COUNT + 1)
    ]
    file = tmp_path / 'samples.jsonl'
    file.write_bytes(encode_samples(samples))
    return file


def _arguments(file, *more):
    given = ('--samples', str(file), '--objectives', _RECORD_FILE)
    return ['report', 'burn', *given, *more]


def test_report_from_a_file(capsys, sample_file, tmp_path):
    """Guards against a report that does not show a missed objective."""
    picture = tmp_path / 'burn.svg'
    assert run(_arguments(sample_file, '--picture', str(picture))) == 0
    firing = [
        line
        for line in capsys.readouterr().out.splitlines()
        if line.endswith('firing')
    ]
    assert len(firing) == 1
    assert firing[0].startswith('resorts')
    assert '600 of 1200' in firing[0]
    assert picture.read_text().startswith('<svg')


def test_report_as_json(capsys, sample_file):
    """Guards against JSON output that lacks the alert states or rates."""
    assert run(_arguments(sample_file, '--output', 'json')) == 0
    first = json.loads(capsys.readouterr().out)[0]
    assert first['workspace'] == 'resorts'
    assert first['rules'][0]['state'] == 'firing'
    assert first['rules'][0]['windows'][1]['rate'] == pytest.approx(500)


def test_missing_objectives_are_an_error(capsys, sample_file, tmp_path):
    """Guards against an empty report, which looks as if all is well."""
    file = tmp_path / 'records.json'
    file.write_text('[]')
    arguments = ['report', 'burn', '--samples', str(sample_file)]
    code = run([*arguments, '--objectives', str(file)])
    assert code == 2
    assert 'at least one document' in capsys.readouterr().err


async def test_samples_of_a_running_entry(capsys, tmp_path):
    """Guards against a report that cannot parse the metrics of an entry."""
    plan = plan_deployment((SitePlan('nadi'),), stop_notice_ms=0)
    record = tmp_path / 'samples.jsonl'
    url = plan.entries[0].operators.url
    arguments = ['report', 'burn', '--entry', url, '--objectives', _RECORD_FILE]
    arguments += ['--duration', '0.2', '--interval', '0.1']
    async with RunningDeployment(plan):
        code = await asyncio.to_thread(
            run, [*arguments, '--record', str(record)]
        )
    assert code == 0
    assert 'not_enough_data' in capsys.readouterr().out
    assert len(record.read_bytes().splitlines()) >= 2
