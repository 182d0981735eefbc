"""Samples of the request metrics of entries, and files that keep them."""

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

_REQUESTS = 'dragonflynotch_requests_total'
# Malformed or over quota: the caller's doing, so no objective counts it.
_REJECTED = 'rejected'
_BUCKET = 'dragonflynotch_request_seconds_bucket'
_LINE = re.compile(r'^(?P<name>\w+)\{(?P<labels>.*)\} (?P<reading>\S+)$')
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_ROUNDING_S = 1e-9


class RequestSample(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Counters of one workspace and class in one entry at one time.

    A sample without a workspace only states that the entry was read. A series
    exists from its first request on, so the counters were zero if it is
    missing at such a time.

    Parameters
    ----------
    total : float
        All requests since the entry started, without rejected ones.
    buckets : dict of str to float
        Requests answered within the bound, by the bound in seconds.
    """

    at: datetime
    entry: str
    workspace: str = ''
    request_class: str = ''
    total: float = 0
    buckets: dict[str, float] = {}


def parse_metrics(text: str, at: datetime) -> tuple[RequestSample, ...]:
    """Return the request counters in a Prometheus text.

    Parameters
    ----------
    text : str
        What an entry answers to ``GET /metrics``.
    at : datetime
        When the text was read.
    """
    totals: dict[tuple[str, str, str], float] = {}
    buckets: dict[tuple[str, str, str], dict[str, float]] = {}
    entries = set()
    for name, labels, reading in _series(text):
        entries.add(labels.get('entry', ''))
        key = (
            labels.get('entry', ''),
            labels.get('workspace', ''),
            labels.get('request_class', ''),
        )
        if name == _REQUESTS and labels.get('outcome') != _REJECTED:
            totals[key] = totals.get(key, 0) + reading
        elif name == _BUCKET:
            buckets.setdefault(key, {})[labels['le']] = reading
    marks = [RequestSample(at=at, entry=entry) for entry in sorted(entries)]
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
    return (*marks, *counters)


def counter_samples(
    samples: Iterable[RequestSample], objective: Objective
) -> tuple[CounterSample, ...]:
    """Return the counters that an objective needs.

    The latency is rounded down to a bound of the histogram, so that no answer
    that came too late counts as good.
    """
    limit_s = objective.latency / timedelta(seconds=1)
    wanted = (objective.workspace, objective.request_class)
    counters: dict[tuple[str, datetime], CounterSample] = {}
    for sample in samples:
        place = (sample.entry, sample.at)
        if not sample.workspace:
            empty = CounterSample(sample.at, sample.entry, good=0, total=0)
            counters.setdefault(place, empty)
        elif (sample.workspace, sample.request_class) == wanted:
            good = _good(sample.buckets, limit_s)
            counters[place] = CounterSample(
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
        What ``encode_samples`` returned.
    source : str
        Where the lines are from, for error messages.

    Raises
    ------
    InvalidInputError
        If a line is not a sample; names the number of the line.
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


def _good(buckets: Mapping[str, float], limit_s: float) -> float:
    inside = [
        reading
        for bound, reading in buckets.items()
        if float(bound) <= limit_s + _ROUNDING_S
    ]
    # Buckets are cumulative, so the widest one holds the largest count.
    return max(inside, default=0)


def _series(text: str) -> Iterator[tuple[str, dict[str, str], float]]:
    for line in text.splitlines():
        match = _LINE.match(line)
        if match:
            labels = dict(_LABEL.findall(match['labels']))
            yield match['name'], labels, float(match['reading'])
