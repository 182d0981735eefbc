"""Addresses of the processes that relay the store calls of guards."""

import asyncio
from collections.abc import Callable, Sequence
from zlib import crc32

import msgspec

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.relay_peer import PeerStore
from dragonflynotch.control.rows import (
    ABSENT,
    RELAYS,
    Conflict,
    Row,
    RowName,
    RowStore,
    RowWrite,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import Unreadable, parse_address
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.workflows.records import decode_row, encode_row

__all__ = ('RelayAnnouncement', 'RelayDirectory', 'RelayPeer', 'RelayRow')

_PART = RELAYS.parts[0]
# Rows of machines that no longer exist accumulate, so the oldest are removed.
_MAX_STORED_RELAYS = 64
# A guard tries few of them; the newest rows are those of running processes.
_MAX_KNOWN_RELAYS = 16
_ANNOUNCEMENT_RETRY_DELAY_S = 0.5
_WITHDRAWAL_TIMEOUT_S = 0.5
# A peer that failed is tried after all others for this long.
_FAILURE_MEMORY_MS = 30_000


class RelayRow(msgspec.Struct):
    """Address of a process that relays calls, as ``host:port``."""

    address: str


class RelayAnnouncement:
    """Keeps the row with the relay address of this process.

    Parameters
    ----------
    node : str
        Name of this process, the key of the row.
    address : tuple of (str, int)
        Address at which this process serves relayed calls.
    store : RowStore
        Store with the rows.
    """

    def __init__(
        self, node: str, address: tuple[str, int], store: RowStore
    ) -> None:
        """Create the announcement; ``publish`` writes it."""
        self._name = _row_name(node)
        self._content = encode_row(RelayRow('{}:{}'.format(*address)))
        self._store = store

    async def publish(self) -> None:
        """Write the row, with retries until it is written."""
        while True:
            if await self._try_write(self._content):
                return
            await asyncio.sleep(_ANNOUNCEMENT_RETRY_DELAY_S)

    async def withdraw(self) -> None:
        """Delete the row, if the store responds soon."""
        try:
            async with asyncio.timeout(_WITHDRAWAL_TIMEOUT_S):
                await self._try_write(None)
        except TimeoutError:
            # Guards try other peers once a call to this address has failed.
            decision_log.record('relay_not_withdrawn', reason='timeout')

    async def _try_write(self, content: bytes | None) -> bool:
        """Write the row and remove the oldest ones above the limit."""
        try:
            snapshot = await self._store.read(RELAYS.name, _PART)
            versions = {
                _row_name(row.key): row.version
                for row in _newest_first(snapshot.rows)
            }
            removed = list(versions)[_MAX_STORED_RELAYS:]
            writes = [RowWrite(name, None) for name in removed]
            changed = dict.fromkeys([*removed, self._name])
            outcome = await self._store.commit(
                [*writes, RowWrite(self._name, content)],
                # A late write of an earlier attempt fails the condition.
                [(name, versions.get(name, ABSENT)) for name in changed],
            )
        except (PlatformUnavailableError, UncertainWriteError):
            return False
        return not isinstance(outcome, Conflict)


class RelayPeer:
    """A process that relays calls, with the time of its last failure.

    Parameters
    ----------
    node : str
        Name of the process.
    address : tuple of (str, int)
        Address at which it serves relayed calls.
    store : PeerStore
        Store as seen through it.
    """

    def __init__(
        self, node: str, address: tuple[str, int], store: PeerStore
    ) -> None:
        """Start without a failure."""
        self.node = node
        self.address = address
        self.store = store
        self.failed_ms: int | None = None


class RelayDirectory:
    """Peers to which a guard can hand its calls.

    Parameters
    ----------
    node : str
        Name of this process. It determines the order of the peers, so that
        the guards spread over them.
    store : RowStore
        Store with the addresses.
    connect : callable
        Returns the store as seen through the process at an address.
    clock : SteadyClock
        Measures the time since a failure.
    """

    def __init__(
        self,
        node: str,
        store: RowStore,
        connect: Callable[[tuple[str, int]], PeerStore],
        clock: SteadyClock,
    ) -> None:
        """Create the directory without any peer."""
        self._node = node
        self._store = store
        self._connect = connect
        self._clock = clock
        self._peers: dict[tuple[str, tuple[str, int]], RelayPeer] = {}

    @property
    def peers(self) -> list[RelayPeer]:
        """Peers in the order in which they are tried."""
        return sorted(self._peers.values(), key=self._rank)

    async def refresh(self) -> None:
        """Read the addresses.

        Raises
        ------
        PlatformUnavailableError
            If the store does not respond; the known peers are kept.
        """
        snapshot = await self._store.read(RELAYS.name, _PART)
        peers: dict[tuple[str, tuple[str, int]], RelayPeer] = {}
        for row in _newest_first(snapshot.rows)[:_MAX_KNOWN_RELAYS]:
            address = _decode_address(row)
            if address is None or row.key == self._node:
                continue
            peer_id = (row.key, address)
            peers[peer_id] = self._peers.get(peer_id) or RelayPeer(
                row.key, address, self._connect(address)
            )
        if peers.keys() != self._peers.keys():
            decision_log.record(
                'relay_peers_changed', peers=sorted(node for node, _ in peers)
            )
        self._peers = peers

    def record_failure(self, peer: RelayPeer) -> None:
        """Try this peer after all others from now on."""
        peer.failed_ms = self._clock.now_ms()

    def record_success(self, peer: RelayPeer) -> None:
        """Forget an earlier failure of this peer."""
        peer.failed_ms = None

    def _rank(self, peer: RelayPeer) -> tuple[int, int]:
        now_ms = self._clock.now_ms()
        failed_ms = peer.failed_ms
        if failed_ms is None or now_ms - failed_ms > _FAILURE_MEMORY_MS:
            failed_ms = 0
        return failed_ms, crc32(f'{self._node}/{peer.node}'.encode())


def _row_name(node: str) -> RowName:
    return RowName(RELAYS.name, _PART, node)


def _newest_first(rows: Sequence[Row]) -> list[Row]:
    return sorted(rows, key=lambda row: row.version, reverse=True)


def _decode_address(row: Row) -> tuple[str, int] | None:
    relay = decode_row(row.content, RelayRow)
    if isinstance(relay, Unreadable):
        unreadable_entries.record('relay_unreadable', relay, node=row.key)
        return None
    return parse_address(relay.address)
