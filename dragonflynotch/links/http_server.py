"""HTTP server that passes complete requests to a handler."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import uvicorn

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
from dragonflynotch.observability.decisions import decision_log

__all__ = ('CallHandler', 'HttpServer')

CallHandler = Callable[[HttpCall], Awaitable[Reply]]

# Longer than the idle time-out of clients, so that the server does not close a
# connection that is about to be used.
_IDLE_CONNECTION_TIMEOUT_S = 60
_MAX_BODY_BYTES = 4 * 1024 * 1024
_TOO_LARGE = 413
_INTERNAL_ERROR = 500


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to listen on.
    handler : callable
        Returns the response to a complete request.
    """

    def __init__(self, address: tuple[str, int], handler: CallHandler) -> None:
        """Create the server; ``run`` starts it."""
        self._handler = handler
        self._is_draining = False
        self._server = uvicorn.Server(
            uvicorn.Config(
                self._serve,
                host=address[0],
                port=address[1],
                http='h11',
                ws='none',
                loop='asyncio',
                lifespan='off',
                interface='asgi3',
                proxy_headers=False,
                server_header=False,
                date_header=False,
                log_config=None,
                access_log=False,
                timeout_keep_alive=_IDLE_CONNECTION_TIMEOUT_S,
                timeout_graceful_shutdown=1,
            )
        )

    async def run(self) -> None:
        """Serve until ``stop`` is called."""
        await self._server._serve()

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def stop(self) -> None:
        """Stop once the requests in flight are answered."""
        self._server.should_exit = True

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        reply = await self._reply(scope, receive)
        if reply is None:
            return
        if self._is_draining:
            reply = replace(
                reply, headers={**reply.headers, 'Connection': 'close'}
            )
        await send_reply(send, reply)

    async def _reply(self, scope: Scope, receive: Receive) -> Reply | None:
        try:
            call = await read_call(scope, receive, _MAX_BODY_BYTES)
        except ConnectionResetError:
            return None
        except OversizedBodyError:
            return Reply(_TOO_LARGE, headers={'Connection': 'close'})
        try:
            return await self._handler(call)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            decision_log.record(
                'call_failed', path=scope['path'], error=repr(error)
            )
            return Reply(_INTERNAL_ERROR)
