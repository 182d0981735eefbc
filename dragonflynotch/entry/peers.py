"""Exchange of digests and configuration with the other entries."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.configuration import Changes
from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.membership import GuardInfo, Membership
from dragonflynotch.entry.configuration import ConfigurationService
from dragonflynotch.links.digest_codec import (
    decode_configuration,
    decode_member,
    encode_configuration,
    encode_member,
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
    'PeerState',
    'SchedulingPort',
    'RemoteEntries',
    'RemoteGuardObserver',
)

DIGEST_INTERVAL = timedelta(seconds=0.4)
# A peer that sent no digest for this time is not counted as running.
PEER_TTL = timedelta(seconds=3)

_UNAVAILABLE = 503

_log = part_logger('entry.peers')


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Who this entry is towards the others."""

    entry_id: str
    incarnation: int
    data_centre: str
    link: tuple[str, int]
    announcements: tuple[str, int]
    schema_versions: tuple[int, ...]


@dataclass(slots=True)
class PeerState:
    """What another entry said last.

    Parameters
    ----------
    entry_id : str
        Unique name of the peer.
    incarnation : int
        Random number drawn at the start of the peer.
    data_centre : str
        Data centre of the peer.
    link : tuple of (str, int)
        Address of the peer's entry link.
    announcements : tuple of (str, int)
        Where guards send announcements to the peer.
    applied : int
        Number of the last digest of the peer that was applied.
    heard_at : datetime
        When that digest was received.
    owned_fence : int
        Fence of the partition that the peer owns; 0 for none.
    is_table_reachable : bool
        Whether the peer reaches the table service.
    is_stopping : bool
        Whether the peer is stopping as planned.
    schema_versions : tuple of int
        Record versions that the peer reads.
    guards : dict of str to GuardInfo
        Guards of the peer's data centre.
    """

    entry_id: str
    incarnation: int
    data_centre: str
    link: tuple[str, int]
    announcements: tuple[str, int]
    applied: int
    heard_at: datetime
    owned_fence: int = 0
    is_table_reachable: bool = True
    is_stopping: bool = False
    schema_versions: tuple[int, ...] = ()
    guards: dict[str, GuardInfo] = field(default_factory=dict)


class RemoteGuardObserver(ABC):
    """Receives what digests say of the guards of other entries."""

    @abstractmethod
    def guard_listed(self, entry_id: str, guard: GuardInfo) -> None:
        """Take over a guard that is new or changed at an entry."""

    @abstractmethod
    def guard_unlisted(self, entry_id: str, guard: GuardInfo) -> None:
        """Note that an entry lists a guard no more."""

    @abstractmethod
    def guards_renewed(self, entry_id: str, heard_at: datetime) -> None:
        """Count all guards listed by an entry as heard at a time."""


class RemoteEntries:
    """Digests received from the other entries."""

    def __init__(self, observer: RemoteGuardObserver) -> None:
        """Pass changes on to ``observer``."""
        self._observer = observer
        self._peers: dict[str, PeerState] = {}

    def live(self, now: datetime) -> tuple[PeerState, ...]:
        """Return the peers that sent a digest within the last 3 s."""
        return tuple(
            peer
            for peer in self._peers.values()
            if now - peer.heard_at <= PEER_TTL
        )

    def apply(self, digest: Digest, now: datetime) -> int:
        """Apply a digest.

        Returns
        -------
        int
            Number of the digest that is in force; 0 if a full one is needed.
        """
        peer = self._peer(digest, now)
        is_known_base = digest.base == 0 or digest.base == peer.applied
        if not is_known_base:
            return 0 if digest.base > peer.applied else peer.applied
        if digest.base == 0:
            self._unlist(peer, tuple(peer.guards))
        self._apply_members(peer, digest, now)
        peer.applied = digest.number
        return digest.number

    def _peer(self, digest: Digest, now: datetime) -> PeerState:
        known = self._peers.get(digest.entry_id)
        peer = known
        if peer is None or peer.incarnation != digest.incarnation:
            peer = PeerState(
                entry_id=digest.entry_id,
                incarnation=digest.incarnation,
                data_centre=digest.data_centre,
                link=(digest.link_host, digest.link_port),
                announcements=(
                    digest.announcements_host,
                    digest.announcements_port,
                ),
                applied=0,
                heard_at=now,
            )
            if known is not None:
                self._unlist(known, tuple(known.guards))
            self._peers[digest.entry_id] = peer
        peer.heard_at = now
        peer.owned_fence = digest.owned_fence
        peer.is_table_reachable = digest.is_table_reachable
        peer.is_stopping = digest.is_stopping
        peer.schema_versions = tuple(digest.schema_versions)
        return peer

    def _apply_members(
        self, peer: PeerState, digest: Digest, now: datetime
    ) -> None:
        self._unlist(peer, digest.left)
        for member in digest.changed:
            guard = decode_member(member, peer.data_centre, now)
            peer.guards[guard.guard_id] = guard
            self._observer.guard_listed(peer.entry_id, guard)
        # One time for all members, so that the cost of a digest does not grow
        # with the size of a data centre.
        heard_at = now - timedelta(milliseconds=digest.oldest_age_ms)
        self._observer.guards_renewed(peer.entry_id, heard_at)

    def _unlist(self, peer: PeerState, guard_ids: Iterable[str]) -> None:
        for guard_id in guard_ids:
            guard = peer.guards.pop(guard_id, None)
            if guard is not None:
                self._observer.guard_unlisted(peer.entry_id, guard)


