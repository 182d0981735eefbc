"""HTTP/1.1 client with one connection per exchange, based on h11.

The guard uses it instead of ``httpx``, which would exceed the guard's memory
limit of 32 MB (see docs/design.md, section 4).
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import h11

from dragonflynotch.core.errors import (
    LinkError,
    LinkTimeoutError,
    NotSentError,
)
from dragonflynotch.core.untrusted import shorten

__all__ = (
    'HttpReply',
    'PartialReply',
    'build_request',
    'connect',
    'exchange',
)

_READ_BYTES = 65_536
# Above the largest page of rows that the platform's store returns.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Raised if the connection fails (``OSError``), for a port out of range
# (``OverflowError``) and for a malformed host name (``ValueError``).
_CONNECT_ERRORS = (OSError, OverflowError, ValueError)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response; header names are lower case.

    ``transfer_s`` is the time between its first and its last bytes, in seconds,
    if it was measured.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    transfer_s: float = 0


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    *,
    headers: Sequence[tuple[str, str]] = (),
    body: bytes = b'',
    timeout: timedelta,
    max_body_bytes: int,
    host: str | None = None,
) -> HttpReply:
    """Send one request on a new connection and return the complete response.

    The connection is closed afterwards, so a late response cannot be taken for
    that of another request.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port of the peer.
    method, target : str
        Method and target of the request line.
    headers : sequence of (str, str)
        Additional headers.
    body : bytes
        Request body.
    timeout : timedelta
        Limit for the exchange, including the connection set-up.
    max_body_bytes : int
        Largest accepted response body.
    host : str, optional
        ``Host`` header; the address of the peer by default.

    Returns
    -------
    HttpReply
        The response, complete according to its framing.

    Raises
    ------
    NotSentError
        If no connection was established, so nothing was sent.
    LinkTimeoutError
        If the exchange is not complete within ``timeout``.
    LinkError
        If the connection fails, or the response is truncated or too large.
    """
    peer = f'{address[0]}:{address[1]}'
    step = f'{method} {target}'
    all_headers = [
        ('Host', host or peer),
        ('Content-Length', str(len(body))),
        ('Connection', 'close'),
        *headers,
    ]
    request = build_request(method, target, all_headers, peer)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            streams = await connect(address, step)
            return await _exchange(streams, request, body, max_body_bytes)
    except TimeoutError as error:
        raise LinkTimeoutError(
            f'no complete response within {timeout.total_seconds()} s',
            step=step,
            peer=peer,
        ) from error
    except (OSError, h11.ProtocolError, EOFError) as error:
        raise LinkError(
            f'HTTP exchange failed: {error}', step=step, peer=peer
        ) from error


def build_request(
    method: str, target: str, headers: list[tuple[str, str]], peer: str
) -> h11.Request:
    """Return the request.

    Raises
    ------
    NotSentError
        If a header cannot be sent. An address or an identifier in it may come
        from another process.
    """
    try:
        return h11.Request(method=method, target=target, headers=headers)
    except (h11.ProtocolError, ValueError) as error:
        raise NotSentError(
            f'malformed request: {error}',
            step=f'{method} {shorten(target)}',
            peer=shorten(peer),
        ) from error


async def connect(
    address: tuple[str, int], step: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return the streams of a new connection.

    Raises
    ------
    NotSentError
        If no connection was established, also because the address cannot be
        used.
    """
    try:
        return await asyncio.open_connection(*address)
    except _CONNECT_ERRORS as error:
        raise NotSentError(
            f'connection failed: {error}',
            step=step,
            peer=f'{address[0]}:{address[1]}',
        ) from error


async def _exchange(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    request: h11.Request,
    body: bytes,
    max_body_bytes: int,
) -> HttpReply:
    reader, writer = streams
    connection = h11.Connection(our_role=h11.CLIENT)
    try:
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(connection.send(event) or b'')
        await writer.drain()
        return await _read_reply(reader, connection, max_body_bytes)
    finally:
        writer.transport.abort()


async def _read_reply(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    max_body_bytes: int,
) -> HttpReply:
    partial = PartialReply(max_body_bytes)
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
            continue
        reply = partial.add(event)
        if reply is not None:
            return reply


class PartialReply:
    """Assembles a response from h11 events."""

    def __init__(self, max_body_bytes: int = _MAX_BODY_BYTES) -> None:
        """Create an empty response with a limit for its body."""
        self._max_body_bytes = max_body_bytes
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def add(self, event: object) -> HttpReply | None:
        """Add an event; return the response once it is complete.

        Raises
        ------
        EOFError
            If the connection closed early or the body exceeds the limit.
        """
        match event:
            case h11.Response():
                self._status = event.status_code
                self._headers = {
                    name.decode('latin-1').lower(): text.decode('latin-1')
                    for name, text in event.headers
                }
            case h11.Data():
                self._add_chunk(event.data)
            case h11.EndOfMessage():
                return HttpReply(self._status, self._headers, bytes(self._body))
            case h11.ConnectionClosed():
                raise EOFError(
                    'connection closed before the response was complete'
                )
        return None

    def _add_chunk(self, chunk: bytes) -> None:
        self._body += chunk
        if len(self._body) > self._max_body_bytes:
            raise EOFError(
                f'response body exceeds {self._max_body_bytes} bytes'
            )
