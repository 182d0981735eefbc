"""HTTP client of an entry for requests to guards."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import datetime, timedelta

import httpx
import msgspec

from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.core.handover import (
    AttemptDone,
    AttemptNeverRun,
    AttemptNotRemembered,
    AttemptRunning,
    IncarnationEnded,
    Resolution,
)
from dragonflynotch.core.requests import Request, content_digest
from dragonflynotch.core.routing import Target
from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    is_usable_address,
)

__all__ = (
    'GuardOutcomeUnknown',
    'GuardLink',
    'GuardRefusal',
    'HandoverReply',
    'HttpGuardLink',
)

MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Shorter than the idle time-out of the guard, so that the guard does not close
# a connection that is about to be used.
_IDLE_CONNECTION_TIMEOUT_S = 20
_MS_PER_S = 1000
_STEP_HAND_OVER = 'hand over'
_STEP_RESOLVE = 'resolve'
_OTHER_INCARNATION = 'other_incarnation'


@dataclass(frozen=True, slots=True)
class GuardRefusal:
    """The guard states that an attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class GuardOutcomeUnknown:
    """The attempt may have run, but the guard has no complete answer."""

    reason: str


HandoverReply = bytes | GuardRefusal | GuardOutcomeUnknown


class GuardLink(ABC):
    """Client that hands requests over to guards."""

    @abstractmethod
    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        now: datetime,
        *,
        is_retry: bool = False,
    ) -> HandoverReply:
        """Hand an attempt over and return the answer of the guard.

        Parameters
        ----------
        target : Target
            Guard to call and its expected incarnation.
        request : Request
            The request; the call ends at its deadline.
        attempt : str
            Id of the attempt.
        now : datetime
            Current time.
        is_retry : bool
            Whether an earlier attempt failed. A retry uses a new connection,
            because the open ones may have stopped delivering data too.

        Raises
        ------
        NotSentError
            If no connection was established, so nothing was sent.
        LinkError
            If no complete answer to this attempt arrived.
        """

    @abstractmethod
    async def resolve(
        self,
        target: Target,
        attempt: str,
        *,
        is_idempotent: bool,
        timeout: timedelta,
    ) -> Resolution:
        """Ask a guard for the outcome of an attempt.

        Raises
        ------
        LinkError
            If no complete answer arrived within ``timeout``.
        """


class _Problem(msgspec.Struct):
    outcome: str
    reason: str


_problem_decoder = msgspec.json.Decoder(_Problem)


class HttpGuardLink(GuardLink):
    """HTTP client of guards; a connection carries one exchange at a time."""

    def __init__(self) -> None:
        """Create the client; no connection is opened yet."""
        self._pooled_client = httpx.AsyncClient(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=256,
                keepalive_expiry=_IDLE_CONNECTION_TIMEOUT_S,
            ),
        )
        # An open connection may have stopped delivering data, which only shows
        # when it is used. Resolutions and retries therefore use new ones.
        self._unpooled_client = httpx.AsyncClient(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=0
            ),
        )

    async def close(self) -> None:
        """Close all idle connections."""
        await self._pooled_client.aclose()
        await self._unpooled_client.aclose()

    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        now: datetime,
        *,
        is_retry: bool = False,
    ) -> HandoverReply:
        """Hand an attempt over and return the answer of the guard."""
        timeout = request.deadline - now
        expires_at_ms = int(request.deadline.timestamp() * _MS_PER_S)
        headers = {
            'Request-Id': request.request_id,
            'Attempt': attempt,
            'Guard-Incarnation': str(target.incarnation),
            'Request-Deadline-Ms': str(
                int(timeout.total_seconds() * _MS_PER_S)
            ),
            'Request-Expires-At-Ms': str(expires_at_ms),
            'Request-Idempotent': _header_flag(is_set=request.is_idempotent),
            'Content-Digest': content_digest(request.body),
        }
        reply = await self._post(
            _Exchange(
                target,
                _STEP_HAND_OVER,
                timeout,
                attempt,
                request.request_id,
                is_new_connection=is_retry,
            ),
            '/v1/requests',
            headers,
            request.body,
        )
        if reply.is_answer:
            return reply.body
        problem = _decode_problem(reply, target)
        if problem.outcome == 'refused':
            return GuardRefusal(problem.reason)
        return GuardOutcomeUnknown(problem.reason)

    async def resolve(
        self,
        target: Target,
        attempt: str,
        *,
        is_idempotent: bool,
        timeout: timedelta,
    ) -> Resolution:
        """Ask a guard for the outcome of an attempt."""
        headers = {
            'Guard-Incarnation': str(target.incarnation),
            'Request-Idempotent': _header_flag(is_set=is_idempotent),
        }
        reply = await self._post(
            _Exchange(
                target,
                _STEP_RESOLVE,
                timeout,
                attempt,
                is_new_connection=True,
            ),
            f'/v1/requests/{attempt}/resolve',
            headers,
        )
        if reply.is_answer:
            return AttemptDone(reply.body, target.minion_id)
        problem = _decode_problem(reply, target)
        match problem.outcome:
            case 'running':
                return AttemptRunning()
            case 'never':
                return AttemptNeverRun()
            case _ if problem.reason == _OTHER_INCARNATION:
                return IncarnationEnded()
            case _:
                return AttemptNotRemembered(problem.reason)

    async def _post(
        self,
        exchange: '_Exchange',
        path: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> '_Reply':
        host, port = exchange.target.address
        if not is_usable_address((host, port)):
            raise exchange.not_sent(ValueError('malformed address'))
        is_new = exchange.is_new_connection
        client = self._unpooled_client if is_new else self._pooled_client
        stream = client.stream(
            'POST',
            f'http://{host}:{port}{path}',
            content=body,
            headers=headers,
            timeout=max(exchange.timeout.total_seconds(), 0.001),
        )
        try:
            async with stream as reply:
                return await exchange.read(reply)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.InvalidURL,
        ) as error:
            raise exchange.not_sent(error) from error
        except httpx.TimeoutException as error:
            raise exchange.timed_out() from error
        except httpx.HTTPError as error:
            raise exchange.failed(
                f'connection to the guard failed: {error!r}'
            ) from error


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes

    @property
    def is_answer(self) -> bool:
        return self.status == httpx.codes.OK


