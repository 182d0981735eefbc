"""HTTP/1.1 client with persistent connections to one peer.

The guard uses it because ``httpx`` would exceed the guard's memory limit.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

import h11

from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.links.http11 import (
    HttpReply,
    PartialReply,
    build_request,
    connect,
)

__all__ = ('HttpPool',)

_READ_BYTES = 65_536


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection

    @property
    def is_usable(self) -> bool:
        return not (self.writer.is_closing() or self.reader.at_eof())

    def close(self) -> None:
        self.writer.transport.abort()


class _Progress:
    """Time limit of one exchange, extended with each received byte."""

    def __init__(self, timeout: timedelta, idle_timeout: timedelta) -> None:
        self._loop = asyncio.get_running_loop()
        self._timeout_s = timeout.total_seconds()
        self._idle_timeout_s = idle_timeout.total_seconds()
        self._end_s = self._loop.time() + self._timeout_s
        self._first_byte_s: float | None = None
        self.limit = asyncio.timeout_at(self._next_end_s())

    @property
    def transfer_s(self) -> float:
        """Time since the first byte, in seconds; 0 before it."""
        if self._first_byte_s is None:
            return 0
        return self._loop.time() - self._first_byte_s

    def record_bytes(self) -> None:
        """Extend the limit after the receipt of bytes."""
        if self._first_byte_s is None:
            self._first_byte_s = self._loop.time()
        self.limit.reschedule(self._next_end_s())

    def describe_timeout(self) -> str:
        """Return which limit was exceeded."""
        if self._loop.time() < self._end_s:
            return f'no byte of the response within {self._idle_timeout_s} s'
        return f'no complete response within {self._timeout_s} s'

    def _next_end_s(self) -> float:
        return min(self._end_s, self._loop.time() + self._idle_timeout_s)


class HttpPool:
    """Connection pool for one peer; one exchange at a time per connection.

    A connection is closed if its exchange fails, so that a late response cannot
    be taken for that of another request.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the peer.
    max_idle : int
        Largest number of idle connections that are kept open.
    host : str, optional
        ``Host`` header; the address of the peer by default.
    """

    def __init__(
        self, address: tuple[str, int], max_idle: int = 4, host: str = ''
    ) -> None:
        """Create the pool; no connection is opened yet."""
        self._address = address
        self._max_idle = max_idle
        self._host = host or f'{address[0]}:{address[1]}'
        self._idle: list[_Connection] = []
        self._peer = f'{address[0]}:{address[1]}'

    async def exchange(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b'',
        headers: Sequence[tuple[str, str]] = (),
        timeout: timedelta,
        idle_timeout: timedelta | None = None,
    ) -> HttpReply:
        """Send one request and return the complete response.

        Parameters
        ----------
        method, target : str
            Method and target of the request line.
        body : bytes
            Request body.
        headers : sequence of (str, str)
            Additional headers.
        timeout : timedelta
            Limit for the exchange, including the connection set-up.
        idle_timeout : timedelta, optional
            Longest time without a byte of the response; ``timeout`` by default.

        Raises
        ------
        NotSentError
            If no connection was established, so nothing was sent.
        LinkTimeoutError
            If the exchange is not complete within ``timeout``, or no byte
            arrives within ``idle_timeout``.
        LinkError
            If the connection fails before the response is complete.
        """
        step = f'{method} {target}'
        request = build_request(
            method,
            target,
            [
                ('Host', self._host),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                *headers,
            ],
            self._peer,
        )
        connection: _Connection | None = None
        progress = _Progress(timeout, idle_timeout or timeout)
        try:
            async with progress.limit:
                connection = await self._connect(step)
                reply = await _exchange(connection, request, body, progress)
        except TimeoutError as error:
            self._discard(connection)
            failure = LinkTimeoutError if connection else NotSentError
            raise failure(
                progress.describe_timeout(),
                step=step,
                peer=self._peer,
            ) from error
        except (OSError, h11.ProtocolError, EOFError) as error:
            self._discard(connection)
            raise LinkError(
                f'HTTP exchange failed: {error}', step=step, peer=self._peer
            ) from error
        except asyncio.CancelledError:
            self._discard(connection)
            raise
        self._release(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connect(self, step: str) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        reader, writer = await connect(self._address, step)
        return _Connection(reader, writer, h11.Connection(our_role=h11.CLIENT))

    def _discard(self, connection: _Connection | None) -> None:
        if connection is not None:
            connection.close()

    def _release(self, connection: _Connection) -> None:
        protocol = connection.protocol
        is_reusable = (
            protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and len(self._idle) < self._max_idle
        )
        if not is_reusable:
            connection.close()
            return
        protocol.start_next_cycle()
        self._idle.append(connection)


async def _exchange(
    connection: _Connection,
    request: h11.Request,
    body: bytes,
    progress: _Progress,
) -> HttpReply:
    protocol = connection.protocol
    parts = (request, h11.Data(data=body), h11.EndOfMessage())
    connection.writer.write(
        b''.join(protocol.send(part) or b'' for part in parts)
    )
    await connection.writer.drain()
    partial = PartialReply()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await connection.reader.read(_READ_BYTES))
            progress.record_bytes()
            continue
        reply = partial.add(event)
        if reply is not None:
            return replace(reply, transfer_s=progress.transfer_s)
