"""UDP endpoint with a bounded queue of received datagrams."""

import asyncio
from dataclasses import dataclass
from typing import cast

__all__ = ('Datagram', 'DatagramEndpoint')

_MAX_QUEUED_DATAGRAMS = 8192


@dataclass(frozen=True, slots=True)
class Datagram:
    """A received datagram and the address of its sender."""

    payload: bytes
    sender: tuple[str, int]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams on one UDP socket.

    Datagrams that arrive while the queue is full are dropped. Receivers have to
    tolerate this, because the network can lose datagrams too.
    """

    def __init__(self) -> None:
        """Create the endpoint; ``open`` binds it."""
        self._queue: asyncio.Queue[Datagram] = asyncio.Queue(
            _MAX_QUEUED_DATAGRAMS
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._dropped = 0

    @property
    def port(self) -> int:
        """The local port; 0 before ``open``."""
        if self._transport is None:
            return 0
        port: int = self._transport.get_extra_info('sockname')[1]
        return port

    @property
    def dropped(self) -> int:
        """Number of datagrams dropped because the queue was full."""
        return self._dropped

    async def open(self, host: str, port: int) -> None:
        """Bind the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, payload: bytes, receiver: tuple[str, int]) -> None:
        """Send a datagram; delivery is not guaranteed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(payload, receiver)

    async def receive(self) -> Datagram:
        """Return the next datagram."""
        return await self._queue.get()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Queue the datagram, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(Datagram(data, (addr[0], addr[1])))
        except asyncio.QueueFull:
            self._dropped += 1
