"""State of the other entries according to their digests."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.links.digest_codec import decode_guard
from dragonflynotch.links.entry_link_pb2 import Digest

__all__ = ('PeerState', 'RemoteEntries', 'RemoteGuardObserver')

# A peer that has sent no digest for longer does not count as live.
PEER_TTL = timedelta(seconds=3)


@dataclass(slots=True)
class PeerState:
    """State of another entry according to its last digest.

    Parameters
    ----------
    entry_id : str
        Unique name of the peer.
    incarnation : int
        Random number that identifies one process of the peer.
    data_centre : str
        Data centre of the peer.
    link : tuple of (str, int)
        Address of the peer's entry link.
    announcements : tuple of (str, int)
        Where guards send announcements to the peer.
    applied : int
        Number of the last digest of the peer that was applied.
    heard_at : datetime
        When the last digest was received.
    owned_fence : int
        Fencing token of the partition that the peer owns; 0 for none.
    is_table_reachable : bool
        Whether the peer reaches the table service.
    is_stopping : bool
        Whether the peer is stopping as planned.
    schema_versions : tuple of int
        Schema versions that the peer reads.
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
    """Is notified of the guards that other entries list."""

    @abstractmethod
    def guard_listed(self, entry_id: str, guard: GuardInfo) -> None:
        """Handle a guard that another entry added or changed."""

    @abstractmethod
    def guard_unlisted(self, entry_id: str, guard: GuardInfo) -> None:
        """Handle a guard that another entry no longer lists."""

    @abstractmethod
    def guards_renewed(self, entry_id: str, heard_at: datetime) -> None:
        """Count all guards that an entry lists as heard at ``heard_at``."""


class RemoteEntries:
    """Keeps the state of the other entries from their digests."""

    def __init__(self, observer: RemoteGuardObserver) -> None:
        """Notify ``observer`` of changes to the guards of other entries."""
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
        """Apply a digest if its base has been applied.

        Returns
        -------
        int
            Number of the last applied digest; 0 if a full digest is needed.
        """
        peer = self._update_peer(digest, now)
        is_base_applied = digest.base == 0 or digest.base == peer.applied
        if not is_base_applied:
            return 0 if digest.base > peer.applied else peer.applied
        if digest.base == 0:
            self._unlist(peer, tuple(peer.guards))
        self._apply_members(peer, digest, now)
        peer.applied = digest.number
        return digest.number

    def _update_peer(self, digest: Digest, now: datetime) -> PeerState:
        previous = self._peers.get(digest.entry_id)
        peer = previous
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
            if previous is not None:
                self._unlist(previous, tuple(previous.guards))
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
            guard = decode_guard(member, peer.data_centre, now)
            peer.guards[guard.guard_id] = guard
            self._observer.guard_listed(peer.entry_id, guard)
        # A single time, that of the guard heard longest ago, counts for all
        # guards, so that the cost of a digest does not grow with the size of
        # the data centre.
        heard_at = now - timedelta(milliseconds=digest.oldest_age_ms)
        self._observer.guards_renewed(peer.entry_id, heard_at)

    def _unlist(self, peer: PeerState, guard_ids: Iterable[str]) -> None:
        for guard_id in guard_ids:
            guard = peer.guards.pop(guard_id, None)
            if guard is not None:
                self._observer.guard_unlisted(peer.entry_id, guard)
