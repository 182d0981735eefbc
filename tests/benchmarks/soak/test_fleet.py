"""Stop of the processes of the soak test."""

import asyncio
from random import Random

import pytest

from benchmarks.soak.fleet import Fleet
from dragonflynotch.testing.minion_model import RunLog
from dragonflynotch.testing.platform_site import SiteQueue


async def test_stop_ends_all_processes_when_one_cannot_be_ended(
    tmp_path, monkeypatch
):
    """A stop that failed half-way left four processes running."""
    fleet = Fleet(tmp_path, Random(1), RunLog(), lambda _: 100)
    await fleet.start([SiteQueue('queue')], 0)
    running = [process._process for process in fleet.processes]

    async def fail():
        raise ProcessLookupError

    monkeypatch.setattr(fleet.processes[0], 'kill', fail)
    with pytest.raises(ProcessLookupError):
        await fleet.stop()
    running[0].kill()
    async with asyncio.timeout(5):
        await asyncio.gather(*(process.wait() for process in running))
