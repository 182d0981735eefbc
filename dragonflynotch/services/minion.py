"""Interface and HTTP client of a minion, the back end that serves requests."""

from abc import ABC, abstractmethod
from datetime import timedelta

from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.requests import content_digest
from dragonflynotch.links.http11 import exchange

__all__ = ('HttpMinionClient', 'MinionClient')

MAX_ANSWER_BYTES = 4 * 1024 * 1024
_HTTP_OK = 200


class MinionClient(ABC):
    """Runs requests on one minion."""

    @abstractmethod
    async def run(
        self, request_id: str, body: bytes, timeout: timedelta
    ) -> bytes:
        """Run a request and return the body of the response.

        Raises
        ------
        LinkError
            If no complete response to this request arrived. The request may
            or may not have run.
        """


class HttpMinionClient(MinionClient):
    """Minion reached over HTTP.

    The minion must echo ``Request-Id`` and send ``Content-Digest``. They reveal
    a response that belongs to another request, or that is truncated.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create the client of the minion at ``host:port``."""
        self._address = (host, port)

    async def run(
        self, request_id: str, body: bytes, timeout: timedelta
    ) -> bytes:
        """Run a request and return the body of the response."""
        reply = await exchange(
            self._address,
            'POST',
            '/run',
            headers=[
                ('Request-Id', request_id),
                ('Content-Digest', content_digest(body)),
            ],
            body=body,
            timeout=timeout,
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        problem = ''
        if reply.status != _HTTP_OK:
            problem = f'minion responded with status {reply.status}'
        elif reply.headers.get('request-id') != request_id:
            problem = 'response carries the Request-Id of another request'
        elif reply.headers.get('content-digest') != content_digest(reply.body):
            problem = 'response body does not match its Content-Digest'
        if problem:
            host, port = self._address
            raise LinkError(
                problem, step='run on minion', peer=f'{host}:{port}'
            )
        return reply.body
