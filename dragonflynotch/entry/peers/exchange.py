"""Exchange of digests and configuration with the other entries.

A digest lists the guards of an entry that changed since the last digest which
the receiver has acknowledged.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.configuration import Changes
from dragonflynotch.core.errors import InvalidInputError, LinkError
from dragonflynotch.core.membership import Membership
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
)
from dragonflynotch.entry.peers.remote_entries import RemoteEntries
from dragonflynotch.links.digest_codec import (
    decode_configuration,
    encode_configuration,
    encode_guard,
    milliseconds,
)
from dragonflynotch.links.entry_link import EntryLink, EntryLinkHandler
from dragonflynotch.links.entry_link_pb2 import (
    ConfigurationPosition,
    ConfigurationUpdate,
    Digest,
    DigestReply,
    JobCall,
    JobReply,
)
from dragonflynotch.observability.logs import part_logger

__all__ = (
    'DIGEST_INTERVAL',
    'EntryIdentity',
    'PeerExchange',
    'SchedulingHandler',
)

DIGEST_INTERVAL = timedelta(seconds=0.4)

_HTTP_UNAVAILABLE = 503

_log = part_logger('entry.peers')


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """How this entry identifies itself to the others."""

    entry_id: str
    incarnation: int
    data_centre: str
    link: tuple[str, int]
    announcements: tuple[str, int]
    schema_versions: tuple[int, ...]


class SchedulingHandler(ABC):
    """Handles the requests of other entries that concern scheduling."""

    @property
    @abstractmethod
    def owned_fence(self) -> int:
        """Fencing token of the owned partition; 0 for none."""

    @abstractmethod
    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over its partition for a time.

        Returns ``None`` if the grant is refused.
        """

    @abstractmethod
    def receive_grant(self, entry_id: str, sent_at: datetime) -> None:
        """Record a grant in the reply to the digest sent at ``sent_at``."""

    @abstractmethod
    async def answer(self, call: JobCall) -> JobReply:
        """Answer a job call from the partition of this entry."""


