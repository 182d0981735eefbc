"""Only records of jobs that ended before the retention time are deleted."""

from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.jobs import Job, JobSpec, JobState
from dragonflynotch.core.shapes import Shape
from dragonflynotch.entry.jobs.job_cleanup import (
    RECORD_RETENTION,
    delete_ended_jobs,
)
from dragonflynotch.records.job_rows import (
    IdempotencyKeyRow,
    JobRow,
    encode_row,
    idempotency_key_row_key,
    job_row_key,
)
from dragonflynotch.services.table import ABSENT_VERSION, ConditionalWrite
from dragonflynotch.testing.table import MemoryTable

NOW = ManualClock().now()


@pytest.mark.parametrize(
    ('state', 'age', 'expected'),
    [
        (JobState.finished, timedelta(days=8), 1),
        (JobState.failed, timedelta(days=8), 1),
        (JobState.finished, RECORD_RETENTION, 0),
        (JobState.running, timedelta(days=30), 0),
    ],
)
async def test_only_expired_records_of_ended_jobs_are_deleted(
    state, age, expected
):
    """Guards against records deleted too early and records kept for ever.

    The key row is deleted with the record of its job.
    """
    table = MemoryTable()
    job = Job(
        'job-1',
        JobSpec('resort', 'recut', Shape(1)),
        NOW - age,
        state,
        ended_at=NOW - age if state.is_final else None,
    )
    rows = {
        job_row_key('dc', 'job-1'): encode_row(JobRow(job=job)),
        idempotency_key_row_key('resort', 'key'): encode_row(
            IdempotencyKeyRow(job_id='job-1', data_centre='dc', body_digest='')
        ),
    }
    await table.commit(
        [
            ConditionalWrite(key, content, ABSENT_VERSION)
            for key, content in rows.items()
        ],
        'test',
    )
    assert await delete_ended_jobs(table, 'dc', NOW) == expected
    remaining_rows = await table.scan('job')
    assert len(remaining_rows) == (0 if expected else 2)
