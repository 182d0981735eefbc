"""Delivers a report that cannot be written to the peers that may schedule."""

from enum import Enum
from random import Random

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.relay_backoff import RelayBackoff
from dragonflynotch.control.relay_directory import RelayDirectory, RelayPeer
from dragonflynotch.control.relay_peer import EndsHeldError, SilentPeerError
from dragonflynotch.core.errors import (
    InvalidInputError,
    PlatformUnavailableError,
)
from dragonflynotch.observability.decisions import decision_log

__all__ = ('ReportDelivery',)

# Any of the peers may be the one that schedules.
_MAX_PEERS_PER_DELIVERY = 8
# A receiver that schedules records ends within this time, so that the
# deliveries stop. Otherwise another process may schedule.
_MAX_RECORDING_MS = 1000
# Deliveries with a longer gap are not of the same ends.
_MAX_REPEAT_GAP_MS = 2500


class _Outcome(Enum):
    refused = 'refused'
    held = 'held'
    accepted = 'accepted'


class ReportDelivery:
    """Finds the peer that schedules, and keeps to it while it records ends.

    Several processes may believe that they schedule, of which only one can
    write. A peer that holds ends but cannot write them is still asked each
    time, since it may write them later; the others are asked beside it.

    Parameters
    ----------
    directory : RelayDirectory
        Peers of which one may schedule.
    clock : SteadyClock
        Measures how long deliveries go on.
    random : random.Random
        Spreads the attempts of several processes.
    """

    def __init__(
        self, directory: RelayDirectory, clock: SteadyClock, random: Random
    ) -> None:
        """Start without a known receiver."""
        self._directory = directory
        self._clock = clock
        self._backoff = RelayBackoff(clock, random)
        self._last_receiver = ''
        self._first_ms = 0
        self._last_ms = 0
        # Peers that were tried since one accepted a report.
        self._asked: set[str] = set()
        self._delivered_reports = 0

    @property
    def delivered_reports(self) -> int:
        """Reports of which the scheduler has received the ends."""
        return self._delivered_reports

    async def deliver(self, content: bytes) -> bool:
        """Deliver an encoded report; return whether a peer took its ends.

        Does not ask further peers for a time after none has accepted it.
        """
        known = await self._deliver_to_last_receiver(content)
        if known is _Outcome.accepted and not self._is_unrecorded():
            return True
        is_taken = known is not _Outcome.refused
        if not self._backoff.is_over:
            return is_taken
        for peer in self._other_peers():
            self._asked.add(peer.node)
            outcome = await self._deliver_to(peer, content)
            if outcome is _Outcome.accepted:
                self._backoff.record_success()
                self._asked.clear()
                return True
            is_taken = is_taken or outcome is _Outcome.held
        self._backoff.record_failure()
        return is_taken

    async def _deliver_to_last_receiver(self, content: bytes) -> _Outcome:
        for peer in self._directory.peers:
            if peer.node == self._last_receiver:
                outcome = await self._deliver_to(peer, content)
                if outcome is _Outcome.refused:
                    self._last_receiver = ''
                return outcome
        return _Outcome.refused

    async def _deliver_to(self, peer: RelayPeer, content: bytes) -> _Outcome:
        outcome = _Outcome.accepted
        try:
            await peer.store.deliver_report(content)
        except SilentPeerError:
            self._directory.record_failure(peer)
            return _Outcome.refused
        except EndsHeldError:
            outcome = _Outcome.held
        except (PlatformUnavailableError, InvalidInputError):
            return _Outcome.refused
        self._record_receiver(peer.node)
        if outcome is _Outcome.accepted:
            self._delivered_reports += 1
        decision_log.record(
            'report_delivered', peer=peer.node, outcome=outcome.value
        )
        return outcome

    def _record_receiver(self, node: str) -> None:
        now_ms = self._clock.now_ms()
        is_repeat = now_ms - self._last_ms <= _MAX_REPEAT_GAP_MS
        if node != self._last_receiver or not is_repeat:
            self._first_ms = now_ms
        self._last_receiver = node
        self._last_ms = now_ms

    def _is_unrecorded(self) -> bool:
        return self._last_ms - self._first_ms >= _MAX_RECORDING_MS

    def _other_peers(self) -> list[RelayPeer]:
        peers = [
            peer
            for peer in self._directory.peers
            if peer.node != self._last_receiver
        ]
        if self._asked.issuperset(peer.node for peer in peers):
            self._asked.clear()
        peers.sort(key=lambda peer: peer.node in self._asked)
        return peers[:_MAX_PEERS_PER_DELIVERY]
