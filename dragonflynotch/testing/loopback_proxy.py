"""Loopback proxy that delays, cuts and resets the connections through it."""

import asyncio
import socket
import struct
from enum import Enum

from dragonflynotch.observability.decisions import decision_log

__all__ = ('LinkFault', 'LoopbackProxy')

_READ_BYTES = 65_536
_DELAY_S = 0.25
_NO_LINGER = struct.pack('ii', 1, 0)


class LinkFault(Enum):
    """What the proxy does to what passes through it."""

    none = 'none'
    # Each piece arrives later.
    delayed = 'delayed'
    # Nothing arrives at the target; what was sent arrives after the fault.
    no_requests = 'no_requests'
    # Nothing comes back; what was answered arrives after the fault.
    no_answers = 'no_answers'
    silent = 'silent'

    @property
    def holds_requests(self) -> bool:
        """Whether bytes to the target wait."""
        return self in {LinkFault.no_requests, LinkFault.silent}

    @property
    def holds_answers(self) -> bool:
        """Whether bytes from the target wait."""
        return self in {LinkFault.no_answers, LinkFault.silent}


class LoopbackProxy:
    """Passes connections on to a target.

    Parameters
    ----------
    address, target : tuple of (str, int)
        Where it listens, and where it connects to.
    """

    def __init__(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Create the proxy; ``start`` begins to listen."""
        self.address = address
        self._fault = LinkFault.none
        self._requests_pass = asyncio.Event()
        self._answers_pass = asyncio.Event()
        self.set_fault(LinkFault.none)
        self.target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    def set_fault(self, fault: LinkFault) -> None:
        """Change what happens to all connections."""
        self._fault = fault
        for event, is_held in (
            (self._requests_pass, fault.holds_requests),
            (self._answers_pass, fault.holds_answers),
        ):
            if is_held:
                event.clear()
            else:
                event.set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    async def stop(self) -> None:
        """End all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await _cancel_all(list(self._tasks))

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            sock = writer.get_extra_info('socket')
            # Closing without lingering sends a reset.
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
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError) as error:
            decision_log.record('proxy_connection_ended', reason=repr(error))
        finally:
            writer.transport.abort()
            self._writers = {
                one for one in self._writers if not one.is_closing()
            }

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        self._writers.add(far_writer)
        pumps = [
            asyncio.create_task(
                self._pump(reader, far_writer, is_answer=False)
            ),
            asyncio.create_task(self._pump(far_reader, writer, is_answer=True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            far_writer.transport.abort()
            await _cancel_all(pumps)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        may_pass = self._answers_pass if is_answer else self._requests_pass
        while True:
            piece = await reader.read(_READ_BYTES)
            if not piece:
                return
            if self._fault is LinkFault.delayed:
                await asyncio.sleep(_DELAY_S)
            await may_pass.wait()
            writer.write(piece)
            await writer.drain()


async def _cancel_all(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
