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
from dragonflynotch.entry.configuration.in_force import ConfigurationService
from dragonflynotch.entry.members.registry import (
    REGISTRATION_INTERVAL,
    EntryRegistry,
)
from dragonflynotch.entry.peers.exchange import PeerExchange
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.records.documents import READABLE_SCHEMA_VERSIONS

__all__ = ('EntrySync', 'readable_versions')

POLL_INTERVAL = timedelta(seconds=2)
_START_POLL_INTERVAL = timedelta(seconds=0.2)
# Every live guard announces itself within this time after the entry opened
# its socket, so the highest revision in use is known after it.
OBSERVATION_TIME = timedelta(seconds=1)


class EntrySync:
    """Polls the table service and falls back to copies in an outage.

    Parameters
    ----------
    configuration : ConfigurationService
        Configuration to keep current.
    copies : ConfigurationCopies
        Copies at guards.
    registry : EntryRegistry
        Row of this entry.
    exchange : PeerExchange
        Learns new peers from the registry.
    own_versions : callable
        Returns the record versions that this entry and its guards read.
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
        """Create the task; ``run`` starts it."""
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
            interval = POLL_INTERVAL if is_ready else _START_POLL_INTERVAL
            await asyncio.sleep(interval.total_seconds())

    async def poll(self) -> None:
        """Catch up once with the table service or with copies."""
        try:
            await self._configuration.refresh()
        except DragonflynotchError:
            self._exchange.is_table_reachable = False
            await self._start_from_copies()
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

    async def _start_from_copies(self) -> None:
        has_observed = self._clock.now() - self._started_at >= OBSERVATION_TIME
        if self._configuration.is_ready or not has_observed:
            return
        await self._copies.fetch_newest()
        self._configuration.confirm_copy()


def readable_versions(
    entry_id: str,
    membership: Membership,
    remote: RemoteEntries,
    registry: EntryRegistry,
    clock: Clock,
) -> Mapping[str, tuple[int, ...]]:
    """Return the record versions that each running member reads."""
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
