"""The whole path through the real programs over the platform's wire."""

import asyncio
import json

import pytest

from dragonflynotch.testing.row_store import StoreFault
from tests.platform.programs import HOST, KEY, Programs

JOB = '0123456789abcdef'
OTHER = 'fedcba9876543210'


@pytest.fixture
async def programs(tmp_path):
    programs = Programs(tmp_path)
    await programs.start()
    yield programs
    await programs.stop()
    # Shown only for a test that failed.
    for name, path in programs.logs.items():
        print(f'--- {name}')
        print(path.read_text())


async def test_job_is_served_over_the_wire(programs):
    """Submission, duplicate, state, count, cancellation and refusals."""
    assert (await programs.submit('front-1', JOB, 3))[0] == 200
    assert (await programs.submit('front-2', JOB, 3))[0] == 200
    await programs.wait_for_state('front-2', JOB, 'completed')
    assert len(programs.site.runs.starts) == 3
    assert not programs.site.runs.overlaps
    assert await programs.call('front-1', 'GET', '/queue/') == (
        200,
        {'pending_count': 0},
    )
    assert (await programs.call('front-1', 'GET', '/other/'))[0] == 404
    with_port = (('Host', 'Site.Example:8521'), KEY)
    status, _ = await programs.call(
        'front-1', 'GET', '/queue/', headers=with_port
    )
    assert status == 200
    status, _ = await programs.call(
        'front-1', 'GET', f'/queue/{JOB}', headers=(HOST,)
    )
    assert status == 401
    assert (await programs.call('front-1', 'GET', f'/queue/{OTHER}'))[0] == 410
    status, _ = await programs.call('front-1', 'DELETE', f'/queue/{OTHER}')
    assert status == 410
    status, _ = await programs.call('front-1', 'POST', f'/queue/{OTHER}', b'[')
    assert status == 400


async def test_killed_programs_lose_and_repeat_nothing(programs):
    """Kills of a front and of a guard cost no accepted job."""
    await programs.submit('front-1', JOB, 6)
    await programs.kill('front-1')
    await programs.kill('side-1')
    await programs.start_program('side-1')
    await programs.start_program('front-1')
    await programs.wait_for_state('front-2', JOB, 'completed')
    assert len(programs.site.runs.starts) == 6
    assert not programs.site.runs.overlaps


async def test_store_outage_is_answered_at_once(programs):
    """A refusal is quick, tells when to return, and is true."""
    programs.site.store.fault = StoreFault.down
    async with asyncio.timeout(1.5):
        status, _ = await programs.submit('front-1', JOB)
    assert status == 503
    programs.site.store.fault = StoreFault.none
    await asyncio.sleep(1)
    assert (await programs.call('front-2', 'GET', f'/queue/{JOB}'))[0] == 410


async def test_planned_stop_leaves_with_success(programs):
    """SIGTERM ends a front within the time that the platform gives."""
    async with asyncio.timeout(6):
        assert await programs.terminate('front-1') == 0
    assert (await programs.submit('front-2', JOB))[0] == 200
    await programs.wait_for_state('front-2', JOB, 'completed')


async def test_log_leads_from_a_job_to_its_runs(programs):
    """Every decision about a job is one JSON line with its identifier."""
    await programs.submit('front-1', JOB)
    await programs.wait_for_state('front-1', JOB, 'completed')
    events = set()
    for path in programs.logs.values():
        for line in path.read_text().splitlines():
            record = json.loads(line)
            named = (record.get('job'), record.get('task', '').split('.')[0])
            if JOB in named:
                events.add(record['event'])
    assert {
        'job_accepted',
        'run_ordered',
        'start_order',
        'run_ended',
        'end_recorded',
        'job_ended',
    } <= events


async def test_stopped_guard_leaves_its_run_alone(programs):
    """SIGTERM ends a side at once; its minion runs on for the next process."""
    await programs.submit('front-1', JOB, 6)
    async with asyncio.timeout(5):
        while len(programs.site.runs.starts) < 6:
            await asyncio.sleep(0.01)
    async with asyncio.timeout(2):
        assert await programs.terminate('side-1') == 0
    await programs.start_program('side-1')
    await programs.wait_for_state('front-1', JOB, 'completed')
    assert len(programs.site.runs.starts) == 6
