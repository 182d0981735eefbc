"""Simulated guards and simulated entries on datagrams."""

import asyncio
from dataclasses import dataclass
from typing import Any, Final

from benchmarks.link_servers import HOST, sample_announcement
from dragonflynotch.links.messages import (
    Acknowledgement,
    decode_announcement,
    encode_message,
)

__all__ = ('HeartbeatSource', 'SilentOwner', 'Traffic')

_INTERVAL_S: Final = 0.7
_FENCE: Final = 1


@dataclass
class Traffic:
    """Datagrams in both directions, without the headers of UDP and IP."""

    messages: int = 0
    octets: int = 0

    def add(self, payload: bytes) -> None:
        """Count a datagram."""
        self.messages += 1
        self.octets += len(payload)


class SilentOwner(asyncio.DatagramProtocol):
    """Acknowledges announcements as owner and sends no order."""

    def __init__(self, traffic: Traffic) -> None:
        """Create the owner; ``open`` binds it."""
        self._traffic = traffic
        self._transport: Any = None

    async def open(self) -> tuple[str, int]:
        """Bind a free port and return the address."""
        loop = asyncio.get_running_loop()
        pair = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._transport = pair[0]
        address: tuple[str, int] = self._transport.get_extra_info('sockname')
        return address

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer an announcement."""
        announcement = decode_announcement(data)
        answer = encode_message(
            Acknowledgement(
                'lautoka-entry-1',
                announcement.guard_id,
                announcement.sequence,
                announcement.configuration_revision,
                _FENCE,
            ),
        )
        self._traffic.add(data)
        self._traffic.add(answer)
        self._transport.sendto(answer, addr)


class HeartbeatSource(asyncio.DatagramProtocol):
    """Announces many guards from one socket, spread over the interval."""

    def __init__(self, traffic: Traffic, entry: tuple[str, int]) -> None:
        """Create the source; ``open`` starts it."""
        self._traffic = traffic
        self._entry = entry
        self._transport: Any = None
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self, guards: int) -> None:
        """Start to announce a number of guards."""
        loop = asyncio.get_running_loop()
        pair = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._transport = pair[0]
        self._tasks = [
            asyncio.create_task(self._announce(number, number / guards))
            for number in range(guards)
        ]

    def close(self) -> None:
        """Stop announcing."""
        for task in self._tasks:
            task.cancel()
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Count an acknowledgement."""
        self._traffic.add(data)

    async def _announce(self, number: int, phase: float) -> None:
        await asyncio.sleep(phase * _INTERVAL_S)
        sequence = 0
        while True:
            sequence += 1
            payload = sample_announcement(number, sequence)
            self._traffic.add(payload)
            self._transport.sendto(payload, self._entry)
            await asyncio.sleep(_INTERVAL_S)
