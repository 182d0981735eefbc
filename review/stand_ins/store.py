"""Platform that keeps the limits that the pages set for a call to the store."""

import asyncio
import base64
from collections.abc import Sequence

import msgspec

from dragonflynotch.control.rows import RowName, RowWrite
from dragonflynotch.links.asgi import HttpCall, Reply
from dragonflynotch.testing.platform_site import PlatformSite, SiteQueue

# ``platform.row_bytes`` of the settings: a row's value is base64 of at most
# this many bytes.
ROW_BYTES = 65_536
# "A call holds at most 100 entries and at most 1 MB."
CALL_ENTRIES = 100
CALL_BYTES = 1_048_576
# "4 ms an answer", of the sheets of the sites.
_ANSWER_S = 0.004
# The client of a lost answer has closed the channel by then (after 1.3 s), so
# nothing further is delivered on it.
_SILENCE_S = 5
_BAD_REQUEST = 400
_TOO_LARGE = 413
_BAD_GATEWAY = 502


class LimitedSite(PlatformSite):
    """The project's stand-in, with the limits of a call to ``rows-tx``.

    Attributes
    ----------
    refused : list of str
        Why calls were refused, the oldest first.
    """

    def __init__(self, *arguments: object) -> None:
        """Create the platform; ``start`` begins to serve it."""
        super().__init__(*arguments)
        self.refused: list[str] = []
        # Writes of these rows get no answer and are done later; each once.
        self.lost_keys: set[str] = set()
        self.late_s = 2.0
        self._late: set[asyncio.Task[Reply]] = set()

    async def put_config(
        self,
        version: int,
        service: str,
        queues: Sequence[SiteQueue],
        keys: Sequence[str] = ('key',),
    ) -> None:
        """Write a valid config with one tenant; acknowledged on return."""
        config = {
            'version': version,
            'routes': [
                {
                    'name': queue.name,
                    'host': 'site.example',
                    'prefix': f'/{queue.name}/',
                    'kind': 'unsafe',
                    'timeout_ms': 3000,
                    'service': service,
                    'priority': queue.priority,
                    'max_attempts': queue.max_attempts,
                    'stretch': 3.0,
                    'target_latency_ms': 1000,
                    'public': False,
                }
                for queue in queues
            ],
            'services': [{'name': service, 'admission_check': True}],
            'tenants': [
                {
                    'name': 'team',
                    'api_keys': list(keys),
                    'guaranteed': {'gpu': 8},
                }
            ],
        }
        await self.store.commit(
            [
                RowWrite(
                    RowName('op', '', 'config'), msgspec.json.encode(config)
                )
            ],
            [],
        )

    async def _answer(self, call: HttpCall) -> Reply:
        await asyncio.sleep(_ANSWER_S)
        return await super()._answer(call)

    async def _commit(self, call: HttpCall) -> Reply:
        if len(call.body) > CALL_BYTES:
            self.refused.append(f'call of {len(call.body)} bytes')
            return Reply(_TOO_LARGE)
        body = msgspec.json.decode(call.body)
        entries = sum(
            len(body[name]) for name in ('expected_rev', 'puts', 'remove')
        )
        # The reading that allows most: conditions aren't counted twice.
        changes = len(body['puts']) + len(body['remove'])
        if changes > CALL_ENTRIES:
            self.refused.append(f'call of {entries} entries')
            return Reply(_BAD_REQUEST)
        for row in body['puts']:
            size = len(base64.b64decode(row['value']))
            if size > ROW_BYTES:
                self.refused.append(
                    f'row {row["table"]}/{row["key"]} of {size} bytes'
                )
                return Reply(_BAD_REQUEST)
            if row['key'] in self.lost_keys:
                self.lost_keys.discard(row['key'])
                return await self._lose_answer(call)
        return await super()._commit(call)

    async def _lose_answer(self, call: HttpCall) -> Reply:
        """Do a write late, and deliver nothing further on its channel."""
        self._late.add(asyncio.create_task(self._do_late(call)))
        await asyncio.sleep(_SILENCE_S)
        return Reply(_BAD_GATEWAY)

    async def _do_late(self, call: HttpCall) -> Reply:
        await asyncio.sleep(self.late_s)
        return await super()._commit(call)