class SchedulingPort(ABC):
    """What the exchange needs from the scheduling part of this entry."""

    @property
    @abstractmethod
    def owned_fence(self) -> int:
        """Fence of the owned partition; 0 for none."""

    @abstractmethod
    def grant(self, owner: str, fence: int) -> timedelta | None:
        """Promise an owner not to take over for a time."""

    @abstractmethod
    def receive_grant(self, entry_id: str, asked_at: datetime) -> None:
        """Record that an entry granted a digest sent at ``asked_at``."""

    @abstractmethod
    async def answer(self, call: JobCall) -> JobReply:
        """Return the answer of this entry's partition to a job call."""


class PeerExchange(EntryLinkHandler):
    """Sends digests to the other entries and answers theirs.

    Parameters
    ----------
    identity : EntryIdentity
        Who this entry is.
    membership : Membership
        Guards that announce themselves to this entry.
    remote : RemoteEntries
        Receives digests.
    configuration : ConfigurationService
        Configuration of this entry.
    connect : callable
        Returns a link to an address ``host:port``.
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
        self._acknowledged: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheduling: SchedulingPort | None = None
        self.is_stopping = False
        self.is_table_reachable = True

    def attach(self, scheduling: SchedulingPort) -> None:
        """Exchange grants and job calls for ``scheduling``."""
        self._scheduling = scheduling

    def link_to(self, address: str) -> EntryLink | None:
        """Return the link to a peer, if there is one."""
        return self._links.get(address)

    def add_peer(self, address: str) -> None:
        """Exchange digests with the entry at ``host:port`` from now on."""
        own = f'{self._identity.link[0]}:{self._identity.link[1]}'
        if address != own and address not in self._links:
            self._links[address] = self._connect(address)
            self._start(self._exchange(address))

    def publish(self, changes: Changes) -> None:
        """Push committed changes to all peers."""
        update = encode_configuration(changes)
        for link in self._links.values():
            self._start(_push(link, update))

    async def close(self) -> None:
        """Stop the exchange and close all links."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._links.values():
            await link.close()

    async def on_digest(self, digest: Digest) -> DigestReply:
        """Apply a digest of a peer."""
        address = f'{digest.link_host}:{digest.link_port}'
        self.add_peer(address)
        applied = self._remote.apply(digest, self._clock.now())
        if self._configuration.notice_revision(digest.configuration_revision):
            self._start(self._pull(self._links[address]))
        return DigestReply(
            grant_ms=milliseconds(self._grant(digest)),
            entry_id=self._identity.entry_id,
            incarnation=self._identity.incarnation,
            applied=applied,
            configuration_revision=self._configuration.log.revision,
        )

    async def on_push(self, update: ConfigurationUpdate) -> int:
        """Apply pushed changes; gaps are filled by the next digest."""
        self._configuration.apply(decode_configuration(update))
        return self._configuration.log.revision

    async def on_pull(self, revision: int) -> ConfigurationUpdate:
        """Return what a peer lacks."""
        return encode_configuration(self._configuration.log.since(revision))

    async def on_job_call(self, call: JobCall) -> JobReply:
        """Answer a forwarded job call."""
        if self._scheduling is None:
            return JobReply(status=_UNAVAILABLE)
        return await self._scheduling.answer(call)

    def _grant(self, digest: Digest) -> timedelta:
        is_own = digest.data_centre == self._identity.data_centre
        if self._scheduling is None or not is_own or not digest.owned_fence:
            return timedelta()
        return (
            self._scheduling.grant(digest.entry_id, digest.owned_fence)
            or timedelta()
        )

    async def _exchange(self, address: str) -> None:
        link = self._links[address]
        while True:
            asked_at = self._clock.now()
            try:
                reply = await link.send_digest(self._digest(address))
            except LinkError as error:
                self._acknowledged[address] = 0
                _log.debug('digest to {} failed: {}', address, error)
            else:
                self._acknowledged[address] = reply.applied
                if reply.grant_ms and self._scheduling is not None:
                    self._scheduling.receive_grant(reply.entry_id, asked_at)
                if self._configuration.notice_revision(
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
            _log.warning('configuration pull failed: {}', error)
            return
        self._configuration.apply(decode_configuration(update))

    def _digest(self, address: str) -> Digest:
        now = self._clock.now()
        base = self._acknowledged.get(address, 0)
        delta = self._membership.delta(base, now)
        identity = self._identity
        return Digest(
            entry_id=identity.entry_id,
            incarnation=identity.incarnation,
            data_centre=identity.data_centre,
            number=delta.version,
            base=base,
            changed=[encode_member(guard, now) for guard in delta.changed],
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

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _push(link: EntryLink, update: ConfigurationUpdate) -> None:
    try:
        await link.push_configuration(update)
    except LinkError as error:
        _log.warning('configuration push failed: {}', error)
