"""The entry process: start, servers, graceful stop."""

import asyncio
from contextlib import suppress
from random import Random

import uvicorn

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.core.routing import RoutingTable
from dragonflynotch.entry.callers import create_caller_app
from dragonflynotch.entry.dispatcher import Dispatcher
from dragonflynotch.entry.membership import MembershipListener
from dragonflynotch.links.guard_link import HttpGuardLink
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.settings import EntrySettings

__all__ = ('Entry',)

_log = part_logger('entry')


class Entry:
    """One entry with its servers."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the entry from validated settings."""
        self._settings = settings
        clock = SystemClock()
        routing = RoutingTable(settings.data_centre, Random())
        self._link = HttpGuardLink()
        self._membership = MembershipListener(settings.entry_id, routing, clock)
        dispatcher = Dispatcher(routing, self._link, clock)
        self._server = uvicorn.Server(
            uvicorn.Config(
                create_caller_app(dispatcher, clock),
                host=settings.callers.host,
                port=settings.callers.port,
                http='h11',
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
            )
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then finish requests and return."""
        settings = self._settings
        await self._membership.open(*settings.announcements.pair)
        membership = asyncio.create_task(self._membership.run())
        server = asyncio.create_task(self._server._serve())
        _log.info('started entry {}', settings.entry_id)
        await stop.wait()
        self._server.should_exit = True
        await server
        membership.cancel()
        with suppress(asyncio.CancelledError):
            await membership
        await self._link.close()
        _log.info('stopped entry {}', settings.entry_id)
