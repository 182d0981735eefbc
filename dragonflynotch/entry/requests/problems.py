"""HTTP answers to callers; refusals are RFC 9457 problem documents."""

from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Final

import msgspec
from litestar import Response

from dragonflynotch.core.requests import (
    Answer,
    NotRun,
    Outcome,
    Unknown,
    content_digest,
)

__all__ = ('malformed', 'outcome_name', 'outcome_response', 'too_large')

_MS_PER_S = 1000
_STATUS_MALFORMED = 400
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 504
_STATUS_BY_REASON: Final[Mapping[str, int]] = MappingProxyType(
    {
        'malformed': _STATUS_MALFORMED,
        'token_missing': 401,
        'token_refused': 403,
        'not_found': 404,
        'method_not_allowed': 405,
        'key_reused': 409,
        'body_too_large': 413,
        'rate_exceeded': 429,
        'too_many_in_flight': 429,
    }
)
_STATUSES_WITH_RETRY_AFTER = frozenset((429, _STATUS_NOT_RUN, _STATUS_UNKNOWN))


class _Problem(msgspec.Struct, omit_defaults=True):
    outcome: str
    reason: str
    detail: str
    retry_after_ms: int
    step: str
    peer: str
    status: int
    handed_to: str = ''
    handed_at: str = ''


def outcome_name(outcome: Outcome) -> str:
    """Return the name under which metrics count an outcome.

    ``'answered'``, ``'unknown'``, ``'rejected'`` for a request that was not
    run because of the caller (malformed or over quota), or ``'not_run'`` for
    one that was not run because of the service.
    """
    match outcome:
        case Answer():
            return 'answered'
        case NotRun(reason) if reason in _STATUS_BY_REASON:
            return 'rejected'
        case NotRun():
            return 'not_run'
        case Unknown():
            return 'unknown'


def outcome_response(outcome: Outcome) -> Response[bytes]:
    """Return the HTTP response for an outcome."""
    match outcome:
        case Answer(request_id, body):
            return Response(
                body,
                status_code=200,
                media_type='application/octet-stream',
                headers={
                    'Request-Id': request_id,
                    'Content-Digest': content_digest(body),
                },
            )
        case NotRun():
            status = _STATUS_BY_REASON.get(outcome.reason, _STATUS_NOT_RUN)
            return _response(_problem('not_run', outcome, status))
    problem = _problem('unknown', outcome, _STATUS_UNKNOWN)
    problem.handed_to = outcome.handed_to
    if outcome.handed_at is not None:
        problem.handed_at = outcome.handed_at.isoformat()
    return _response(problem)


def malformed(detail: str) -> NotRun:
    """Return the outcome of a request that is not valid."""
    return NotRun('malformed', detail, timedelta(), step='check request')


def too_large(limit_bytes: int) -> NotRun:
    """Return the outcome of a request whose body exceeds the limit."""
    return NotRun(
        'body_too_large',
        f'the body exceeds {limit_bytes} bytes',
        timedelta(),
        step='check request',
    )


def _problem(name: str, outcome: NotRun | Unknown, status: int) -> _Problem:
    return _Problem(
        name,
        outcome.reason,
        outcome.detail,
        int(outcome.retry_after.total_seconds() * _MS_PER_S),
        outcome.step,
        outcome.peer,
        status,
    )


def _response(problem: _Problem) -> Response[bytes]:
    headers = {}
    if problem.status in _STATUSES_WITH_RETRY_AFTER:
        # Whole seconds, rounded up, as RFC 9110 requires.
        seconds = -(-problem.retry_after_ms // _MS_PER_S)
        headers['Retry-After'] = str(seconds)
    if problem.reason == 'token_missing':
        headers['WWW-Authenticate'] = 'Bearer'
    return Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type='application/problem+json',
        headers=headers,
    )
