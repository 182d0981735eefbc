"""Samples of the request metrics of entries, and their file format."""

import re
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.reports.burn import CounterSample, Objective

__all__ = (
    'RequestSample',
    'counter_samples',
    'decode_samples',
    'encode_samples',
    'parse_metrics',
)

_REQUESTS_METRIC = 'dragonflynotch_requests_total'
# Rejected requests are malformed or over quota. That is the fault of the
# caller, so objectives do not count them.
_REJECTED_OUTCOME = 'rejected'
_LATENCY_BUCKET_METRIC = 'dragonflynotch_request_seconds_bucket'
_METRIC_LINE = re.compile(r'^(?P<name>\w+)\{(?P<labels>.*)\} (?P<reading>\S+)$')
_LABEL_PAIR = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_ROUNDING_TOLERANCE_S = 1e-9


class RequestSample(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Counters of one workspace and class in one entry at one time.

    A sample without a workspace only records that the entry was read at that
    time. A series appears with its first request, so if it is missing at such
    a time, its counters were zero.

    Parameters
    ----------
    total : float
        Requests since the entry started, except rejected ones.
    buckets : dict of str to float
        Cumulative number of requests answered within a bound, keyed by the
        bound in seconds.
    """

    at: datetime
    entry: str
    workspace: str = ''
    request_class: str = ''
    total: float = 0
    buckets: dict[str, float] = {}


def parse_metrics(text: str, at: datetime) -> tuple[RequestSample, ...]:
    """Return the request counters in a Prometheus metrics text.

    Parameters
    ----------
    text : str
        Body that an entry returns for ``GET /metrics``.
    at : datetime
        When the text was read.
    """
    totals: dict[tuple[str, str, str], float] = {}
    buckets: dict[tuple[str, str, str], dict[str, float]] = {}
    entries = set()
    for name, labels, reading in _parse_series(text):
        entries.add(labels.get('entry', ''))
        key = (
            labels.get('entry', ''),
            labels.get('workspace', ''),
            labels.get('request_class', ''),
        )
        if (
            name == _REQUESTS_METRIC
            and labels.get('outcome') != _REJECTED_OUTCOME
        ):
            totals[key] = totals.get(key, 0) + reading
        elif name == _LATENCY_BUCKET_METRIC:
            buckets.setdefault(key, {})[labels['le']] = reading
    presence_samples = [
        RequestSample(at=at, entry=entry) for entry in sorted(entries)
    ]
    counters = [
        RequestSample(
            at=at,
            entry=key[0],
            workspace=key[1],
            request_class=key[2],
            total=total,
            buckets=buckets.get(key, {}),
        )
        for key, total in sorted(totals.items())
    ]
    return (*presence_samples, *counters)


def counter_samples(
    samples: Iterable[RequestSample], objective: Objective
) -> tuple[CounterSample, ...]:
    """Return the counters for an objective.

    The latency is rounded down to a bucket bound of the histogram, so that no
    late answer counts as good.
    """
    limit_s = objective.latency / timedelta(seconds=1)
    series_of_objective = (objective.workspace, objective.request_class)
    counters: dict[tuple[str, datetime], CounterSample] = {}
    for sample in samples:
        source_and_time = (sample.entry, sample.at)
        if not sample.workspace:
            zero_counters = CounterSample(
                sample.at, sample.entry, good=0, total=0
            )
            counters.setdefault(source_and_time, zero_counters)
        elif (sample.workspace, sample.request_class) == series_of_objective:
            good = _good_count(sample.buckets, limit_s)
            counters[source_and_time] = CounterSample(
                sample.at, sample.entry, good, sample.total
            )
    return tuple(counters.values())


def encode_samples(samples: Iterable[RequestSample]) -> bytes:
    """Return samples as JSON lines."""
    return b''.join(msgspec.json.encode(each) + b'\n' for each in samples)


def decode_samples(content: bytes, source: str) -> tuple[RequestSample, ...]:
    """Return the samples in JSON lines.

    Parameters
    ----------
    content : bytes
        Output of ``encode_samples``.
    source : str
        Name of the file, for error messages.

    Raises
    ------
    InvalidInputError
        If a line is not a valid sample; the error states the line number.
    """
    samples = []
    for number, line in enumerate(content.splitlines(), 1):
        try:
            sample = msgspec.json.decode(line, type=RequestSample)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise InvalidInputError(
                f'{source}:{number}', line[:80], f'a sample ({error})'
            ) from error
        if sample.at.tzinfo is None:
            raise InvalidInputError(
                f'{source}:{number}: $.at', str(sample.at), 'a time zone'
            )
        samples.append(sample)
    return tuple(samples)


def _good_count(buckets: Mapping[str, float], limit_s: float) -> float:
    within_limit = [
        reading
        for bound, reading in buckets.items()
        if float(bound) <= limit_s + _ROUNDING_TOLERANCE_S
    ]
    # Buckets are cumulative, so the widest one has the largest count.
    return max(within_limit, default=0)


def _parse_series(text: str) -> Iterator[tuple[str, dict[str, str], float]]:
    for line in text.splitlines():
        match = _METRIC_LINE.match(line)
        if match:
            labels = dict(_LABEL_PAIR.findall(match['labels']))
            yield match['name'], labels, float(match['reading'])
