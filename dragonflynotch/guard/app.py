"""HTTP interface of the guard as a bare ASGI application."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from dragonflynotch.core.requests import content_digest
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.guard.order_api import TaskApi
from dragonflynotch.guard.requests import (
    HandOver,
    Ran,
    Refused,
    RequestRunner,
)
from dragonflynotch.links.asgi import (
    HttpCall,
    OversizedBodyError,
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)

__all__ = ('GuardApp',)

_MAX_BODY_BYTES = 1024 * 1024
_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_NOT_FOUND = 404
_TOO_LARGE = 413
_UNAVAILABLE = 503
_TIMEOUT = 504


class GuardApp:
    """Serves entries."""

    def __init__(
        self,
        runner: RequestRunner,
        configuration: ConfigurationCopy,
        start_drain: Callable[[], None],
        tasks: TaskApi | None = None,
    ) -> None:
        """Serve requests with ``runner`` and orders with ``tasks``."""
        self._runner = runner
        self._configuration = configuration
        self._start_drain = start_drain
        self._tasks = tasks

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        try:
            call = await read_call(scope, receive, _MAX_BODY_BYTES)
        except OversizedBodyError:
            reply = Reply(_TOO_LARGE)
        else:
            reply = await self._answer(call)
        await send_reply(send, reply)

    async def _answer(self, call: HttpCall) -> Reply:
        if call.path == '/v1/requests' and call.method == 'POST':
            return await self._run(call)
        if call.path == '/v1/configuration':
            return self._configure(call)
        if call.path == '/v1/drain' and call.method == 'POST':
            self._start_drain()
            return Reply(_ACCEPTED)
        if self._tasks is not None and self._tasks.serves(call):
            return self._tasks.answer(call)
        if call.path == '/live':
            return Reply(_OK)
        if call.path == '/ready':
            is_ready = not self._runner.is_draining
            return Reply(_OK if is_ready else _UNAVAILABLE)
        return Reply(_NOT_FOUND)

    def _configure(self, call: HttpCall) -> Reply:
        copy = self._configuration
        if call.method == 'PUT':
            incarnation = call.headers.get('guard-incarnation', '')
            if not copy.put(call.body, incarnation):
                return _problem(_BAD_REQUEST, 'refused', 'update not usable')
        body = copy.get() if call.method == 'GET' else b''
        return Reply(_OK, body, {'Configuration-Revision': str(copy.revision)})

    async def _run(self, call: HttpCall) -> Reply:
        headers = call.headers
        try:
            hand_over = HandOver(
                request_id=headers['request-id'],
                attempt=headers['attempt'],
                incarnation=int(headers['guard-incarnation']),
                timeout=timedelta(
                    milliseconds=int(headers['request-deadline-ms'])
                ),
                body=call.body,
            )
        except (KeyError, ValueError) as error:
            return _problem(_BAD_REQUEST, 'refused', f'bad header: {error}')
        if headers.get('content-digest') != content_digest(call.body):
            return _problem(_BAD_REQUEST, 'refused', 'digest_mismatch')
        outcome = await self._runner.run(hand_over)
        if isinstance(outcome, Ran):
            return Reply(
                _OK,
                outcome.body,
                {
                    'Request-Id': hand_over.request_id,
                    'Content-Digest': content_digest(outcome.body),
                },
            )
        if isinstance(outcome, Refused):
            return _problem(_UNAVAILABLE, 'refused', outcome.reason)
        return _problem(_TIMEOUT, 'unknown', outcome.reason)


def _problem(status: int, outcome: str, reason: str) -> Reply:
    body = msgspec.json.encode({'outcome': outcome, 'reason': reason})
    return Reply(status, body, {'Content-Type': 'application/json'})
