"""Minion with the capacity of a small site, and ``born`` in what it says."""

import asyncio
import time
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.links.asgi import Reply
from dragonflynotch.links.http11 import exchange
from dragonflynotch.testing.site_minion import SiteMinion

# Of a worker in further/dhns-booking.toml.
CAPACITY = {'cpu': 32_000, 'mem_mb': 65_536, 'gpu': 8}
_HEARTBEAT_S = 1.5
_RETRY_S = 0.2
_TIMEOUT = timedelta(seconds=1)
_MAX_ANSWER_BYTES = 65_536


class ReviewMinion(SiteMinion):
    """The project's stand-in, with heartbeats as the pages write them.

    Attributes
    ----------
    state : str
        ``ready`` or ``draining``; the next heartbeat tells it.
    acknowledged : dict of str to float
        Monotonic time of the first acknowledged heartbeat with each state.
    """

    def __init__(self, *arguments: object, **options: object) -> None:
        """Create one life of the minion; ``start`` begins it."""
        super().__init__(*arguments, **options)
        self.state = 'ready'
        self.acknowledged: dict[str, float] = {}
        self.heartbeats = 0
        self._wake = asyncio.Event()
        self._born_ms = int(time.time() * 1000)

    def drain(self) -> None:
        """Report at once that the minion is draining."""
        self.state = 'draining'
        self._wake.set()

    async def _send_heartbeats(self) -> None:
        while not self.model.is_crashed:
            delay_s = _HEARTBEAT_S if await self._send_heartbeat() else _RETRY_S
            self._wake.clear()
            try:
                async with asyncio.timeout(delay_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _send_heartbeat(self) -> bool:
        self.heartbeats += 1
        state = self.state
        body = {
            'service': self._service,
            'address': '{}:{}'.format(*self._announced_address),
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_remaining_ms': 0,
            'capacity': CAPACITY,
            'labels': ['a', 'r1'],
            'clock_ms': self.model.clock_ms,
            'born': self._born_ms,
            'seq': self.heartbeats,
        }
        if state == 'draining':
            body['remaining_ms'] = 20_000
        try:
            answer = await exchange(
                self._guard,
                'POST',
                '/dragonflynotch/Instances.Heartbeat/' + self.model.minion_id,
                body=msgspec.json.encode(body),
                timeout=_TIMEOUT,
                max_body_bytes=_MAX_ANSWER_BYTES,
            )
        except DragonflynotchError:
            return False
        if answer.status // 100 != 2:
            return False
        self.acknowledged.setdefault(state, time.monotonic())
        return True

    def _reply(self, outcome: object, fields: Mapping[str, object]) -> Reply:
        if fields:
            fields = {**fields, 'born': self._born_ms}
        return super()._reply(outcome, fields)
