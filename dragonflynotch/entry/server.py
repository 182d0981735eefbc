"""HTTP server of a daemon, run as a task with a graceful stop."""

import asyncio
from typing import Any

import uvicorn

__all__ = ('HttpServer',)

# Longer than load balancers keep idle connections, which would else send a
# request on a connection that is about to be closed.
_KEEP_ALIVE_S = 75


class HttpServer:
    """One uvicorn server; signals are handled by the daemon, not by uvicorn.

    Parameters
    ----------
    app : ASGI application
        What to serve.
    host : str
        IP address to listen on.
    port : int
        Port to listen on.
    drain_limit_s : int, optional
        How long a stop waits for requests in flight; unlimited by default.
    """

    def __init__(
        self, app: Any, host: str, port: int, drain_limit_s: int | None = None
    ) -> None:
        """Create the server; ``start`` opens the port."""
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
                timeout_keep_alive=_KEEP_ALIVE_S,
                timeout_graceful_shutdown=drain_limit_s,
            )
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Serve from now on."""
        self._task = asyncio.create_task(self._server._serve())

    async def stop(self) -> None:
        """Close idle connections, finish requests in flight, close the port."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
