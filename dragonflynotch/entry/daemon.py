"""The entry process: start, servers, graceful stop."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from dragonflynotch.core.clock import SystemClock
from dragonflynotch.core.workspaces import ConfigurationView
from dragonflynotch.entry.membership import MembershipListener
from dragonflynotch.entry.request_path import RequestPath, create_server
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.records.settings import EntrySettings

__all__ = ('Entry',)

_MS_PER_S = 1000
# All guards announce themselves within this time, so an entry that is ready
# knows the members.
_MEMBERSHIP_S = 1.0

_log = part_logger('entry')


class Entry:
    """One entry with its servers.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configuration: Callable[[], ConfigurationView] = ConfigurationView,
    ) -> None:
        """Create the entry from validated settings."""
        self._settings = settings
        clock = SystemClock()
        self._path = RequestPath(settings, configuration, clock)
        self._membership = MembershipListener(
            settings.entry_id, self._path.routing, clock, self._path.queue.pump
        )
        self._server = create_server(self._path.create_app(), settings)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then finish requests and return."""
        settings = self._settings
        await self._membership.open(*settings.announcements.pair)
        self._path.open()
        membership = asyncio.create_task(self._membership.run())
        server = asyncio.create_task(self._server._serve())
        readiness = asyncio.create_task(self._become_ready())
        _log.info('started entry {}', settings.entry_id)
        await stop.wait()
        readiness.cancel()
        # Callers get answers while the load balancer takes notice.
        self._path.lifecycle.begin_stop()
        await asyncio.sleep(settings.stop_notice_ms / _MS_PER_S)
        self._server.should_exit = True
        await server
        membership.cancel()
        with suppress(asyncio.CancelledError):
            await membership
        await self._path.close()
        _log.info('stopped entry {}', settings.entry_id)

    async def _become_ready(self) -> None:
        await asyncio.sleep(_MEMBERSHIP_S)
        self._path.lifecycle.become_ready()
