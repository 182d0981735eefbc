"""Minion with the planned end of the platform's pages.

The runs, the lease and the fencing are those of the project's stand-in.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec

from dragonflynotch.core.errors import DragonflynotchError
from dragonflynotch.links.http11 import exchange
from dragonflynotch.testing.minion_model import MinionModel, _Run
from dragonflynotch.testing.platform_site import PlatformSite
from dragonflynotch.testing.site_minion import SiteMinion

__all__ = ('Minion',)

_PREFIX = '/dragonflynotch/Instances'
_HEARTBEAT_S = 1.5
# A status report is acknowledged if the answer arrives within this time.
_ACK_TIMEOUT = timedelta(seconds=1)
_MAX_ANSWER_BYTES = 65_536


_STARTUP_MS = 500
_AT_WORK_PERCENT = 100


class _Model(MinionModel):
    """Model whose subtasks that last are at work after a short startup."""

    lasts: Callable[[str], bool]

    def _progress_percent(self, task: str, run: _Run) -> int:
        if not self.lasts(task):
            return super()._progress_percent(task, run)
        elapsed_ms = self.clock_ms - run.started_ms
        return min(
            _AT_WORK_PERCENT, elapsed_ms * _AT_WORK_PERCENT // _STARTUP_MS
        )


class Minion(SiteMinion):
    """Minion that can drain, deregister and end."""

    def __init__(
        self,
        site: PlatformSite,
        minion_id: str,
        service: str,
        address: tuple[str, int],
        guard: tuple[str, int],
        duration_ms: Callable[[str], int],
        announced_address: tuple[str, int],
        lasts: Callable[[str], bool],
    ) -> None:
        """Create the minion; ``start`` begins to serve calls."""
        super().__init__(
            site,
            minion_id,
            service,
            address,
            guard,
            duration_ms,
            announced_address=announced_address,
        )
        self.model = _Model(minion_id, site.clock, site.runs, duration_ms)
        self.model.lasts = lasts
        self._guard_address = guard
        self._announced = announced_address
        self._service_name = service
        self.leaves_at_ms: int | None = None
        self._sequence = 0

    def drain(self, remaining_ms: int) -> None:
        """Report ``draining`` from the next heartbeat on."""
        self.leaves_at_ms = self.model.clock_ms + remaining_ms

    async def deregister(self) -> bool:
        """Say goodbye; return whether that was acknowledged in time."""
        return await self._post('Deregister', b'{}')

    async def _send_heartbeats(self) -> None:
        while not self.model.is_crashed:
            await self._post(
                'Heartbeat', msgspec.json.encode(self._heartbeat())
            )
            await asyncio.sleep(_HEARTBEAT_S)

    def _heartbeat(self) -> dict[str, object]:
        self._sequence += 1
        body: dict[str, object] = {
            'service': self._service_name,
            'address': '{}:{}'.format(*self._announced),
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready' if self.leaves_at_ms is None else 'draining',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 8},
            'labels': ['a', 'r1'],
            'clock_ms': self.model.clock_ms,
            'seq': self._sequence,
        }
        if self.leaves_at_ms is not None:
            left_ms = self.leaves_at_ms - self.model.clock_ms
            body['remaining_ms'] = max(0, left_ms)
        return body

    async def _post(self, call: str, body: bytes) -> bool:
        try:
            reply = await exchange(
                self._guard_address,
                'POST',
                f'{_PREFIX}.{call}/{self.model.minion_id}',
                body=body,
                timeout=_ACK_TIMEOUT,
                max_body_bytes=_MAX_ANSWER_BYTES,
            )
        except DragonflynotchError:
            return False
        return reply.status // 100 == 2
