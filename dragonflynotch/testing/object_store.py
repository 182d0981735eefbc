"""In-memory stand-in for the platform's object store."""

import asyncio

import msgspec

from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.links.asgi import (
    HttpCall,
    Receive,
    Reply,
    Scope,
    Send,
    read_call,
    send_reply,
)
from dragonflynotch.services.object_store import ObjectStore

__all__ = ('MemoryObjectStore', 'ObjectStoreApp', 'ObjectStoreFaults')

_PEER = 'object store'
_PREFIX = '/v1/objects/'
_MAX_BODY_BYTES = 64 * 1024 * 1024


class ObjectStoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in injects.

    ``lose_answers`` stores the object and then reports a failure.
    """

    is_down: bool = False
    lose_answers: bool = False
    delay_s: float = 0


class MemoryObjectStore(ObjectStore):
    """Object store in memory; ``faults`` selects the injected faults."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.faults = ObjectStoreFaults()
        self._objects: dict[str, bytes] = {}

    async def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        await self._apply_faults('get object')
        return self._objects.get(key)

    async def put(self, key: str, content: bytes) -> None:
        """Store an object; storing the same key again is idempotent."""
        await self._apply_faults('put object')
        self._objects[key] = content
        if self.faults.lose_answers:
            raise _unavailable('put object')

    async def _apply_faults(self, step: str) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            raise _unavailable(step)


class ObjectStoreApp:
    """ASGI application that serves a ``MemoryObjectStore``.

    ``POST /fault`` sets the faults, for example ``{"is_down": true}``.
    """

    def __init__(self, store: MemoryObjectStore) -> None:
        """Serve ``store``."""
        self._store = store

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        if scope['type'] != 'http':
            return
        call = await read_call(scope, receive, _MAX_BODY_BYTES)
        try:
            reply = await self._answer(call)
        except PlatformUnavailableError:
            reply = Reply(503)
        await send_reply(send, reply)

    async def _answer(self, call: HttpCall) -> Reply:
        if call.path == '/fault':
            self._store.faults = msgspec.json.decode(
                call.body, type=ObjectStoreFaults
            )
            return Reply(200, b'{}')
        if not call.path.startswith(_PREFIX):
            return Reply(404)
        key = call.path.removeprefix(_PREFIX)
        if call.method == 'PUT':
            await self._store.put(key, call.body)
            return Reply(200)
        found = await self._store.get(key)
        return Reply(404) if found is None else Reply(200, found)


def _unavailable(step: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        'unavailable (injected fault)', step=step, peer=_PEER
    )
