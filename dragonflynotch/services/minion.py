"""Interface and HTTP client of a minion, the back end that runs requests."""

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
        """Run a request and return the whole answer.

        Raises
        ------
        LinkError
            If no whole answer to this very request arrived. Whether the request
            ran is then unknown.
        """


class HttpMinionClient(MinionClient):
    """Minion reached over HTTP.

    The minion must echo ``Request-Id`` and send ``Content-Digest``, so that a
    crossed or truncated answer is recognised.
    """

    def __init__(self, host: str, port: int) -> None:
        """Talk to the minion at ``host:port``."""
        self._address = (host, port)

    async def run(
        self, request_id: str, body: bytes, timeout: timedelta
    ) -> bytes:
        """Run a request and return the whole answer."""
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
            problem = f'minion answered with status {reply.status}'
        elif reply.headers.get('request-id') != request_id:
            problem = 'answer belongs to another request'
        elif reply.headers.get('content-digest') != content_digest(reply.body):
            problem = 'answer does not match its digest'
        if problem:
            host, port = self._address
            raise LinkError(
                problem, step='run on minion', peer=f'{host}:{port}'
            )
        return reply.body
