"""Loopback TCP proxy that can delay, block and reset its connections."""

import asyncio
import socket
import struct
from enum import Enum

from dragonflynotch.observability.decisions import decision_log

__all__ = ('LinkFault', 'LoopbackProxy')

_CHUNK_BYTES = 65_536
_DELAY_S = 0.25
_NO_LINGER = struct.pack('ii', 1, 0)


class LinkFault(Enum):
    """Faults that the proxy injects into the forwarded traffic."""

    none = 'none'
    # Each chunk is forwarded after a delay.
    delayed = 'delayed'
    # Requests are held and forwarded once the fault is cleared.
    no_requests = 'no_requests'
    # Answers are held and forwarded once the fault is cleared.
    no_answers = 'no_answers'
    # Both requests and answers are held.
    silent = 'silent'

    @property
    def holds_requests(self) -> bool:
        """Whether bytes to the target are held."""
        return self in {LinkFault.no_requests, LinkFault.silent}

    @property
    def holds_answers(self) -> bool:
        """Whether bytes from the target are held."""
        return self in {LinkFault.no_answers, LinkFault.silent}


class LoopbackProxy:
    """Forwards TCP connections to a target.

    Parameters
    ----------
    address, target : tuple of (str, int)
        Address to listen on, and address to forward to.
    """

    def __init__(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Create the proxy; ``start`` opens the listening socket."""
        self.address = address
        self._fault = LinkFault.none
        self._requests_open = asyncio.Event()
        self._answers_open = asyncio.Event()
        self.set_fault(LinkFault.none)
        self.target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault for all connections, open ones included."""
        self._fault = fault
        for event, is_held in (
            (self._requests_open, fault.holds_requests),
            (self._answers_open, fault.holds_answers),
        ):
            if is_held:
                event.clear()
            else:
                event.set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await _cancel_all(list(self._tasks))

    def reset(self) -> None:
        """Close all connections with a TCP reset."""
        for writer in self._writers:
            sock = writer.get_extra_info('socket')
            # With a linger time of zero, closing the socket sends a TCP reset.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()
        self._writers.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError) as error:
            decision_log.record('proxy_connection_ended', reason=repr(error))
        finally:
            writer.transport.abort()
            self._writers = {
                open_writer
                for open_writer in self._writers
                if not open_writer.is_closing()
            }

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        self._writers.add(target_writer)
        forwarders = [
            asyncio.create_task(
                self._forward(reader, target_writer, is_answer=False)
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, is_answer=True)
            ),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            target_writer.transport.abort()
            await _cancel_all(forwarders)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        direction_open = (
            self._answers_open if is_answer else self._requests_open
        )
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if not chunk:
                return
            if self._fault is LinkFault.delayed:
                await asyncio.sleep(_DELAY_S)
            await direction_open.wait()
            writer.write(chunk)
            await writer.drain()


async def _cancel_all(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
