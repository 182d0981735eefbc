"""Reads and checks the headers of a caller's request."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.workspaces import WorkspaceSpec

__all__ = ('RequestHeaders', 'read_headers')

_DEFAULT_CLASS = 'default'
_DEFAULT_DEADLINE_MS = 30_000
# Below the 15 min for which a guard remembers the attempts that it ran.
_MAX_DEADLINE_MS = 600_000
_KEY_PATTERN = re.compile('[!-~]{1,200}')
_BOOLEANS = {'true': True, 'false': False}


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Checked headers of a request."""

    request_class: str
    idempotency_key: str
    is_idempotent: bool
    is_first_attempt: bool
    timeout: timedelta


def read_headers(
    headers: Mapping[str, str], workspace: WorkspaceSpec
) -> RequestHeaders:
    """Return the headers, with defaults for those that are missing.

    Raises
    ------
    InvalidInputError
        If a header is invalid; it names the header, its value and what was
        expected.
    """
    is_idempotent = _read_boolean(headers, 'request-idempotent')
    return RequestHeaders(
        _read_class(headers, workspace),
        _read_key(headers, is_required=not is_idempotent),
        is_idempotent,
        _read_boolean(headers, 'request-first-attempt'),
        _read_deadline(headers),
    )


def _read_class(headers: Mapping[str, str], workspace: WorkspaceSpec) -> str:
    name = headers.get('request-class', _DEFAULT_CLASS)
    if name not in workspace.classes:
        names = ', '.join(sorted(workspace.classes))
        raise InvalidInputError('header Request-Class', name, f'one of {names}')
    return name


def _read_key(headers: Mapping[str, str], *, is_required: bool) -> str:
    key = headers.get('idempotency-key', '')
    if (key or is_required) and not _KEY_PATTERN.fullmatch(key):
        raise InvalidInputError(
            'header Idempotency-Key',
            key,
            '1 to 200 printable ASCII characters without spaces',
        )
    return key


def _read_boolean(headers: Mapping[str, str], name: str) -> bool:
    text = headers.get(name, 'false')
    if text not in _BOOLEANS:
        raise InvalidInputError(
            f'header {name.title()}', text, "'true' or 'false'"
        )
    return _BOOLEANS[text]


def _read_deadline(headers: Mapping[str, str]) -> timedelta:
    text = headers.get('request-deadline-ms', str(_DEFAULT_DEADLINE_MS))
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    if not is_number or not 1 <= int(text) <= _MAX_DEADLINE_MS:
        raise InvalidInputError(
            'header Request-Deadline-Ms',
            text,
            f'a whole number from 1 to {_MAX_DEADLINE_MS}',
        )
    return timedelta(milliseconds=int(text))