class PeerExchange(EntryLinkHandler):
    """Sends digests to the other entries and answers theirs.

    Parameters
    ----------
    identity : EntryIdentity
        Identity of this entry.
    membership : Membership
        Guards that announce themselves to this entry.
    remote : RemoteEntries
        Is updated with received digests.
    configuration : ConfigurationService
        Configuration of this entry.
    connect : callable
        Opens a link to the entry at ``host:port``.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        membership: Membership,
        remote: RemoteEntries,
        configuration: ConfigurationService,
        connect: Callable[[str], EntryLink],
        clock: Clock,
    ) -> None:
        """Create the exchange without peers."""
        self._identity = identity
        self._membership = membership
        self._remote = remote
        self._configuration = configuration
        self._connect = connect
        self._clock = clock
        self._links: dict[str, EntryLink] = {}
        self._acknowledged_versions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheduling: SchedulingHandler | None = None
        self.is_stopping = False
        self.is_table_reachable = True

    def attach(self, scheduling: SchedulingHandler) -> None:
        """Pass grants and job calls to ``scheduling`` from now on."""
        self._scheduling = scheduling

    def link_to(self, address: str) -> EntryLink | None:
        """Return the link to the peer at ``host:port``, if there is one."""
        return self._links.get(address)

    def add_peer(self, address: str) -> None:
        """Start to exchange digests with the entry at ``host:port``."""
        own_address = f'{self._identity.link[0]}:{self._identity.link[1]}'
        if address != own_address and address not in self._links:
            self._links[address] = self._connect(address)
            self._start_task(self._exchange_digests(address))

    def publish(self, changes: Changes) -> None:
        """Send committed changes to all peers."""
        update = encode_configuration(changes)
        for link in self._links.values():
            self._start_task(_push(link, update))

    async def close(self) -> None:
        """Stop the exchange and close all links."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            await link.close()

    async def on_digest(self, digest: Digest) -> DigestReply:
        """Apply the digest of a peer and return the reply."""
        address = f'{digest.link_host}:{digest.link_port}'
        self.add_peer(address)
        applied = self._remote.apply(digest, self._clock.now())
        is_behind = self._configuration.observe_revision(
            digest.configuration_revision
        )
        # A predecessor at the own address has no link.
        link = self.link_to(address)
        if is_behind and link is not None:
            self._start_task(self._pull(link))
        return DigestReply(
            grant_ms=milliseconds(self._grant_time(digest)),
            entry_id=self._identity.entry_id,
            incarnation=self._identity.incarnation,
            applied=applied,
            configuration_revision=self._configuration.log.revision,
        )

    async def on_push(self, update: ConfigurationUpdate) -> int:
        """Apply changes that a peer sent.

        If earlier changes are missing, the revision in the next digest of the
        peer makes this entry pull them.
        """
        self._configuration.apply(decode_configuration(update))
        return self._configuration.log.revision

    async def on_pull(self, revision: int) -> ConfigurationUpdate:
        """Return what a peer at ``revision`` lacks of the configuration."""
        return encode_configuration(
            self._configuration.log.update_since(revision)
        )

    async def on_job_call(self, call: JobCall) -> JobReply:
        """Answer a forwarded job call."""
        if self._scheduling is None:
            return JobReply(status=_HTTP_UNAVAILABLE)
        return await self._scheduling.answer(call)

    def _grant_time(self, digest: Digest) -> timedelta:
        is_same_data_centre = digest.data_centre == self._identity.data_centre
        if (
            self._scheduling is None
            or not is_same_data_centre
            or not digest.owned_fence
        ):
            return timedelta()
        return (
            self._scheduling.grant(digest.entry_id, digest.owned_fence)
            or timedelta()
        )

    async def _exchange_digests(self, address: str) -> None:
        link = self._links[address]
        while True:
            sent_at = self._clock.now()
            try:
                reply = await link.send_digest(self._digest(address))
            except LinkError as error:
                self._acknowledged_versions[address] = 0
                _log.debug('digest to {} failed: {}', address, error)
            else:
                self._acknowledged_versions[address] = reply.applied
                if reply.grant_ms and self._scheduling is not None:
                    self._scheduling.receive_grant(reply.entry_id, sent_at)
                if self._configuration.observe_revision(
                    reply.configuration_revision
                ):
                    await self._pull(link)
            await asyncio.sleep(DIGEST_INTERVAL.total_seconds())

    async def _pull(self, link: EntryLink) -> None:
        position = ConfigurationPosition(
            revision=self._configuration.log.revision
        )
        try:
            update = await link.pull_configuration(position)
        except LinkError as error:
            _log.warning(
                'fetching the configuration from a peer failed: {}', error
            )
            return
        try:
            self._configuration.apply(decode_configuration(update))
        except InvalidInputError as error:
            _log.error('the configuration of a peer is unreadable: {}', error)

    def _digest(self, address: str) -> Digest:
        now = self._clock.now()
        base = self._acknowledged_versions.get(address, 0)
        delta = self._membership.delta(base, now)
        identity = self._identity
        return Digest(
            entry_id=identity.entry_id,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            number=delta.version,
            base=base,
            changed=[encode_guard(guard, now) for guard in delta.changed],
            left=delta.left,
            oldest_age_ms=milliseconds(delta.oldest_age),
            configuration_revision=self._configuration.log.revision,
            schema_versions=identity.schema_versions,
            owned_fence=0
            if self._scheduling is None
            else self._scheduling.owned_fence,
            is_table_reachable=self.is_table_reachable,
            link_host=identity.link[0],
            link_port=identity.link[1],
            announcements_host=identity.announcements[0],
            announcements_port=identity.announcements[1],
            is_stopping=self.is_stopping,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _push(link: EntryLink, update: ConfigurationUpdate) -> None:
    try:
        await link.push_configuration(update)
    except LinkError as error:
        _log.warning(
            'sending a configuration change to a peer failed: {}', error
        )
