"""Deletes the records of jobs that ended before the retention time."""

import uuid
from collections import defaultdict
from datetime import datetime, timedelta

from dragonflynotch.core.jobs import Job
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.job_rows import (
    IDEMPOTENCY_KEY_PREFIX,
    decode_idempotency_key_row,
    decode_job_row,
    job_rows_prefix,
)
from dragonflynotch.services.table import (
    ConditionalWrite,
    Row,
    TableService,
)

__all__ = ('RECORD_RETENTION', 'delete_ended_jobs')

# Records are not kept for ever because a takeover reads all of them. An
# idempotency key is deleted with the record of its job.
RECORD_RETENTION = timedelta(days=7)

_log = part_logger('entry.cleanup')


async def delete_ended_jobs(
    table: TableService, data_centre: str, now: datetime
) -> int:
    """Delete the expired records of ended jobs and their idempotency keys.

    Parameters
    ----------
    table : TableService
        Stores the records.
    data_centre : str
        Partition whose records are deleted.
    now : datetime
        Current time.

    Returns
    -------
    int
        Number of deleted jobs.

    Raises
    ------
    DragonflynotchError
        If the table service fails; a later call deletes the rest.
    """
    expired = [
        (job, row)
        for row in await table.scan(job_rows_prefix(data_centre))
        if (job := _expired_job(row, now)) is not None
    ]
    if not expired:
        return 0
    key_rows = await _key_rows(table, data_centre)
    for job, row in expired:
        writes = [
            ConditionalWrite(each.key, None, each.version)
            for each in (row, *key_rows.get(job.job_id, ()))
        ]
        await table.commit(writes, uuid.uuid4().hex)
    _log.info('deleted the expired records of {} ended jobs', len(expired))
    return len(expired)


async def _key_rows(
    table: TableService, data_centre: str
) -> dict[str, list[Row]]:
    rows_by_job: dict[str, list[Row]] = defaultdict(list)
    for row in await table.scan(IDEMPOTENCY_KEY_PREFIX):
        content = decode_idempotency_key_row(row.content)
        if isinstance(content, Unreadable):
            _log.error('ignoring row {}: {}', row.key, content.reason)
            continue
        if content.data_centre == data_centre:
            rows_by_job[content.job_id].append(row)
    return rows_by_job


def _expired_job(row: Row, now: datetime) -> Job | None:
    job = decode_job_row(row.content)
    if isinstance(job, Unreadable):
        _log.error('ignoring row {}: {}', row.key, job.reason)
        return None
    if not job.state.is_final or job.ended_at is None:
        return None
    return job if now - job.ended_at > RECORD_RETENTION else None
