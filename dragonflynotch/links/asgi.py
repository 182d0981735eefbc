"""Helpers for ASGI applications without a framework.

The guard uses them because a framework would exceed its memory limit.
"""

from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

__all__ = (
    'HttpCall',
    'OversizedBodyError',
    'Receive',
    'Reply',
    'Scope',
    'Send',
    'read_call',
    'send_reply',
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class OversizedBodyError(Exception):
    """The request body exceeds the limit and was not read completely."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A complete HTTP request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


async def read_call(
    scope: Scope, receive: Receive, max_body_bytes: int
) -> HttpCall:
    """Read the complete request.

    Raises
    ------
    OversizedBodyError
        If the ``Content-Length`` header is malformed, or if the declared or
        received length exceeds ``max_body_bytes``.
    ConnectionResetError
        If the client disconnects before the request is complete.
    """
    headers = {
        name.decode('latin-1'): field_value.decode('latin-1')
        for name, field_value in scope['headers']
    }
    declared_length = headers.get('content-length', '0')
    if not declared_length.isdigit() or int(declared_length) > max_body_bytes:
        raise OversizedBodyError(declared_length)
    query = parse_qs(scope['query_string'].decode('latin-1'))
    body = bytearray()
    has_more_body = True
    while has_more_body:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionResetError('client disconnected')
        body += message.get('body', b'')
        has_more_body = message.get('more_body', False)
        if len(body) > max_body_bytes:
            raise OversizedBodyError(str(len(body)))
    return HttpCall(
        scope['method'],
        scope['path'],
        {name: field_values[0] for name, field_values in query.items()},
        headers,
        bytes(body),
    )


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a response with its ``Content-Length``."""
    headers = [
        (name.lower().encode('latin-1'), field_value.encode('latin-1'))
        for name, field_value in reply.headers.items()
    ]
    headers.append((b'content-length', str(len(reply.body)).encode()))
    await send(
        {
            'type': 'http.response.start',
            'status': reply.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': reply.body})
