"""End-to-end tests of the ``front`` and ``side`` programs over HTTP."""

import asyncio
import json

import pytest

from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.testing.row_store import StoreFault
from tests.platform.programs import CALL_TIMEOUT, HOST, KEY, PlatformPrograms

JOB_ID = '0123456789abcdef'
# Identifier of a job that is never submitted.
OTHER = 'fedcba9876543210'


@pytest.fixture
async def programs(tmp_path):
    programs = PlatformPrograms(tmp_path)
    await programs.start()
    yield programs
    await programs.stop()
    # pytest shows this output only for failed tests.
    for name, path in programs.log_paths.items():
        print(f'--- {name}')
        print(path.read_text())


async def test_caller_requests_are_served_over_http(programs):
    """Guards against wrong responses to the calls that a caller can make.

    Covers submissions, repeated submissions, states, counts, refusals, and a
    cancellation of an unknown job.
    """
    assert (await programs.submit('front-1', JOB_ID, 3))[0] == 200
    assert (await programs.submit('front-2', JOB_ID, 3))[0] == 200
    await programs.wait_for_state('front-2', JOB_ID, 'completed')
    assert len(programs.site.runs.starts) == 3
    assert not programs.site.runs.overlapping_tasks
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
        'front-1', 'GET', f'/queue/{JOB_ID}', headers=(HOST,)
    )
    assert status == 401
    assert (await programs.call('front-1', 'GET', f'/queue/{OTHER}'))[0] == 410
    status, _ = await programs.call('front-1', 'DELETE', f'/queue/{OTHER}')
    assert status == 410
    status, _ = await programs.call('front-1', 'POST', f'/queue/{OTHER}', b'[')
    assert status == 400


async def test_runs_of_a_lost_machine_start_elsewhere(tmp_path):
    """Guards against runs that wait for the authority of a lost machine."""
    programs = PlatformPrograms(tmp_path, run_duration_ms=60_000)
    await programs.start()
    try:
        await programs.submit('front-1', JOB_ID)
        starts = programs.site.runs.starts
        await _wait_for_starts(starts, 1, 5)
        minion_id = starts[0][2]
        # The guard would report the end of its minion as a crash.
        await programs.kill(minion_id.replace('i-', 'side-'))
        await programs.minions[minion_id].stop()
        # The rule for callers allows a job 3 s without a run.
        await _wait_for_starts(starts, 2, 3)
    finally:
        await programs.stop()
    assert starts[1][2] != minion_id


async def test_killed_programs_neither_lose_nor_repeat_tasks(programs):
    """Guards against lost or repeated tasks when processes are killed."""
    await programs.submit('front-1', JOB_ID, 6)
    await programs.kill('front-1')
    await programs.kill('side-1')
    await programs.start_program('side-1')
    await programs.start_program('front-1')
    await programs.wait_for_state('front-2', JOB_ID, 'completed')
    assert len(programs.site.runs.starts) == 6
    assert not programs.site.runs.overlapping_tasks


async def test_submission_is_refused_at_once_during_store_outage(programs):
    """Guards against slow refusals, and refused jobs that are stored later."""
    programs.site.store.fault = StoreFault.down
    async with asyncio.timeout(1.5):
        status, _ = await programs.submit('front-1', JOB_ID)
    assert status == 503
    programs.site.store.fault = StoreFault.none
    await asyncio.sleep(1)
    assert (await programs.call('front-2', 'GET', f'/queue/{JOB_ID}'))[0] == 410


async def test_front_without_the_store_gives_up_its_callers(programs):
    """Guards against callers that stay with a front that has lost the store.

    The front must leave the rotation and close the connections of its callers
    soon, and be back once the store responds.
    """
    connection = programs.open_connection('front-1')
    programs.site.store.fault = StoreFault.down
    await programs.wait_for_readiness('front-1', 503, timeout_s=1.2)
    reply = await _read_job(connection)
    assert reply.status == 503
    assert reply.headers.get('connection') == 'close'
    programs.site.store.fault = StoreFault.none
    await programs.wait_for_readiness('front-1', 200, timeout_s=2)
    reply = await _read_job(connection)
    assert reply.status == 410
    assert 'connection' not in reply.headers
    connection.close()


async def _read_job(connection):
    return await connection.exchange(
        'GET', f'/queue/{JOB_ID}', headers=[KEY], timeout=CALL_TIMEOUT
    )


