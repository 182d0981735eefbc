"""TCP relay that can withhold requests and lose or alter answers."""

import asyncio
from contextlib import suppress
from enum import Enum


class RelayMode(Enum):
    """How the relay treats the traffic of new connections."""

    forward = 'forward'
    hold_requests = 'hold_requests'
    lose_answers = 'lose_answers'
    cut_answers = 'cut_answers'
    truncate_answers = 'truncate_answers'
    corrupt_answers = 'corrupt_answers'


class Connection:
    """Relayed connection that keeps the mode it was opened with."""

    def __init__(self, mode):
        self.mode = mode
        self.is_silent = False


class Relay:
    """Forwards TCP connections to a target address."""

    def __init__(self, target):
        self.mode = RelayMode.forward
        self.connections = 0
        self.request_bytes = 0
        self._target = target
        self._open_connections = set()
        self._tasks = set()
        self._server = None

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self):
        """Stop forwarding on all open connections, but not on new ones."""
        for connection in self._open_connections:
            connection.is_silent = True

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        connection = Connection(self.mode)
        self._open_connections.add(connection)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            self._open_connections.discard(connection)
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._forward_requests(reader, target_writer, connection),
                self._forward_answers(target_reader, writer, connection),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open_connections.discard(connection)
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward_requests(self, reader, writer, connection):
        while chunk := await reader.read(65_536):
            self.request_bytes += len(chunk)
            if (
                connection.is_silent
                or connection.mode is RelayMode.hold_requests
            ):
                continue
            writer.write(chunk)
            await writer.drain()
        if not connection.is_silent:
            raise ConnectionResetError

    async def _forward_answers(self, reader, writer, connection):
        while chunk := await reader.read(65_536):
            mode = connection.mode
            if connection.is_silent or mode is RelayMode.lose_answers:
                continue
            if mode is RelayMode.cut_answers:
                raise ConnectionResetError
            if mode is RelayMode.corrupt_answers:
                chunk = chunk[:-1] + bytes([chunk[-1] ^ 1])
            if mode is RelayMode.truncate_answers:
                writer.write(chunk[: -len(chunk) // 8])
                with suppress(OSError):
                    await writer.drain()
                    await asyncio.sleep(0.05)
                raise ConnectionResetError
            writer.write(chunk)
            await writer.drain()
        if not connection.is_silent:
            raise ConnectionResetError
