"""Rows of jobs and of their idempotency keys in the table service."""

import msgspec

from dragonflynotch.core.jobs import Job

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


def decode_job_row(content: bytes) -> Job:
    """Return the job in a row.

    Raises
    ------
    msgspec.DecodeError
        If the content is not a job row.
    """
    return msgspec.json.decode(content, type=JobRow).job


def decode_idempotency_key_row(content: bytes) -> IdempotencyKeyRow:
    """Return the content of the row of an idempotency key.

    Raises
    ------
    msgspec.DecodeError
        If the content is not the row of an idempotency key.
    """
    return msgspec.json.decode(content, type=IdempotencyKeyRow)
