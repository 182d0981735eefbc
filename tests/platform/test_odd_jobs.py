"""Odd bodies and headers of callers."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.platform.jobs import decode_job
from dragonflynotch.testing.row_store import MemoryRowStore
from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.jobs import JobSpec
from dragonflynotch.workflows.records import decode_row, encode_row
from tests.control.cluster import LoopClock
from tests.odd_entries import (
    NESTED,
    ODD_BODIES,
    ODD_NUMBERS,
    odd_versions,
    with_field,
)
from tests.platform.test_front import BODY, PATH, HttpCall, create_api, send

JOB = {'spec': 'text', 'steps': [{'count': 1}]}
QUEUE = Queue('queue', 'h', '/q/', 'planner')
_COUNTS = ('count', 'cpu', 'mem_mb', 'gpu', 'anti_affinity', 'may_miss')


def job_with_step(name, text):
    return with_field(JOB, 'steps', b'[%s]' % with_field({}, name, text))


ODD_JOBS = [
    *ODD_BODIES,
    *(job_with_step(name, text) for name in _COUNTS for text in ODD_NUMBERS),
    *(job_with_step('after', b'[%s]' % text) for text in ODD_NUMBERS),
    *(job_with_step('estimated_ms', text) for text in ODD_NUMBERS),
    *(with_field(JOB, 'repetitions', text) for text in ODD_NUMBERS),
    *(
        with_field(JOB, 'interval_ms', text)
        for text in ODD_NUMBERS
        if text != b'-1'
    ),
    *(with_field(JOB, name, NESTED) for name in ('spec', 'steps', 'unknown')),
    job_with_step('count', b'1000000000'),
    job_with_step('gpu', b'1025'),
    with_field(JOB, 'repetitions', b'1000000000'),
    with_field(JOB, 'spec', b'"\\ud800"'),
    with_field(JOB, 'spec', b'"\xff"'),
]


async def test_odd_jobs_are_refused_at_once():
    """Odd entry ends the process that reads it; here, the body of a call."""
    api = create_api()
    async with asyncio.timeout(5):
        for body in ODD_JOBS:
            assert await send(api, 'POST', 'own-key', body) == 400
        assert await send(api, 'POST', 'own-key', BODY) == 200


async def test_job_that_the_store_refuses_is_refused():
    """Guards against a job that is too large for a row and gets a 500."""

    class SmallRowStore(MemoryRowStore):
        async def commit(self, writes, conditions):
            raise InvalidInputError('rows-tx', 'too large', 'a transaction')

    api = create_api(store=SmallRowStore(LoopClock()))
    assert await send(api, 'POST', 'own-key', BODY) == 400


@pytest.mark.parametrize(
    'deadline', ['9' * 5000, '9' * 20, '-1', '\u0663', '', '1e999', 'NaN']
)
async def test_odd_deadline_counts_as_none(deadline):
    """Odd entry ends the call; here, the deadline in its header."""
    headers = {
        'host': 'h',
        'dragonflynotch-credential': 'own-key',
        'dragonflynotch-deadline-ms': deadline,
    }
    call = HttpCall('POST', PATH, {}, headers, BODY)
    assert (await create_api()(call)).status == 200


@settings(max_examples=200, deadline=None)
@given(odd_versions(JOB))
def test_any_bytes_are_a_job_or_unreadable(body):
    """Odd entry ends the process that reads it."""
    spec = decode_job(body, QUEUE, 'team')
    assert isinstance(spec, JobSpec | Unreadable)
    if isinstance(spec, JobSpec):
        # A job that is accepted must be readable by the scheduler.
        assert decode_row(encode_row(spec), JobSpec) == spec


def test_repeated_field_counts_once():
    """JSON allows repeated names; the last one counts."""
    body = msgspec.json.encode(JOB)[:-1] + b',"spec":"last"}'
    assert decode_job(body, QUEUE, 'team').payload == 'last'
