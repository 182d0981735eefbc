"""Keeps the report of a guard within a row of the store."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import Report, encode_row

__all__ = ('fit_report',)

# Lists of a report that may be cut, the most important first. What is left out
# is reported once the entries before it have been recorded.
_LISTS = (
    'ended',
    'earlier_ends',
    'rejected',
    'crashes',
    'started',
    'running',
    'abandoned',
)
_EntryT = TypeVar('_EntryT')


def fit_report(report: Report, max_bytes: int) -> Report:
    """Return a report that can be stored, with as many entries as fit.

    Parameters
    ----------
    max_bytes : int
        Longest row that the store accepts.
    """
    size = len(encode_row(report))
    if size <= max_bytes:
        return report
    empty = msgspec.structs.replace(report, **{name: [] for name in _LISTS})
    names = sum(len(f'"{name}":[],') for name in _LISTS)
    left = max_bytes - len(encode_row(empty)) - names
    fitting: dict[str, list[object]] = {}
    left_out: dict[str, int] = {}
    for name in _LISTS:
        entries = _rotate(report, name)
        taken, left = _take_fitting(entries, left)
        fitting[name] = taken
        left_out[name] = len(entries) - len(taken)
    decision_log.record(
        'report_cut', report_bytes=size, max_bytes=max_bytes, left_out=left_out
    )
    return msgspec.structs.replace(report, **fitting)


def _rotate(report: Report, name: str) -> list[object]:
    """Return the entries of a list; runs begin with others in each report."""
    entries: list[object] = list(getattr(report, name))
    if name != 'running' or not entries:
        return entries
    first = report.built_ms % len(entries)
    return entries[first:] + entries[:first]


def _take_fitting(
    entries: Sequence[_EntryT], max_bytes: int
) -> tuple[list[_EntryT], int]:
    """Return the first entries that fit, and how many bytes are left."""
    fitting: list[_EntryT] = []
    left = max_bytes
    for entry in entries:
        left -= len(msgspec.json.encode(entry)) + 1
        if left < 0:
            return fitting, 0
        fitting.append(entry)
    return fitting, left
