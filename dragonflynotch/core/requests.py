"""Requests of callers and their outcomes: answer, not run or unknown."""

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
    """One attempt of a caller to have a request answered.

    Parameters
    ----------
    request_id : str
        Id of this attempt; unique for each attempt of the caller.
    workspace : str
        Workspace that the caller belongs to.
    request_class : str
        Class of the request, for example ``'audit-bundle'``.
    idempotency_key : str
        Key that the caller repeats in each attempt of the same request.
    is_idempotent : bool
        Whether the request may run more than once.
    deadline : datetime
        When the caller stops waiting.
    body : bytes
        Request body, which is not interpreted.
    is_first_attempt : bool
        Whether the caller states that it has not sent this key before.
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
    """The complete answer of a minion."""

    request_id: str
    body: bytes
    minion: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt has not run and never will.

    Parameters
    ----------
    reason : str
        Stable code for programs, for example ``'no_minion'``.
    detail : str
        Explanation for people, in one sentence.
    retry_after : timedelta
        How long the caller should wait before it retries.
    step : str
        Operation in which the request was refused.
    peer : str
        Process that refused it, or ``''``.
    """

    reason: str
    detail: str
    retry_after: timedelta
    step: str = ''
    peer: str = ''


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; its outcome is not known now."""

    reason: str
    detail: str
    retry_after: timedelta
    step: str = ''
    peer: str = ''
    handed_to: str = ''
    handed_at: datetime | None = None


Outcome = Answer | NotRun | Unknown
