"""HTTP interface with which a minion sends heartbeats to its guard."""

import re

from dragonflynotch.control.guard import Guard
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.platform.minion import decode_departure, decode_heartbeat

__all__ = ('HeartbeatApi',)

_INSTANCE_CALL_PATH = re.compile(
    r'/dragonflynotch/Instances\.(?P<call>Heartbeat|Deregister)/(?P<id>.+)'
)
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404


class HeartbeatApi:
    """Serves the heartbeats of the minion on this machine."""

    def __init__(self, guard: Guard) -> None:
        """Create the handler, which passes heartbeats to ``guard``."""
        self._guard = guard

    async def __call__(self, call: HttpCall) -> Reply:
        """Return the response to a request."""
        match = _INSTANCE_CALL_PATH.fullmatch(call.path)
        if match is None:
            return Reply(_NOT_FOUND)
        minion_id = match['id']
        if match['call'] == 'Deregister':
            return await self._depart(minion_id, call.body)
        heartbeat = decode_heartbeat(minion_id, call.body)
        if isinstance(heartbeat, Unreadable):
            unreadable_entries.record(
                'heartbeat_unreadable', heartbeat, minion=minion_id
            )
            return Reply(_BAD_REQUEST)
        self._guard.on_heartbeat(heartbeat)
        return Reply(_OK, b'{}', {'Content-Type': 'application/json'})

    async def _depart(self, minion_id: str, body: bytes) -> Reply:
        departure = decode_departure(minion_id, body)
        if isinstance(departure, Unreadable):
            unreadable_entries.record(
                'departure_unreadable', departure, minion=minion_id
            )
            return Reply(_BAD_REQUEST)
        await self._guard.on_departure(str(departure))
        return Reply(_OK, b'{}')
