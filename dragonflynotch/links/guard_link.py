"""The link from an entry to a guard."""

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

__all__ = (
    'GuardDoubt',
    'GuardLink',
    'GuardRefusal',
    'HandOverReply',
    'HttpGuardLink',
)

MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Below the time for which a guard keeps idle connections.
_IDLE_S = 20
_MS_PER_S = 1000
_STEP_RUN = 'hand over'
_STEP_RESOLVE = 'resolve'
_OTHER_INCARNATION = 'other_incarnation'


@dataclass(frozen=True, slots=True)
class GuardRefusal:
    """The guard's proof that an attempt did not run and never will."""

    reason: str


@dataclass(frozen=True, slots=True)
class GuardDoubt:
    """The guard handed the attempt to its minion and got no whole answer."""

    reason: str


HandOverReply = bytes | GuardRefusal | GuardDoubt


class GuardLink(ABC):
    """Hands requests over to guards."""

    @abstractmethod
    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        now: datetime,
        *,
        is_retry: bool = False,
    ) -> HandOverReply:
        """Hand an attempt over and return what the guard says.

        Parameters
        ----------
        target : Target
            Guard and incarnation.
        request : Request
            The request; its deadline limits the exchange.
        attempt : str
            Id of the attempt.
        now : datetime
            Current time.
        is_retry : bool
            Whether an attempt failed before; then a new connection is used,
            because the open ones may be silent as well.

        Raises
        ------
        NotSentError
            If no connection could be made.
        LinkError
            If no whole answer to this attempt arrived.
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
        """Ask a guard what became of an attempt.

        Raises
        ------
        LinkError
            If no whole answer arrived within ``timeout``.
        """


class _Problem(msgspec.Struct):
    outcome: str
    reason: str


class HttpGuardLink(GuardLink):
    """Guards reached over HTTP, one exchange at a time per connection."""

    def __init__(self) -> None:
        """Create a client with its own connection pool."""
        self._client = httpx.AsyncClient(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None,
                max_keepalive_connections=256,
                keepalive_expiry=_IDLE_S,
            ),
        )
        # Open connections may be silent, and this is found out by asking, so
        # questions and retries go over new ones.
        self._new_connections = httpx.AsyncClient(
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=0
            ),
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()
        await self._new_connections.aclose()

    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        now: datetime,
        *,
        is_retry: bool = False,
    ) -> HandOverReply:
        """Hand an attempt over and return what the guard says."""
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
            'Request-Idempotent': _flag(is_set=request.is_idempotent),
            'Content-Digest': content_digest(request.body),
        }
        reply = await self._post(
            _Exchange(
                target,
                _STEP_RUN,
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
        return GuardDoubt(problem.reason)

    async def resolve(
        self,
        target: Target,
        attempt: str,
        *,
        is_idempotent: bool,
        timeout: timedelta,
    ) -> Resolution:
        """Ask a guard what became of an attempt."""
        headers = {
            'Guard-Incarnation': str(target.incarnation),
            'Request-Idempotent': _flag(is_set=is_idempotent),
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
        is_new = exchange.is_new_connection
        client = self._new_connections if is_new else self._client
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
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
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
    """One exchange with a guard and the checks of its answer."""

    target: Target
    step: str
    timeout: timedelta
    attempt: str
    request_id: str = ''
    is_new_connection: bool = False

    async def read(self, reply: httpx.Response) -> _Reply:
        """Return the whole reply, or raise so that the connection closes.

        The digest is checked before the last byte is reported as the end of
        the message. A connection that is left before that is not used again.
        """
        is_answer = reply.status_code == httpx.codes.OK
        if is_answer:
            self._check_names(reply)
        length = reply.headers.get('content-length', '')
        if not length.isdecimal() or int(length) > MAX_ANSWER_BYTES:
            raise self.failed(f'answer has the length {length[:20]!r}')
        body = bytearray()
        async for chunk in reply.aiter_raw():
            body += chunk
            if is_answer and len(body) >= int(length):
                self._check_digest(reply, bytes(body))
        if is_answer:
            self._check_digest(reply, bytes(body))
        return _Reply(reply.status_code, bytes(body))

    def not_sent(self, cause: Exception) -> NotSentError:
        """Return the error for a connection that could not be made."""
        return NotSentError(
            f'no connection to the guard: {cause!r}',
            step=self.step,
            peer=self.target.guard_id,
        )

    def timed_out(self) -> LinkTimeoutError:
        """Return the error for a guard that did not answer in time."""
        return LinkTimeoutError(
            'guard did not answer in time',
            step=self.step,
            peer=self.target.guard_id,
        )

    def failed(self, message: str) -> LinkError:
        """Return the error for any other failure."""
        return LinkError(message, step=self.step, peer=self.target.guard_id)

    def _check_names(self, reply: httpx.Response) -> None:
        is_own_attempt = reply.headers.get('attempt') == self.attempt
        is_own_request = self.request_id in {
            '',
            reply.headers.get('request-id'),
        }
        if not (is_own_attempt and is_own_request):
            raise self.failed('answer belongs to another request')

    def _check_digest(self, reply: httpx.Response, body: bytes) -> None:
        if reply.headers.get('content-digest') != content_digest(body):
            raise self.failed('answer is not whole')


def _flag(*, is_set: bool) -> str:
    return 'true' if is_set else 'false'


def _decode_problem(reply: _Reply, target: Target) -> _Problem:
    try:
        return msgspec.json.decode(reply.body, type=_Problem)
    except msgspec.DecodeError as error:
        raise LinkError(
            f'guard answered with status {reply.status} and no reason',
            peer=target.guard_id,
        ) from error
