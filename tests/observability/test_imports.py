"""Daemons do not load what only commands need."""

import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    ('daemon', 'unwanted'),
    [
        ('entry', ('cappa', 'dragonflynotch.reports', 'dragonflynotch.cli')),
        (
            'guard',
            (
                'cappa',
                'difflib',
                'dragonflynotch.reports',
                'dragonflynotch.cli',
                'dragonflynotch.client',
            ),
        ),
    ],
)
def test_imports(daemon, unwanted):
    """Guards against memory that a report takes from a target."""
    script = (
        f'import sys, dragonflynotch.{daemon}.__main__\n'
        f'print(sorted(set({unwanted!r}) & set(sys.modules)))'
    )
    shown = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    assert shown.stdout.strip() == '[]'
