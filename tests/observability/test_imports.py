"""Daemons do not import modules that only the commands need."""

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
def test_daemon_does_not_import(daemon, unwanted):
    """Guards against daemons that use memory for unused modules."""
    script = (
        f'import sys, dragonflynotch.{daemon}.__main__\n'
        f'print(sorted(set({unwanted!r}) & set(sys.modules)))'
    )
    completed = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    )
    assert completed.stdout.strip() == '[]'
