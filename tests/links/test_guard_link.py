"""An entry accepts only the complete answer to its own attempt."""

import asyncio
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.requests import Request, content_digest
from dragonflynotch.core.routing import Target
from dragonflynotch.links.guard_link import GuardRefusal, HttpGuardLink

NOW = ManualClock().now()
REQUEST = Request(
    'r1', 'resort', 'default', 'key', False, NOW + timedelta(seconds=2), b'body'
)


def answer(status=200, body=b'whole', length=None, **headers):
    digest = content_digest(body)
    all_headers = {
        'Request-Id': 'r1',
        'Attempt': 'a1',
        'Content-Digest': digest,
    }
    all_headers |= {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    all_headers['Content-Length'] = str(len(body) if length is None else length)
    header_lines = ''.join(
        f'{name}: {text}\r\n' for name, text in all_headers.items()
    )
    return f'HTTP/1.1 {status} X\r\n{header_lines}\r\n'.encode() + body


class GuardServer:
    """Sends the same bytes for each request and keeps connections open."""

    def __init__(self):
        self.answer = answer()
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=2**20
        )
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(len(REQUEST.body))
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@pytest.fixture
async def guard():
    server = GuardServer()
    server.address = await server.start()
    yield server
    server.server.close()


@pytest.fixture
async def link():
    link = HttpGuardLink()
    yield link
    await link.close()


async def run(link, guard):
    target = Target(
        'guard-1', 1, 1, 'lautoka', guard.address, 'minion-1', 8, 8, True, NOW
    )
    return await link.run(target, REQUEST, 'a1', NOW)


@pytest.mark.parametrize(
    'wrong_answer',
    [
        answer(Request_Id='r2'),
        answer(Attempt='a2'),
        answer(Content_Digest=content_digest(b'other')),
        answer(body=b'', length=''),
        answer(length=2**40),
        answer(status=503, body=b'not json'),
        b'\x00garbage\r\n\r\n',
    ],
    ids=range(7),
)
async def test_answer_of_another_attempt_is_refused(link, guard, wrong_answer):
    """Guards against passing the answer of another request to a caller."""
    guard.answer = wrong_answer
    with pytest.raises(LinkError):
        await run(link, guard)


@pytest.mark.parametrize(
    'wrong_answer', [answer(Attempt='a2'), answer(Content_Digest='sha-256=:x:')]
)
async def test_connection_with_a_wrong_answer_is_closed(
    link, guard, wrong_answer
):
    """Guards against reusing a connection after an answer out of order."""
    guard.answer = wrong_answer
    with pytest.raises(LinkError):
        await run(link, guard)
    guard.answer = answer()
    assert await run(link, guard) == b'whole'
    assert guard.connections == 2


async def test_good_connection_is_used_again(link, guard):
    """Guards against a new connection for each request."""
    assert await run(link, guard) == await run(link, guard) == b'whole'
    assert guard.connections == 1


async def test_refusal_of_the_guard_is_recognised(link, guard):
    """Guards against treating a refusal as a lost answer."""
    guard.answer = answer(503, b'{"outcome":"refused","reason":"draining"}')
    assert await run(link, guard) == GuardRefusal('draining')
