"""Peers that send announcements over one of three transports."""

import asyncio
from abc import ABC, abstractmethod
from typing import Any, Final

import grpc

from benchmarks.link_servers import HOST, METHOD

__all__ = ('Peer', 'connect_peer')

_ANSWER_TIMEOUT_S: Final = 5
_LENGTH_HEADER: Final = b'content-length:'


class Peer(ABC):
    """A peer with a connection or socket of its own."""

    @abstractmethod
    async def exchange(self, payload: bytes) -> bytes:
        """Send a message and return the answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class _DatagramPeer(Peer, asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self._transport: Any = None
        self._answers: asyncio.Queue[bytes] = asyncio.Queue()

    async def open(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, remote_addr=(HOST, port)
        )
        self._transport = endpoint[0]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._answers.put_nowait(data)

    async def exchange(self, payload: bytes) -> bytes:
        self._transport.sendto(payload)
        return await asyncio.wait_for(self._answers.get(), _ANSWER_TIMEOUT_S)

    async def close(self) -> None:
        self._transport.close()


class _HttpPeer(Peer):
    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def exchange(self, payload: bytes) -> bytes:
        header = (
            f'POST /v1/announcements HTTP/1.1\r\nhost: {HOST}\r\n'
            f'content-length: {len(payload)}\r\n\r\n'
        )
        self._writer.write(header.encode() + payload)
        answer_header = await self._reader.readuntil(b'\r\n\r\n')
        _, _, after_name = answer_header.lower().partition(_LENGTH_HEADER)
        length = int(after_name.split(b'\r\n')[0])
        return await self._reader.readexactly(length)

    async def close(self) -> None:
        self._writer.close()


class _GrpcPeer(Peer):
    def __init__(self, port: int) -> None:
        # Without this option, all channels of a process share one connection.
        options = [('grpc.use_local_subchannel_pool', 1)]
        self._channel = grpc.aio.insecure_channel(f'{HOST}:{port}', options)
        self._call: Any = self._channel.stream_stream(METHOD)()

    async def exchange(self, payload: bytes) -> bytes:
        await self._call.write(payload)
        answer: bytes = await self._call.read()
        return answer

    async def close(self) -> None:
        self._call.cancel()
        await self._channel.close()


async def connect_peer(transport: str, port: int) -> Peer:
    """Return a connected peer.

    Parameters
    ----------
    transport : str
        ``'datagram'``, ``'http'`` or ``'grpc'``.
    port : int
        Port of the server.
    """
    if transport == 'datagram':
        peer = _DatagramPeer()
        await peer.open(port)
        return peer
    if transport == 'http':
        return _HttpPeer(*await asyncio.open_connection(HOST, port))
    return _GrpcPeer(port)
