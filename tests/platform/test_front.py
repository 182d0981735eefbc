"""Calls of callers, from the request to the stored job."""

import msgspec
import pytest

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.control.rows import (
    PROGRESS,
    SCHEDULER_PART,
    RowName,
    RowWrite,
)
from dragonflynotch.control.submissions import SubmissionService
from dragonflynotch.links.asgi import HttpCall
from dragonflynotch.observability.job_metrics import JobMetrics
from dragonflynotch.platform.front import JobApi
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.records import JobState, ProgressRow, encode_row

JOB_ID = '5c0e7a21d94b36f8'
PATH = f'/q/{JOB_ID}'
BODY = msgspec.json.encode({'spec': 'text', 'steps': [{'count': 1}]})


def deployment(*, is_public=False, has_public_queue=False):
    return Deployment(
        1,
        queues={
            'queue': Queue('queue', 'h', '/q/', 'planner', is_public=is_public)
        }
        | (
            {'open': Queue('open', 'h', '/open/', 'planner', is_public=True)}
            if has_public_queue
            else {}
        ),
        workspaces={
            name: Workspace(name, (f'{name}-key',)) for name in ('own', 'other')
        },
        workspace_by_key={'own-key': 'own', 'other-key': 'other'},
    )


def create_api(*, is_public=False, store=None, has_public_queue=False):
    clock = ManualSteadyClock(1_000_000)
    store = store or MemoryRowStore(clock)
    return JobApi(
        SubmissionService(store, store.store_clock, store.health, clock),
        lambda: deployment(
            is_public=is_public, has_public_queue=has_public_queue
        ),
        store.health,
        JobMetrics('front', dict),
    )


async def send(api, method, key, body=b'', path=PATH):
    headers = {'host': 'h', 'dragonflynotch-credential': key}
    return (await api(HttpCall(method, path, {}, headers, body))).status


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_job_is_hidden_from_other_workspaces(method):
    """A valid key of one workspace must not reach the jobs of another."""
    api = create_api()
    assert await send(api, 'POST', 'own-key', BODY) == 200
    assert await send(api, method, 'other-key') == 410
    assert await send(api, method, 'own-key') == 200


async def test_caller_is_told_why_a_job_failed():
    """A caller could not tell a faulty job from a lost one."""
    clock = ManualSteadyClock(1_000_000)
    store = MemoryRowStore(clock)
    api = create_api(store=store)
    await send(api, 'POST', 'own-key', BODY)
    row = ProgressRow(JobState.failed, workspace='own', reason='it crashed')
    name = RowName(PROGRESS.name, SCHEDULER_PART, JOB_ID)
    await store.commit([RowWrite(name, encode_row(row))], [])
    headers = {'host': 'h', 'dragonflynotch-credential': 'own-key'}
    reply = await api(HttpCall('GET', PATH, {}, headers, b''))
    assert msgspec.json.decode(reply.body) == {
        'state': 'failed',
        'reason': 'it crashed',
    }


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_job_of_public_queue_is_open_to_all(method):
    """Jobs of public queues have no owner that could be asked for a key."""
    api = create_api(is_public=True)
    assert await send(api, 'POST', '', BODY) == 200
    assert await send(api, method, 'other-key') == 200


@pytest.mark.parametrize('has_started', [False, True])
@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_private_job_is_hidden_from_a_public_queue(method, has_started):
    """A public queue let callers without a key read and cancel any job."""
    clock = ManualSteadyClock(1_000_000)
    store = MemoryRowStore(clock)
    api = create_api(store=store, has_public_queue=True)
    await send(api, 'POST', 'own-key', BODY)
    if has_started:
        row = ProgressRow(JobState.running, workspace='own', queue='queue')
        name = RowName(PROGRESS.name, SCHEDULER_PART, JOB_ID)
        await store.commit([RowWrite(name, encode_row(row))], [])
    public_path = f'/open/{JOB_ID}'
    assert await send(api, method, '', path=public_path) == 410
    assert await send(api, method, 'other-key', path=public_path) == 410
    # Its owner may use any way to it.
    assert await send(api, method, 'own-key', path=public_path) == 200
    assert await send(api, method, 'own-key') == 200
