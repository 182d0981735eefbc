"""Samples are parsed from the metrics of an entry and from files."""

from datetime import UTC, datetime, timedelta

import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.observability.metrics import EntryMetrics
from dragonflynotch.reports.burn import CounterSample, Objective
from dragonflynotch.reports.samples import (
    counter_samples,
    decode_samples,
    encode_samples,
    parse_metrics,
)

_AT = datetime(2026, 3, 1, tzinfo=UTC)


def _objective(latency_s):
    latency = timedelta(seconds=latency_s)
    return Objective('resorts', 'checklist', 0.99, latency)


@pytest.fixture
def text():
    """Metrics: three answers, one not run, one rejected, and another class."""
    metrics = EntryMetrics('e1', 'nadi')
    metrics.set_gauge('live_guards', 1)
    for outcome, seconds in (
        ('answered', 0.2),
        ('answered', 0.7),
        ('answered', 2),
        ('not_run', 0.1),
        ('rejected', 0.1),
    ):
        duration = timedelta(seconds=seconds)
        metrics.count_request('resorts', 'checklist', outcome, duration)
    metrics.count_request('resorts', 'other', 'answered', timedelta())
    return metrics.render().decode()


@pytest.mark.parametrize(
    ('latency_s', 'good'), [(0.001, 0), (0.25, 1), (1, 2), (2.4, 2), (60, 3)]
)
def test_latency_is_rounded_down_to_a_bucket(text, latency_s, good):
    """Guards against counting a late answer as good."""
    samples = counter_samples(parse_metrics(text, _AT), _objective(latency_s))
    assert samples == (CounterSample(_AT, 'e1', good, 4),)


def test_a_missing_series_counts_as_zero():
    """Guards against losing the first requests of a class.

    A series appears only with its first request.
    """
    metrics = EntryMetrics('e1', 'nadi')
    metrics.set_gauge('live_guards', 1)
    samples = parse_metrics(metrics.render().decode(), _AT)
    expected = (CounterSample(_AT, 'e1', 0, 0),)
    assert counter_samples(samples, _objective(1)) == expected


def test_samples_round_trip_through_a_file(text):
    """Guards against a report from a file that differs from a live one."""
    samples = parse_metrics(text, _AT)
    assert decode_samples(encode_samples(samples), 'file') == samples


@pytest.mark.parametrize(
    'line', [b'{', b'{"entry": "e1"}', b'{"at": "2026-03-01T00:00:00"}']
)
def test_an_invalid_line_is_reported_by_number(text, line):
    """Guards against a traceback instead of the line number."""
    content = encode_samples(parse_metrics(text, _AT))
    number = content.count(b'\n') + 1
    with pytest.raises(InvalidInputError, match=f'file:{number}'):
        decode_samples(content + line, 'file')
