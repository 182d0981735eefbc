"""Entries of the programs' logs in the output of a play."""

import re
from collections.abc import Iterable, Iterator
from typing import TypeVar

import msgspec

__all__ = ('read_entries',)

_EntryType = TypeVar('_EntryType')

_LINE = re.compile(r'^\s*(-?[\d.]+) \S+ (\{.*\})$')


def read_entries(
    lines: Iterable[str], entry_type: type[_EntryType]
) -> Iterator[tuple[float, _EntryType]]:
    """Return the entries of a play with their times.

    Parameters
    ----------
    lines : iterable of str
        Output of a play with logs.
    entry_type : type
        What entries are decoded to; others are left out.

    Yields
    ------
    tuple of float and entry
        Simulated time in seconds, and the entry.
    """
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        try:
            entry = msgspec.json.decode(match[2], type=entry_type)
        except msgspec.DecodeError:
            # A program may print other lines, and entries of other forms.
            continue
        yield float(match[1]), entry
