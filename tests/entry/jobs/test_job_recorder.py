"""Job records under lost answers and outages."""

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
ROW = 'job/dc/job-1'


def job(state=JobState.waiting, attempt=0):
    spec = JobSpec('resort', 'recut', Shape(8))
    return Job('job-1', spec, NOW, state, attempt)


class Bench:
    def __init__(self):
        self.table = MemoryTable()
        self.failures = []
        self.recorder = JobRecorder('dc', self.commit, lambda t: t == 'own')

    async def commit(self, writes):
        if self.failures:
            raise self.failures.pop()
        return await self.table.commit(writes, 'own')

    async def state(self):
        row = await self.table.read(ROW)
        return row and decode_job_row(row.content).state


@pytest.fixture
def bench():
    bench = Bench()
    key = ConditionalWrite('job-key/resort/k', b'{}', ABSENT_VERSION)
    bench.recorder.expect('job-1', key)
    bench.recorder.put(job())
    return bench


async def test_first_record_is_written_with_its_key(bench):
    """Guards against a job that a repeated submission does not find."""
    result = await bench.recorder.flush()
    assert result.accepted == ('job-1',)
    assert await bench.table.read('job-key/resort/k') is not None
    assert await bench.state() is JobState.waiting


async def test_refused_job_is_never_written(bench):
    """Guards against a job that runs after a "not run"."""
    bench.failures = [PlatformUnavailableError('down')]
    assert (await bench.recorder.flush()).refused == ('job-1',)
    bench.recorder.put(job(JobState.starting, 1))
    assert not bench.recorder.is_dirty
    bench.recorder.put(job(JobState.cancelled))
    assert not bench.recorder.is_dirty


async def test_uncertain_job_is_neither_accepted_nor_refused(bench):
    """Guards against a verdict before the outcome of a write is known."""
    bench.failures = [UncertainWriteError('lost')]
    result = await bench.recorder.flush()
    assert (result.accepted, result.refused) == ((), ())
    bench.failures = [PlatformUnavailableError('down')]
    assert (await bench.recorder.flush()).refused == ()
    assert (await bench.recorder.flush()).accepted == ('job-1',)


async def test_lost_answer_is_found_by_the_writer_token(bench):
    """Guards against a second record, or none, after a lost answer."""
    bench.table.fault = TableFault.lose_answers
    assert (await bench.recorder.flush()).accepted == ()
    bench.table.fault = TableFault.none
    bench.recorder.put(job(JobState.starting, 1))
    assert (await bench.recorder.flush()).accepted == ('job-1',)
    await bench.recorder.flush()
    assert await bench.state() is JobState.starting


async def test_latest_state_is_written_after_an_outage(bench):
    """Guards against records that an outage loses."""
    await bench.recorder.flush()
    bench.failures = [PlatformUnavailableError('down')]
    bench.recorder.put(job(JobState.running, 1))
    await bench.recorder.flush()
    assert not bench.recorder.is_recorded('job-1')
    bench.recorder.put(job(JobState.finished, 1))
    await bench.recorder.flush()
    assert bench.recorder.is_recorded('job-1')
    assert await bench.state() is JobState.finished
