"""Keeps the configuration and the registration of an entry current."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.core.membership import Membership
from dragonflynotch.entry.configuration.configuration_copies import (
    ConfigurationCopies,
)
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
)
from dragonflynotch.entry.members.registry import (
    REGISTRATION_INTERVAL,
    EntryRegistry,
)
from dragonflynotch.entry.peers.exchange import PeerExchange
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.records.documents import READABLE_SCHEMA_VERSIONS

__all__ = ('EntrySync', 'readable_versions')

POLL_INTERVAL = timedelta(seconds=2)
_STARTUP_POLL_INTERVAL = timedelta(seconds=0.2)
# Every live guard announces itself within this time after the entry opened its
# socket, so the highest revision in use is known afterwards.
GUARD_DISCOVERY_TIME = timedelta(seconds=1)


class EntrySync:
    """Polls the table service; reads copies from guards during an outage.

    Parameters
    ----------
    configuration : ConfigurationService
        Configuration to keep current.
    copies : ConfigurationCopies
        Copies of the configuration at guards.
    registry : EntryRegistry
        Registers this entry and lists the others.
    exchange : PeerExchange
        Is given the peers that the registry lists.
    own_versions : callable
        Returns the schema versions that this entry and all its guards read.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        copies: ConfigurationCopies,
        registry: EntryRegistry,
        exchange: PeerExchange,
        own_versions: Callable[[], tuple[int, ...]],
        clock: Clock,
    ) -> None:
        """Create the poller; ``run`` starts it."""
        self._configuration = configuration
        self._copies = copies
        self._registry = registry
        self._exchange = exchange
        self._own_versions = own_versions
        self._clock = clock
        self._started_at = clock.now()
        self._registered_at = clock.now() - REGISTRATION_INTERVAL

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            is_ready = self._configuration.is_ready
            interval = POLL_INTERVAL if is_ready else _STARTUP_POLL_INTERVAL
            await asyncio.sleep(interval.total_seconds())

    async def poll(self) -> None:
        """Update the configuration once, and register the entry if it is due.

        During an outage of the table service an entry that is not ready reads
        the copies at guards.
        """
        try:
            await self._configuration.refresh()
        except DragonflynotchError:
            self._exchange.is_table_reachable = False
            await self._load_copies()
            return
        self._exchange.is_table_reachable = True
        await self._register()

    async def _register(self) -> None:
        now = self._clock.now()
        if now - self._registered_at < REGISTRATION_INTERVAL:
            return
        if not await self._registry.refresh(self._own_versions()):
            return
        self._registered_at = now
        for entry in self._registry.entries:
            if entry.is_recent:
                self._exchange.add_peer(entry.link)

    async def _load_copies(self) -> None:
        is_discovery_over = (
            self._clock.now() - self._started_at >= GUARD_DISCOVERY_TIME
        )
        if self._configuration.is_ready or not is_discovery_over:
            return
        await self._copies.fetch_copies()
        self._configuration.confirm_copy()


def readable_versions(
    entry_id: str,
    membership: Membership,
    remote: RemoteEntries,
    registry: EntryRegistry,
    clock: Clock,
) -> Mapping[str, tuple[int, ...]]:
    """Return the schema versions that each running entry and guard reads."""
    versions: dict[str, tuple[int, ...]] = {
        f'entry {entry_id}': READABLE_SCHEMA_VERSIONS
    }
    for entry in registry.entries:
        versions[f'entry {entry.entry_id}'] = entry.schema_versions
    for guard in membership.guards():
        versions[f'guard {guard.guard_id}'] = guard.schema_versions
    for peer in remote.live(clock.now()):
        versions[f'entry {peer.entry_id}'] = peer.schema_versions
        for guard in peer.guards.values():
            versions[f'guard {guard.guard_id}'] = guard.schema_versions
    return versions
