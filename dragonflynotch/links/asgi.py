"""Helpers for bare ASGI applications, light enough for the guard."""

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
    """The body exceeds the limit; it was not read whole."""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A whole HTTP request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP answer."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


async def read_call(
    scope: Scope, receive: Receive, max_body_bytes: int
) -> HttpCall:
    """Return the whole request.

    Raises
    ------
    OversizedBodyError
        If the declared or received length exceeds ``max_body_bytes``.
    """
    headers = {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in scope['headers']
    }
    declared = headers.get('content-length', '0')
    if not declared.isdigit() or int(declared) > max_body_bytes:
        raise OversizedBodyError(declared)
    query = parse_qs(scope['query_string'].decode('latin-1'))
    body = bytearray()
    is_incomplete = True
    while is_incomplete:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionResetError('client disconnected')
        body += message.get('body', b'')
        is_incomplete = message.get('more_body', False)
        if len(body) > max_body_bytes:
            raise OversizedBodyError(str(len(body)))
    return HttpCall(
        scope['method'],
        scope['path'],
        {name: texts[0] for name, texts in query.items()},
        headers,
        bytes(body),
    )


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a whole answer with its length."""
    headers = [
        (name.lower().encode('latin-1'), text.encode('latin-1'))
        for name, text in reply.headers.items()
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
