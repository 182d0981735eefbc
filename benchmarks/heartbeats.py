"""Simulated guards and partition owners that exchange UDP datagrams."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from benchmarks.link_servers import HOST, sample_announcement
from dragonflynotch.links.messages import (
    Acknowledgement,
    decode_announcement,
    encode_message,
)
from dragonflynotch.links.orders import GuardReport

__all__ = ('SimulatedGuards', 'SimulatedOwner', 'Traffic')

_ANNOUNCEMENT_INTERVAL_S: Final = 0.7
_FENCE: Final = 1


@dataclass
class Traffic:
    """Number and payload of datagrams in both directions, without headers."""

    messages: int = 0
    payload_bytes: int = 0

    def add(self, payload: bytes) -> None:
        """Count a datagram."""
        self.messages += 1
        self.payload_bytes += len(payload)


class SimulatedOwner(asyncio.DatagramProtocol):
    """Entry that acknowledges announcements as owner but sends no order."""

    def __init__(self, traffic: Traffic) -> None:
        """Create the owner; ``open`` binds it."""
        self._traffic = traffic
        self._transport: Any = None

    async def open(self) -> tuple[str, int]:
        """Bind a free port and return its address."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._transport = endpoint[0]
        address: tuple[str, int] = self._transport.get_extra_info('sockname')
        return address

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Acknowledge an announcement."""
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


class _ReportServer:
    """HTTP server that returns the report of a guard without members."""

    def __init__(self, number: int) -> None:
        guard_id = f'lautoka-guard-{number}'
        report = GuardReport(guard_id, number, _FENCE, number, ())
        body = msgspec.json.encode(report)
        header = (
            'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        self._answer = header.encode() + body

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(self._answer)
        writer.close()


class SimulatedGuards(asyncio.DatagramProtocol):
    """Announces many guards from one socket, evenly spread over the interval.

    Each guard serves its report on a port of its own, so that the owner of
    the partition does not repeat the request.
    """

    def __init__(self, traffic: Traffic, entry: tuple[str, int]) -> None:
        """Create the guards; ``open`` starts them."""
        self._traffic = traffic
        self._entry = entry
        self._transport: Any = None
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []

    async def open(self, guards: int) -> None:
        """Start to announce ``guards`` guards."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self._transport = endpoint[0]
        for number in range(guards):
            server = await asyncio.start_server(
                _ReportServer(number).serve, HOST, 0
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            announcements = self._announce(number, port, number / guards)
            self._tasks.append(asyncio.create_task(announcements))

    def close(self) -> None:
        """Stop the announcements and close all sockets."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Count an acknowledgement."""
        self._traffic.add(data)

    async def _announce(
        self, number: int, port: int, interval_share: float
    ) -> None:
        await asyncio.sleep(interval_share * _ANNOUNCEMENT_INTERVAL_S)
        sequence = 0
        while True:
            sequence += 1
            payload = sample_announcement(number, sequence, port)
            self._traffic.add(payload)
            self._transport.sendto(payload, self._entry)
            await asyncio.sleep(_ANNOUNCEMENT_INTERVAL_S)
