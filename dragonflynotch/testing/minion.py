"""Stand-in for a minion that counts the requests it runs."""

import asyncio
from collections import Counter

import msgspec

from dragonflynotch.core.requests import content_digest
from dragonflynotch.links.asgi import (
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)

__all__ = ('MinionApp', 'MinionFaults')

_MAX_BODY_BYTES = 2 * 1024 * 1024


class MinionFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    ``cross_answers`` returns the id of another request, ``truncate`` sends half
    of the body with the digest of the complete body, and ``fail`` answers with
    status 500.
    """

    delay_s: float = 0
    cross_answers: bool = False
    truncate: bool = False
    fail: bool = False


class MinionApp:
    """ASGI application of a minion.

    ``POST /run`` answers with the name of the minion and the body in upper
    case. ``GET /counts`` returns the number of runs of each body.
    ``POST /fault`` sets the faults.
    """

    def __init__(self, name: str) -> None:
        """Create a minion without faults."""
        self.faults = MinionFaults()
        self.runs: Counter[str] = Counter()
        self._name = name

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        call = await read_call(scope, receive, _MAX_BODY_BYTES)
        if call.path == '/run':
            reply = await self._run(call.headers['request-id'], call.body)
        elif call.path == '/counts':
            reply = Reply(200, msgspec.json.encode(dict(self.runs)))
        elif call.path == '/fault':
            self.faults = msgspec.json.decode(call.body, type=MinionFaults)
            reply = Reply(200, b'{}')
        else:
            reply = Reply(404)
        await send_reply(send, reply)

    async def _run(self, request_id: str, body: bytes) -> Reply:
        faults = self.faults
        self.runs[body.decode('latin-1')] += 1
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.fail:
            return Reply(500)
        answer = f'{self._name}: '.encode() + body.upper()
        sent = answer[: len(answer) // 2] if faults.truncate else answer
        echoed = 'crossed' if faults.cross_answers else request_id
        return Reply(
            200,
            sent,
            {'Request-Id': echoed, 'Content-Digest': content_digest(answer)},
        )
