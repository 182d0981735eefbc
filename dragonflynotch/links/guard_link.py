"""The link from an entry to a guard."""

from abc import ABC, abstractmethod
from datetime import timedelta

import httpx
import msgspec

from dragonflynotch.core.errors import LinkError, LinkTimeoutError
from dragonflynotch.core.requests import Request, content_digest
from dragonflynotch.core.routing import Target

__all__ = ('GuardLink', 'GuardRefusal', 'HttpGuardLink')


class GuardRefusal(msgspec.Struct, frozen=True):
    """The guard's proof that an attempt did not run and never will."""

    reason: str


class GuardLink(ABC):
    """Hands requests over to guards."""

    @abstractmethod
    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        timeout: timedelta,
    ) -> bytes | GuardRefusal:
        """Hand an attempt over and return the whole answer or the refusal.

        Raises
        ------
        LinkError
            If no whole answer to this attempt arrived.
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
                max_connections=None, max_keepalive_connections=256
            ),
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def run(
        self,
        target: Target,
        request: Request,
        attempt: str,
        timeout: timedelta,
    ) -> bytes | GuardRefusal:
        """Hand an attempt over and return the whole answer or the refusal."""
        host, port = target.address
        headers = {
            'Request-Id': request.request_id,
            'Attempt': attempt,
            'Guard-Incarnation': str(target.incarnation),
            'Request-Deadline-Ms': str(int(timeout.total_seconds() * 1000)),
            'Content-Digest': content_digest(request.body),
        }
        try:
            reply = await self._client.post(
                f'http://{host}:{port}/v1/requests',
                content=request.body,
                headers=headers,
                timeout=timeout.total_seconds(),
            )
        except httpx.TimeoutException as error:
            raise LinkTimeoutError(
                'guard did not answer in time',
                step='hand over',
                peer=target.guard_id,
            ) from error
        except httpx.HTTPError as error:
            raise LinkError(
                f'connection to the guard failed: {error!r}',
                step='hand over',
                peer=target.guard_id,
            ) from error
        return _checked_answer(reply, request.request_id, target.guard_id)


def _checked_answer(
    reply: httpx.Response, request_id: str, guard_id: str
) -> bytes | GuardRefusal:
    if reply.status_code == httpx.codes.OK:
        is_own = reply.headers.get('request-id') == request_id
        digest = content_digest(reply.content)
        if is_own and reply.headers.get('content-digest') == digest:
            return reply.content
        raise LinkError(
            'answer belongs to another request or is not whole',
            step='hand over',
            peer=guard_id,
        )
    problem = msgspec.json.decode(reply.content, type=_Problem)
    if problem.outcome == 'refused':
        return GuardRefusal(problem.reason)
    raise LinkError(problem.reason, step='run on minion', peer=guard_id)
