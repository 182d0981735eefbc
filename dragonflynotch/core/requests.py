"""Requests of callers and the three outcomes a caller can receive."""

import hashlib
from base64 import b64encode
from dataclasses import dataclass
from datetime import datetime, timedelta

__all__ = (
    'Answer',
    'NotRun',
    'Outcome',
    'Request',
    'Unknown',
    'content_digest',
)


def content_digest(body: bytes) -> str:
    """Return the RFC 9530 ``Content-Digest`` value of a body.

    Examples
    --------
    >>> content_digest(b'')
    'sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:'
    """
    digest = b64encode(hashlib.sha256(body).digest()).decode('ascii')
    return f'sha-256=:{digest}:'


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Unique for each attempt of the caller.
    workspace : str
        Workspace that the caller belongs to.
    request_class : str
        Class of the request, for example ``'audit-bundle'``.
    idempotency_key : str
        Key under which the caller repeats the request.
    is_idempotent : bool
        Whether the request may run more than once.
    deadline : datetime
        When the caller stops waiting.
    body : bytes
        Opaque body.
    is_first_attempt : bool
        Whether the caller states that it never sent this key before.
    """

    request_id: str
    workspace: str
    request_class: str
    idempotency_key: str
    is_idempotent: bool
    deadline: datetime
    body: bytes
    is_first_attempt: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer of a minion."""

    request_id: str
    body: bytes
    minion: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will under this attempt.

    Parameters
    ----------
    reason : str
        Stable code, for example ``'no_minion'``.
    detail : str
        One sentence.
    retry_after : timedelta
        When the caller should come back.
    step : str
        Where the request was refused.
    peer : str
        The process that refused it, or ``''``.
    """

    reason: str
    detail: str
    retry_after: timedelta
    step: str = ''
    peer: str = ''


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was handed over and its outcome cannot be known now."""

    reason: str
    detail: str
    retry_after: timedelta
    step: str = ''
    peer: str = ''
    handed_to: str = ''
    handed_at: datetime | None = None


Outcome = Answer | NotRun | Unknown