@pytest.mark.parametrize('name', ['front-1', 'side-1'])
async def test_reload_interrupts_no_call(programs, name):
    """A change of the settings must not end a program or its connections."""
    await programs.wait_for_log(name, '"event":"started"', timeout_s=15)
    connection = programs.open_connection('front-1')
    target = f'/queue/{OTHER}'

    async def ask():
        reply = await connection.exchange(
            'GET', target, headers=(KEY,), timeout=CALL_TIMEOUT
        )
        return reply.status

    assert await ask() == 410
    programs.change_settings(name, 'node=', 'bounds.stop_ms=900\nnode=')
    await programs.wait_for_log(name, '"event":"settings_reloaded"')
    assert await ask() == 410
    connection.close()
    assert (await programs.submit('front-1', JOB_ID))[0] == 200
    await programs.wait_for_state('front-1', JOB_ID, 'completed')


async def test_reload_request_during_the_start_does_not_end_the_program(
    programs,
):
    """Before the program handled SIGHUP, the signal ended the process."""
    await programs.kill('front-1')
    programs.clear_log('front-1')
    await programs.start_program('front-1')
    # The interpreter runs by now, and imports the modules of the program.
    await asyncio.sleep(0.15)
    programs.change_settings('front-1', 'node=', 'bounds.stop_ms=900\nnode=')
    await programs.wait_for_log('front-1', '"event":"started"', timeout_s=15)


async def test_planned_stop_leaves_with_success(programs):
    """Guards against a front that the platform must kill after SIGTERM.

    The platform gives it 6 s to exit.
    """
    async with asyncio.timeout(6):
        assert await programs.terminate('front-1') == 0
    assert (await programs.submit('front-2', JOB_ID))[0] == 200
    await programs.wait_for_state('front-2', JOB_ID, 'completed')


async def test_logs_contain_all_decisions_about_a_job(programs):
    """Guards against decisions about a job that cannot be found in the logs.

    Each decision is one JSON line with the identifier of the job or task.
    """
    await programs.submit('front-1', JOB_ID)
    await programs.wait_for_state('front-1', JOB_ID, 'completed')
    events = set()
    for path in programs.log_paths.values():
        for line in path.read_text().splitlines():
            record = json.loads(line)
            identifiers = (
                record.get('job'),
                record.get('task', '').split('.')[0],
            )
            if JOB_ID in identifiers:
                events.add(record['event'])
    assert {
        'job_accepted',
        'run_ordered',
        'start_order',
        'run_ended',
        'end_recorded',
        'job_ended',
    } <= events


async def test_stopped_side_does_not_disturb_running_tasks(programs):
    """Guards against a restart of a guard that disturbs running tasks.

    SIGTERM ends a side at once; the runs of its minion continue and are taken
    over by the next process.
    """
    await programs.submit('front-1', JOB_ID, 6)
    async with asyncio.timeout(5):
        while len(programs.site.runs.starts) < 6:
            await asyncio.sleep(0.01)
    # The tasks may all run on the other side before this one handles signals.
    await programs.wait_for_log('side-1', '"event":"started"', timeout_s=15)
    async with asyncio.timeout(2):
        assert await programs.terminate('side-1') == 0
    await programs.start_program('side-1')
    await programs.wait_for_state('front-1', JOB_ID, 'completed')
    assert len(programs.site.runs.starts) == 6


async def test_evacuation_is_followed_and_printed(programs):
    """Guards against an evacuation that is lost between wire and scheduler.

    Both minions are in ``hall-a``. The bound comes with a reload.
    """
    name = RowName('op', '', 'evacuate/hall-a')
    assert await programs.print_evacuations('front-1') == (
        0,
        'no evacuation\n',
    )
    for front in ('front-1', 'front-2'):
        programs.change_settings(
            front, 'bounds.stop_ms', 'bounds.evacuate_ms=5000\nbounds.stop_ms'
        )
        await programs.wait_for_log(front, 'settings_reloaded')
    await programs.site.store.commit([RowWrite(name, b'')], [])
    await asyncio.sleep(0.5)
    await programs.submit('front-1', JOB_ID, 2)
    await asyncio.sleep(1.5)
    assert not programs.site.runs.starts
    assert await programs.print_evacuations('front-1') == (
        0,
        'hall-a: 2 workers, 0 runs left\n',
    )
    await programs.site.store.commit([RowWrite(name, None)], [])
    await programs.wait_for_state('front-1', JOB_ID, 'completed')
    programs.site.store.fault = StoreFault.down
    assert (await programs.print_evacuations('front-1'))[0] == 6


async def _wait_for_starts(starts, count, timeout_s):
    async with asyncio.timeout(timeout_s):
        while len(starts) < count:
            await asyncio.sleep(0.02)