@dataclass(frozen=True, slots=True)
class _Exchange:
    """One HTTP exchange with a guard and the checks of its response."""

    target: Target
    step: str
    timeout: timedelta
    attempt: str
    request_id: str = ''
    is_new_connection: bool = False

    async def read(self, reply: httpx.Response) -> _Reply:
        """Return the complete response, or raise so that the connection closes.

        The digest is checked before httpx reads the end of the message. httpx
        closes a connection whose response was not read to its end, so one with
        a wrong answer is not used again.
        """
        is_answer = reply.status_code == httpx.codes.OK
        if is_answer:
            self._check_ids(reply)
        length = reply.headers.get('content-length', '')
        if not length.isdecimal() or int(length) > MAX_ANSWER_BYTES:
            raise self.failed(
                f'Content-Length {length[:20]!r} is not a number of bytes up to'
                f' {MAX_ANSWER_BYTES}'
            )
        body = bytearray()
        async for chunk in reply.aiter_raw():
            body += chunk
            if is_answer and len(body) >= int(length):
                self._check_digest(reply, bytes(body))
        if is_answer:
            self._check_digest(reply, bytes(body))
        return _Reply(reply.status_code, bytes(body))

    def not_sent(self, cause: Exception) -> NotSentError:
        """Return the error for a connection that was not established."""
        return NotSentError(
            f'no connection to the guard: {cause!r}',
            step=self.step,
            peer=self.target.guard_id,
        )

    def timed_out(self) -> LinkTimeoutError:
        """Return the error for a guard that missed the time-out."""
        return LinkTimeoutError(
            f'guard did not answer within {self.timeout} (h:mm:ss)',
            step=self.step,
            peer=self.target.guard_id,
        )

    def failed(self, message: str) -> LinkError:
        """Return the error for any other failed exchange."""
        return LinkError(message, step=self.step, peer=self.target.guard_id)

    def _check_ids(self, reply: httpx.Response) -> None:
        has_same_attempt = reply.headers.get('attempt') == self.attempt
        has_same_request = self.request_id in {
            '',
            reply.headers.get('request-id'),
        }
        if not (has_same_attempt and has_same_request):
            raise self.failed(
                'answer carries the id of another request or attempt'
            )

    def _check_digest(self, reply: httpx.Response, body: bytes) -> None:
        if reply.headers.get('content-digest') != content_digest(body):
            raise self.failed('answer body does not match its Content-Digest')


def _header_flag(*, is_set: bool) -> str:
    return 'true' if is_set else 'false'


def _decode_problem(reply: _Reply, target: Target) -> _Problem:
    problem = decode_untrusted(_problem_decoder.decode, reply.body)
    if isinstance(problem, Unreadable):
        raise LinkError(
            f'guard answered with status {reply.status} and a malformed body: '
            f'{problem.reason}',
            peer=target.guard_id,
        )
    return problem
