"""HTTP transport of the clients: error mapping and safe retries."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType, TracebackType
from typing import Any, Self, TypeVar
from urllib.parse import urlsplit

import httpx
import msgspec

from dragonflynotch.client.outcomes import (
    Conflict,
    Failure,
    Invalid,
    Refused,
    UnknownOutcome,
    Unreachable,
)
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.bounds import Count

__all__ = ('Call', 'HttpTransport', 'Reply', 'RetryPolicy', 'decode_reply')

_ViewT = TypeVar('_ViewT')
_INVALID_STATUSES = frozenset((400, 404, 405, 413, 428))
_UNKNOWN_OUTCOME_STATUSES = frozenset((502, 504))
_TRANSIENT_STATUSES = frozenset((502, 503, 504))
_CONFLICT_STATUS = 409
_MAX_SUCCESS_STATUS = 299
_MILLISECOND = timedelta(milliseconds=1)
_DEFAULT_TIMEOUT = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and after which delay an idempotent call is retried.

    Parameters
    ----------
    attempts : int
        Maximum number of attempts, the first one included.
    first_delay : timedelta
        Delay before the second attempt; doubles for each further one.
    """

    attempts: int = 3
    first_delay: timedelta = timedelta(milliseconds=200)

    def __post_init__(self) -> None:
        """Reject a policy without any attempt."""
        if self.attempts < 1:
            raise InvalidInputError('attempts', self.attempts, 'at least 1')


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call.

    Parameters
    ----------
    step : str
        Name of the operation for error messages.
    is_idempotent : bool
        Whether carrying it out twice has the same effect as once.
    key : str
        Idempotency key, or ``''``.
    timeout : timedelta or None
        Time limit of all attempts; ``None`` uses that of the transport.
    """

    step: str
    method: str
    path: str
    is_idempotent: bool
    body: bytes = b''
    headers: Mapping[str, str] = field(
        default_factory=lambda: MappingProxyType({})
    )
    key: str = ''
    timeout: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """A successful answer."""

    body: bytes
    headers: Mapping[str, str]
    peer: str


_DEFAULT_RETRY = RetryPolicy()


class _Problem(msgspec.Struct):
    """Body of an error response."""

    reason: str = ''
    detail: str = ''
    outcome: str = ''
    retry_after_ms: Count | None = None
    step: str = ''
    peer: str = ''
    handed_to: str = ''
    current_revision: int | None = None


_problem_decoder = msgspec.json.Decoder(_Problem)


class HttpTransport:
    """Connection to one entry.

    Parameters
    ----------
    url : str
        Address of the port, for example ``'http://127.0.0.1:8080'``.
    timeout : timedelta
        Time limit of one call, its retries included.
    retry : RetryPolicy
        Retries of idempotent calls.
    httpx_transport : httpx.AsyncBaseTransport or None
        Replacement for the TCP transport of httpx, for tests.

    Raises
    ------
    InvalidInputError
        If the URL is not an HTTP address or the timeout is not positive.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout: timedelta = _DEFAULT_TIMEOUT,
        retry: RetryPolicy = _DEFAULT_RETRY,
        httpx_transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the HTTP client; the first call opens a connection."""
        if timeout <= timedelta():
            raise InvalidInputError('timeout', str(timeout), 'more than 0 s')
        self._peer = _peer_of(url)
        self._timeout = timeout
        self._retry = retry
        self._client = httpx.AsyncClient(
            base_url=url.rstrip('/'),
            trust_env=False,
            transport=httpx_transport,
        )

    async def __aenter__(self) -> Self:
        """Return the transport."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def send(self, call: Call) -> Reply | Failure:
        """Return the answer, or the failure if there is none.

        Only idempotent calls are retried, only after a transient failure and
        only within the time limit of the call.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + (call.timeout or self._timeout).total_seconds()
        delay_s = self._retry.first_delay.total_seconds()
        outcome = await self._send_once(call, end - loop.time())
        for _ in range(self._retry.attempts - 1):
            if not call.is_idempotent or not _is_transient(outcome):
                break
            if loop.time() + delay_s >= end:
                break
            await asyncio.sleep(delay_s)
            delay_s *= 2
            outcome = await self._send_once(call, end - loop.time())
        return outcome

    async def _send_once(self, call: Call, timeout_s: float) -> Reply | Failure:
        try:
            reply = await self._client.request(
                call.method,
                call.path,
                content=call.body,
                headers=dict(call.headers),
                timeout=timeout_s,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return self._connection_failure(call, error)
        except httpx.TransportError as error:
            return self._missing_answer(call, error)
        if reply.status_code <= _MAX_SUCCESS_STATUS:
            return Reply(reply.content, reply.headers, self._peer)
        return _failure_from_reply(call, reply, self._peer)

    def _connection_failure(self, call: Call, error: Exception) -> Unreachable:
        return Unreachable(
            reason='unreachable',
            detail=f'no connection could be made: {error}',
            step=call.step,
            peer=self._peer,
            key=call.key,
        )

    def _missing_answer(self, call: Call, error: Exception) -> Failure:
        # Repeating an idempotent call does no harm, whether or not the first
        # attempt took effect, so its outcome is not reported as unknown.
        failure_type = Unreachable if call.is_idempotent else UnknownOutcome
        return failure_type(
            reason='no_answer',
            detail=f'no answer after the call was sent: {error!r}',
            step=call.step,
            peer=self._peer,
            key=call.key,
        )


def decode_reply(
    reply: Reply, view: type[_ViewT], call: Call
) -> _ViewT | UnknownOutcome:
    """Return the decoded body of a successful answer."""
    decoder = msgspec.json.Decoder(view)
    content = decode_untrusted(decoder.decode, reply.body)
    if isinstance(content, Unreadable):
        return UnknownOutcome(
            reason='malformed_answer',
            detail=content.reason,
            step=call.step,
            peer=reply.peer,
            key=call.key,
        )
    return content


def _peer_of(url: str) -> str:
    try:
        parts = urlsplit(url)
        # urlsplit checks the range of the port only when it is read.
        has_host_and_port = bool(parts.hostname) and parts.port != 0
    except ValueError:
        has_host_and_port = False
    if not has_host_and_port or parts.scheme not in {'http', 'https'}:
        raise InvalidInputError('url', url, 'http://ADDRESS:PORT')
    return parts.netloc


def _is_transient(outcome: Reply | Failure) -> bool:
    if isinstance(outcome, Reply | Invalid | Conflict):
        return False
    if isinstance(outcome, Refused):
        return outcome.retry_after is not None
    return True


def _failure_from_reply(
    call: Call, reply: httpx.Response, peer: str
) -> Failure:
    problem = decode_untrusted(_problem_decoder.decode, reply.content)
    if isinstance(problem, Unreadable):
        problem = _Problem()
    common: dict[str, Any] = {
        'reason': problem.reason or f'status_{reply.status_code}',
        'detail': problem.detail or reply.reason_phrase,
        'step': problem.step or call.step,
        'peer': problem.peer or peer,
        'retry_after': _retry_after(reply.status_code, problem),
        'key': call.key,
    }
    status = reply.status_code
    if problem.outcome == 'unknown' or status in _UNKNOWN_OUTCOME_STATUSES:
        return UnknownOutcome(handed_to=problem.handed_to, **common)
    if status == _CONFLICT_STATUS:
        return Conflict(current_revision=problem.current_revision, **common)
    return (Invalid if status in _INVALID_STATUSES else Refused)(**common)


def _retry_after(status: int, problem: _Problem) -> timedelta | None:
    if problem.retry_after_ms is None or status not in {
        429,
        *_TRANSIENT_STATUSES,
    }:
        return None
    return problem.retry_after_ms * _MILLISECOND
