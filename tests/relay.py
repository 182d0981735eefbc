"""A TCP relay whose connections go silent or lose answers on demand."""

import asyncio
from contextlib import suppress
from enum import Enum


class RelayMode(Enum):
    """What the relay does with the bytes of new connections."""

    forward = 'forward'
    hold_requests = 'hold_requests'
    lose_answers = 'lose_answers'
    cut_answers = 'cut_answers'
    halve_answers = 'halve_answers'
    garble_answers = 'garble_answers'


class Connection:
    """State of one relayed connection."""

    def __init__(self, mode):
        self.mode = mode
        self.is_silent = False


class Relay:
    """Forwards connections to a target address."""

    def __init__(self, target):
        self.mode = RelayMode.forward
        self.connections = 0
        self.request_bytes = 0
        self._target = target
        self._open = set()
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
        """Stop forwarding on all open connections; new ones work."""
        for connection in self._open:
            connection.is_silent = True

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        state = Connection(self.mode)
        self._open.add(state)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            self._open.discard(state)
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._requests(reader, target_writer, state),
                self._answers(target_reader, writer, state),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(state)
            writer.transport.abort()
            target_writer.transport.abort()

    async def _requests(self, reader, writer, state):
        while chunk := await reader.read(65_536):
            self.request_bytes += len(chunk)
            if state.is_silent or state.mode is RelayMode.hold_requests:
                continue
            writer.write(chunk)
            await writer.drain()
        if not state.is_silent:
            raise ConnectionResetError

    async def _answers(self, reader, writer, state):
        while chunk := await reader.read(65_536):
            mode = state.mode
            if state.is_silent or mode is RelayMode.lose_answers:
                continue
            if mode is RelayMode.cut_answers:
                raise ConnectionResetError
            if mode is RelayMode.garble_answers:
                chunk = chunk[:-1] + bytes([chunk[-1] ^ 1])
            if mode is RelayMode.halve_answers:
                writer.write(chunk[: -len(chunk) // 8])
                with suppress(OSError):
                    await writer.drain()
                    await asyncio.sleep(0.05)
                raise ConnectionResetError
            writer.write(chunk)
            await writer.drain()
        if not state.is_silent:
            raise ConnectionResetError
