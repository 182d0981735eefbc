"""Tests of guards that reach the store only through a front, over HTTP."""

import asyncio

import pytest

from dragonflynotch.testing.loopback_proxy import LinkFault
from tests.platform.programs import PlatformPrograms

JOB_ID = '0123456789abcdef'


@pytest.fixture
async def programs(tmp_path):
    programs = PlatformPrograms(tmp_path, run_duration_ms=3000)
    await programs.start()
    yield programs
    await programs.stop()
    # pytest shows this output only for failed tests.
    for name, path in programs.log_paths.items():
        print(f'--- {name}')
        print(path.read_text())


async def _start_run(programs):
    """Submit a job and return the side program of the minion that runs it."""
    await programs.submit('front-1', JOB_ID)
    async with asyncio.timeout(5):
        while not programs.site.runs.starts:
            await asyncio.sleep(0.01)
    side = programs.site.runs.starts[0][2].replace('i-', 'side-')
    # The processes have just started, and know the fronts soon after.
    await programs.wait_for_log(side, '"peers":["front-1","front-2"]')
    return side


@pytest.mark.parametrize('has_leader_died', [False, True])
async def test_end_on_a_guard_that_the_store_resets_is_recorded(
    programs, has_leader_died
):
    """An end waited for the store link of its guard, and was lost with it."""
    side = await _start_run(programs)
    await programs.store_links[side].stop()
    if has_leader_died:
        await programs.kill('front-2')
    async with asyncio.timeout(5):
        while not programs.site.runs.ends:
            await asyncio.sleep(0.01)
    await programs.wait_for_state(
        'front-1', JOB_ID, 'completed', timeout_s=6 if has_leader_died else 1
    )
    assert len(programs.site.runs.starts) == 1
    await programs.wait_for_log(side, '"event":"relay_begun"')
    # Runs are also ordered and started while the link is down.
    assert (await programs.submit('front-1', 'fedcba9876543210', 6))[0] == 200
    await programs.wait_for_state('front-1', 'fedcba9876543210', 'completed')
    await programs.store_links[side].start()
    await programs.wait_for_log(side, '"event":"relay_ended"')


async def test_end_on_a_guard_with_a_silent_link_is_recorded(programs):
    """A call without an answer must not hold back the end for long."""
    side = await _start_run(programs)
    programs.store_links[side].set_fault(LinkFault.silent)
    await programs.wait_for_state('front-1', JOB_ID, 'completed', timeout_s=5)
    assert len(programs.site.runs.starts) == 1
