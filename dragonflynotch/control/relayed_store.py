"""Row store that is reached through a peer while it turns this process away."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from random import Random
from typing import TypeVar

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.relay_backoff import RelayBackoff
from dragonflynotch.control.relay_directory import RelayDirectory
from dragonflynotch.control.report_delivery import ReportDelivery
from dragonflynotch.control.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    RowName,
    RowStore,
    RowWrite,
    Snapshot,
    StoreLimits,
)
from dragonflynotch.core.errors import (
    PlatformUnavailableError,
    UncertainWriteError,
)
from dragonflynotch.core.untrusted import shorten
from dragonflynotch.observability.decisions import decision_log

__all__ = ('RelayedRowStore',)

_OutcomeT = TypeVar('_OutcomeT')
_Call = Callable[[RowStore], Awaitable[_OutcomeT]]

# Further peers would hardly reach a store that refuses all of these.
_MAX_PEERS_PER_CALL = 3
# How often the store is called directly while calls are relayed.
_PROBE_INTERVAL_S = 1
# Interval at which the addresses of the peers are read while they are not
# needed. It grows from the start on, since all processes may start at once.
_MIN_REFRESH_INTERVAL_S = 1
_REFRESH_INTERVAL_GROWTH = 4
_MAX_REFRESH_INTERVAL_S = 60
# Interval by which the calls of several guards are spread, as a fraction.
_JITTER = 0.3


class RelayedRowStore(RowStore):
    """Row store that calls a peer if its own calls fail.

    A commit is repeated through a peer only if it certainly had no effect. If
    its outcome is unknown, the error is raised, and the next calls go through a
    peer. A commit that takes effect later fails its condition.

    Parameters
    ----------
    store : RowStore
        Store as reached by this process.
    directory : RelayDirectory
        Peers that may reach the store.
    clock : SteadyClock
        Measures the time since a call that no peer could relay.
    random : random.Random
        Spreads the calls of several processes.
    """

    def __init__(
        self,
        store: RowStore,
        directory: RelayDirectory,
        clock: SteadyClock,
        random: Random,
    ) -> None:
        """Create the store; ``run`` keeps the addresses of the peers."""
        self._store = store
        self._directory = directory
        self._random = random
        self._prefers_peers = False
        self._is_relaying = False
        self._relaying_changed = asyncio.Event()
        self._last_error = ''
        self._relay_backoff = RelayBackoff(clock, random)
        self._delivery = ReportDelivery(directory, clock, random)
        self._refresh_interval_s: float = _MIN_REFRESH_INTERVAL_S
        self._relayed_calls = 0
        self._failed_relays = 0

    @property
    def limits(self) -> StoreLimits:
        """What the store accepts in one transaction."""
        return self._store.limits

    @property
    def is_relaying(self) -> bool:
        """Whether calls go through a peer at present."""
        return self._is_relaying

    @property
    def relayed_calls(self) -> int:
        """Calls that a peer has relayed."""
        return self._relayed_calls

    @property
    def failed_relays(self) -> int:
        """Calls that no peer could relay."""
        return self._failed_relays

    @property
    def delivered_reports(self) -> int:
        """Reports of which the scheduler has received the ends directly."""
        return self._delivery.delivered_reports

    async def run(self) -> None:
        """Keep the addresses of the peers, and probe the store, for ever."""
        while True:
            try:
                await self._directory.refresh()
            except PlatformUnavailableError as error:
                self._last_error = str(error)
            else:
                self._stop_relaying('store_regained')
            self._relaying_changed.clear()
            try:
                async with asyncio.timeout(self._next_interval_s()):
                    await self._relaying_changed.wait()
            except TimeoutError:
                continue
            # The store has just failed, so the first probe waits as well.
            self._refresh_interval_s = _MIN_REFRESH_INTERVAL_S
            await asyncio.sleep(self._next_interval_s())

    async def read(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Snapshot:
        """Return the rows with ``first <= key < last``, in order."""
        return await self._call(
            lambda store: store.read(table, part, first, last)
        )

    async def read_page(
        self, table: str, part: str, first: str = '', last: str = ''
    ) -> Page:
        """Return the first rows of ``read`` in one call."""
        return await self._call(
            lambda store: store.read_page(table, part, first, last)
        )

    async def commit(
        self,
        writes: Sequence[RowWrite],
        conditions: Sequence[tuple[RowName, int]],
    ) -> Committed | Conflict:
        """Apply all writes if each condition row has its expected version."""
        return await self._call(lambda store: store.commit(writes, conditions))

    async def changes(
        self, table: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Return changes after a version; wait up to ``wait`` for the first."""
        return await self._call(lambda store: store.changes(table, after, wait))

    async def deliver_report(self, content: bytes) -> bool:
        """Deliver the ends in an encoded report to the peer that schedules.

        For a report that cannot be written, also not through a peer, since the
        store serves only a part of the rows. Does nothing for a time after no
        peer has accepted a report.
        """
        return await self._delivery.deliver(content)

    async def _call(self, call: _Call[_OutcomeT]) -> _OutcomeT:
        if self._prefers_peers:
            return await self._call_peers(call)
        try:
            return await call(self._store)
        except UncertainWriteError as error:
            self._last_error = str(error)
            self._prefers_peers = self._may_relay()
            raise
        except PlatformUnavailableError as error:
            self._last_error = str(error)
            if not self._may_relay():
                raise
        return await self._call_peers(call)

    async def _call_peers(self, call: _Call[_OutcomeT]) -> _OutcomeT:
        """Try the call on each peer in turn until one can relay it."""
        error = PlatformUnavailableError('no peer is known', step='relay')
        for peer in self._directory.peers[:_MAX_PEERS_PER_CALL]:
            try:
                outcome = await call(peer.store)
            except PlatformUnavailableError as peer_error:
                self._directory.record_failure(peer)
                error = peer_error
                continue
            except UncertainWriteError:
                self._directory.record_failure(peer)
                raise
            self._directory.record_success(peer)
            self._record_relayed(peer.node)
            return outcome
        self._record_failed_relay()
        raise error

    def _may_relay(self) -> bool:
        return bool(self._directory.peers) and self._relay_backoff.is_over

    def _record_relayed(self, peer: str) -> None:
        self._relayed_calls += 1
        self._relay_backoff.record_success()
        self._prefers_peers = True
        if not self._is_relaying:
            self._is_relaying = True
            self._relaying_changed.set()
            decision_log.record(
                'relay_begun', reason=shorten(self._last_error), peer=peer
            )

    def _record_failed_relay(self) -> None:
        self._failed_relays += 1
        self._relay_backoff.record_failure()
        self._stop_relaying('no_peer')

    def _stop_relaying(self, reason: str) -> None:
        self._prefers_peers = False
        if self._is_relaying:
            self._is_relaying = False
            decision_log.record(
                'relay_ended', reason=reason, calls=self._relayed_calls
            )

    def _next_interval_s(self) -> float:
        interval_s: float = _PROBE_INTERVAL_S
        if not self._is_relaying:
            interval_s = self._refresh_interval_s
            self._refresh_interval_s = min(
                _REFRESH_INTERVAL_GROWTH * interval_s, _MAX_REFRESH_INTERVAL_S
            )
        return interval_s * self._random.uniform(1 - _JITTER, 1 + _JITTER)
