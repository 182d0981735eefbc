"""Rows of jobs and of their idempotency keys in the table service."""

import msgspec

from dragonflynotch.core.jobs import Job
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted

__all__ = (
    'IDEMPOTENCY_KEY_PREFIX',
    'IdempotencyKeyRow',
    'JobRow',
    'decode_idempotency_key_row',
    'decode_job_row',
    'encode_row',
    'idempotency_key_row_key',
    'job_row_key',
    'job_rows_prefix',
)

IDEMPOTENCY_KEY_PREFIX = 'job-key/'

_SCHEMA_VERSION = 1


class JobRow(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row ``job/{data_centre}/{job_id}``."""

    schema_version: int = _SCHEMA_VERSION
    job: Job


class IdempotencyKeyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row ``job-key/{workspace}/{key}``.

    It maps an idempotency key to the job that was submitted with it;
    ``body_digest`` is the digest of that submission.
    """

    schema_version: int = _SCHEMA_VERSION
    job_id: str
    data_centre: str
    body_digest: str


def job_rows_prefix(data_centre: str) -> str:
    """Return the prefix of all job rows of a data centre."""
    return f'job/{data_centre}/'


def job_row_key(data_centre: str, job_id: str) -> str:
    """Return the key of a job row."""
    return f'{job_rows_prefix(data_centre)}{job_id}'


def idempotency_key_row_key(workspace: str, key: str) -> str:
    """Return the row key of an idempotency key."""
    return f'{IDEMPOTENCY_KEY_PREFIX}{workspace}/{key}'


def encode_row(row: JobRow | IdempotencyKeyRow) -> bytes:
    """Return the stored form of a row, which is JSON."""
    return msgspec.json.encode(row)


_job_decoder = msgspec.json.Decoder(JobRow)
_key_decoder = msgspec.json.Decoder(IdempotencyKeyRow)


def decode_job_row(content: bytes) -> Job | Unreadable:
    """Return the job in a row, or why the row is unreadable."""
    return decode_untrusted(_decode_job, content)


def decode_idempotency_key_row(
    content: bytes,
) -> IdempotencyKeyRow | Unreadable:
    """Return the row of an idempotency key, or why it is unreadable."""
    return decode_untrusted(_key_decoder.decode, content)


def _decode_job(content: bytes) -> Job:
    job = _job_decoder.decode(content).job
    times = (
        job.submitted_at,
        job.started_at,
        job.ended_at,
        job.spec.deadline,
    )
    # Times without a zone cannot be compared with those of the clock.
    if any(time is not None and time.tzinfo is None for time in times):
        raise ValueError('time without a time zone')
    return job
