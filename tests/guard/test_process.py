"""A running guard stays within its memory limit.

Libraries that would exceed the limit must not be imported.
"""

import subprocess
import sys
import time

import msgspec
import pytest

from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from tests.processes import DaemonProcess

MEMORY_LIMIT_MB = 32
FORBIDDEN = ('grpc', 'httpx', 'pydantic', 'litestar', 'cappa')


def test_guard_imports_no_library_that_exceeds_its_memory_limit():
    """Guards against an import that exceeds the limit of 32 MB."""
    code = (
        'import sys, dragonflynotch.guard.__main__;'
        f'print([name for name in {FORBIDDEN} if name in sys.modules])'
    )
    printed = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, timeout=20
    ).stdout
    assert printed.decode().strip() == '[]'


@pytest.fixture
def guard(tmp_path):
    settings = plan_deployment((SitePlan('lautoka'),)).guards[0]
    path = tmp_path / 'guard.json'
    path.write_bytes(msgspec.json.encode(settings))
    process = DaemonProcess(
        'dragonflynotch.guard', path, tmp_path / 'guard.log'
    )
    process.start()
    yield process
    process.close()


def test_started_guard_stays_below_its_memory_limit(guard):
    """Guards against a guard that uses memory needed by the minion."""
    time.sleep(2)
    resident_mb = guard.resident_mb()
    print(f'resident memory of a started guard: {resident_mb:.1f} MB')
    assert resident_mb < MEMORY_LIMIT_MB
