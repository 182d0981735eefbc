"""Platform whose store takes its time and whose configs are valid."""

import asyncio
from collections.abc import Sequence

import msgspec

from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.testing.platform_site import PlatformSite, SiteQueue

__all__ = ('Platform',)

_ANSWER_S = 0.004


class Platform(PlatformSite):
    """The project's stand-in, closer to the pages."""

    async def put_queues(
        self,
        version: int,
        service: str,
        queues: Sequence[SiteQueue],
        guaranteed: int,
    ) -> None:
        """Write a valid configuration with these queues and one workspace."""
        config = {
            'version': version,
            'routes': [
                {
                    'name': queue.name,
                    'host': 'site.example',
                    'prefix': f'/{queue.name}/',
                    'service': service,
                    'priority': queue.priority,
                    'max_attempts': queue.max_attempts,
                    'stretch': 3,
                    'target_latency_ms': 1000,
                }
                for queue in queues
            ],
            'services': [{'name': service, 'admission_check': True}],
            'tenants': [
                {
                    'name': 'team',
                    'api_keys': ['key'],
                    'guaranteed': {'gpu': guaranteed},
                }
            ],
            'limits': {},
        }
        row = RowWrite(RowName('op', '', 'config'), msgspec.json.encode(config))
        await self.store.commit([row], [])

    async def _answer(self, call: HttpCall) -> Reply:
        await asyncio.sleep(_ANSWER_S)
        return await super()._answer(call)
