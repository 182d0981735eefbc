"""Job records survive lost answers and outages of the table service."""

from datetime import UTC, datetime

import pytest

from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.jobs import Job, JobSpec, JobState
from dragonflynotch.core.shapes import Shape
from dragonflynotch.entry.jobs.job_recorder import JobRecorder
from dragonflynotch.records.job_rows import decode_job_row
from dragonflynotch.services.table import ABSENT_VERSION, ConditionalWrite
from dragonflynotch.testing.table import MemoryTable, TableFault

NOW = datetime(2026, 1, 1, tzinfo=UTC)
JOB_ROW_KEY = 'job/dc/job-1'


def make_job(state=JobState.waiting, attempt=0):
    spec = JobSpec('resort', 'recut', Shape(8))
    return Job('job-1', spec, NOW, state, attempt)


class RecorderHarness:
    def __init__(self):
        self.table = MemoryTable()
        self.commit_failures = []
        self.recorder = JobRecorder(
            'dc', self.commit, lambda token: token == 'own'
        )

    async def commit(self, writes):
        if self.commit_failures:
            raise self.commit_failures.pop()
        return await self.table.commit(writes, 'own')

    async def state(self):
        row = await self.table.read(JOB_ROW_KEY)
        return row and decode_job_row(row.content).state


@pytest.fixture
def harness():
    harness = RecorderHarness()
    key = ConditionalWrite('job-key/resort/k', b'{}', ABSENT_VERSION)
    harness.recorder.add_submitted('job-1', key)
    harness.recorder.enqueue(make_job())
    return harness


async def test_first_record_is_written_with_its_key(harness):
    """Guards against a second job after a repeated submission.

    It comes about if a job is recorded without its idempotency key.
    """
    result = await harness.recorder.flush()
    assert result.accepted == ('job-1',)
    assert await harness.table.read('job-key/resort/k') is not None
    assert await harness.state() is JobState.waiting


async def test_refused_job_is_never_written(harness):
    """Guards against a job that runs although its caller was told otherwise.

    Later states of the refused job reach the recorder, too.
    """
    harness.commit_failures = [PlatformUnavailableError('down')]
    assert (await harness.recorder.flush()).refused == ('job-1',)
    harness.recorder.enqueue(make_job(JobState.starting, 1))
    assert not harness.recorder.has_unwritten
    harness.recorder.enqueue(make_job(JobState.cancelled))
    assert not harness.recorder.has_unwritten


async def test_uncertain_job_is_neither_accepted_nor_refused(harness):
    """Guards against a result for a job whose record may be written.

    The answer to the first write is lost, and the table service is down for
    the second.
    """
    harness.commit_failures = [UncertainWriteError('lost')]
    result = await harness.recorder.flush()
    assert (result.accepted, result.refused) == ((), ())
    harness.commit_failures = [PlatformUnavailableError('down')]
    assert (await harness.recorder.flush()).refused == ()
    assert (await harness.recorder.flush()).accepted == ('job-1',)


async def test_lost_answer_is_found_by_the_writer_token(harness):
    """Guards against a second record, or none, after a lost answer.

    The next write conflicts with the row of the first.
    """
    harness.table.fault = TableFault.lose_answers
    assert (await harness.recorder.flush()).accepted == ()
    harness.table.fault = TableFault.none
    harness.recorder.enqueue(make_job(JobState.starting, 1))
    assert (await harness.recorder.flush()).accepted == ('job-1',)
    await harness.recorder.flush()
    assert await harness.state() is JobState.starting


async def test_latest_state_is_written_after_an_outage(harness):
    """Guards against states that are lost in an outage.

    The state of the job changes again before the write is repeated.
    """
    await harness.recorder.flush()
    harness.commit_failures = [PlatformUnavailableError('down')]
    harness.recorder.enqueue(make_job(JobState.running, 1))
    await harness.recorder.flush()
    assert not harness.recorder.is_recorded('job-1')
    harness.recorder.enqueue(make_job(JobState.finished, 1))
    await harness.recorder.flush()
    assert harness.recorder.is_recorded('job-1')
    assert await harness.state() is JobState.finished
