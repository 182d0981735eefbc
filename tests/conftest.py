"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'
_FIELD = 'test: '


def _known_red():
    if not _KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(_FIELD).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_FIELD)
    ]


def pytest_collection_modifyitems(items):
    """Let a listed test run without deciding the outcome."""
    names = _known_red()
    for item in items:
        if item.nodeid in names:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )


def pytest_terminal_summary(terminalreporter):
    """Name the listed tests at the end of each run."""
    for name in _known_red():
        terminalreporter.write_line(f'known red: {name}')
