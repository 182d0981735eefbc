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


def deployment(*, is_public=False):
    return Deployment(
        1,
        queues={
            'queue': Queue('queue', 'h', '/q/', 'planner', is_public=is_public)
        },
        workspaces={
            name: Workspace(name, (f'{name}-key',)) for name in ('own', 'other')
        },
        workspace_by_key={'own-key': 'own', 'other-key': 'other'},
    )


def create_api(*, is_public=False, store=None):
    clock = ManualSteadyClock(1_000_000)
    store = store or MemoryRowStore(clock)
    return JobApi(
        SubmissionService(store, store.store_clock, store.health, clock),
        lambda: deployment(is_public=is_public),
        store.health,
        JobMetrics('front', dict),
    )


async def send(api, method, key, body=b''):
    headers = {'host': 'h', 'dragonflynotch-credential': key}
    return (await api(HttpCall(method, PATH, {}, headers, body))).status


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
