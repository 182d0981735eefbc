"""Loopback proxy whose open connections can go silent for good."""

import asyncio

_CHUNK_BYTES = 65_536


class SilentProxy:
    """Forwards connections until they go silent; new ones always work.

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
        self._target = target
        self._server: asyncio.Server | None = None
        self._epoch = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return sum(not writer.is_closing() for writer in self._writers) // 2

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    def silence(self) -> None:
        """Deliver nothing more on the connections that are open now."""
        self._epoch += 1

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        epoch = self._epoch
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, epoch),
                self._forward(far_reader, writer, epoch),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            for end in (writer, far_writer):
                end.transport.abort()
                self._writers.discard(end)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        epoch: int,
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            if epoch != self._epoch:
                # Neither bytes nor the end of the connection get through.
                if not chunk:
                    return
                continue
            if not chunk:
                raise ConnectionResetError
            writer.write(chunk)
            await writer.drain()
