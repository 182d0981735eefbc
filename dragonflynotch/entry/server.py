"""HTTP server that runs as a task of a daemon and stops gracefully."""

import asyncio
from typing import Any

import uvicorn

__all__ = ('HttpServer',)

# Longer than load balancers keep idle connections open. Otherwise they could
# send a request on a connection that the server is about to close.
_KEEP_ALIVE_TIMEOUT_S = 75


class HttpServer:
    """A uvicorn server without signal handlers; the daemon has its own.

    Parameters
    ----------
    app : ASGI application
        Application that handles the requests.
    host : str
        IP address to listen on.
    port : int
        Port to listen on.
    drain_limit_s : int, optional
        How long ``stop`` waits for requests in flight; unlimited by default.
    """

    def __init__(
        self, app: Any, host: str, port: int, drain_limit_s: int | None = None
    ) -> None:
        """Create the server without opening the port."""
        self._server = uvicorn.Server(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                http='h11',
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
                timeout_graceful_shutdown=drain_limit_s,
            )
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the port and serve requests in a new task."""
        self._task = asyncio.create_task(self._server._serve())

    async def stop(self) -> None:
        """Close the port and finish the requests in flight."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
