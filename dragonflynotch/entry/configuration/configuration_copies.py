"""Keeps copies of the configuration at some guards of the data centre."""

import asyncio
import hashlib
from collections.abc import Iterable
from datetime import timedelta

import httpx
import msgspec

from dragonflynotch.core.configuration import Changes, Snapshot
from dragonflynotch.core.membership import GuardInfo, Membership
from dragonflynotch.entry.configuration.in_force import ConfigurationService
from dragonflynotch.links.configuration_messages import (
    decode_copy,
    encode_copy,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('ConfigurationCopies', 'copy_holders')

# Eight copies in a data centre: with 140 failures a day among 17,000 VMs the
# loss of all of them within one outage needs the loss of the data centre.
COPY_COUNT = 8
CHECK_INTERVAL = timedelta(seconds=0.5)
_CALL_TIMEOUT = timedelta(seconds=1)

_log = part_logger('entry.copies')


def copy_holders(
    guards: Iterable[GuardInfo], count: int = COPY_COUNT
) -> tuple[GuardInfo, ...]:
    """Return the guards that hold a copy, by rendezvous hashing.

    All entries choose the same guards, and the loss of a guard moves only its
    own copy.
    """
    ranked = sorted(guards, key=lambda guard: _rank(guard.guard_id))
    return tuple(ranked[:count])


class ConfigurationCopies:
    """Delivers changes to the guards that hold copies."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationService,
    ) -> None:
        """Copy ``configuration`` to guards of ``membership``."""
        self._membership = membership
        self._configuration = configuration
        self._client = httpx.AsyncClient(
            trust_env=False, timeout=_CALL_TIMEOUT.total_seconds()
        )
        self._delivered: dict[tuple[str, int], int] = {}

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def run(self) -> None:
        """Deliver changes until cancelled."""
        while True:
            await self.deliver()
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())

    async def deliver(self) -> None:
        """Bring all copies to the revision in force."""
        revision = self._configuration.log.revision
        if revision == 0:
            return
        holders = copy_holders(self._membership.guards())
        keys = {(guard.guard_id, guard.incarnation) for guard in holders}
        self._delivered = {
            key: delivered
            for key, delivered in self._delivered.items()
            if key in keys
        }
        lagging = [
            guard for guard in holders if self._position(guard) < revision
        ]
        await asyncio.gather(*map(self._deliver_to, lagging))

    async def fetch_newest(self) -> None:
        """Apply the copies that guards hold, in a table outage."""
        await asyncio.gather(*map(self._fetch_from, self._membership.guards()))

    def _position(self, guard: GuardInfo) -> int:
        return self._delivered.get((guard.guard_id, guard.incarnation), 0)

    async def _deliver_to(self, guard: GuardInfo) -> None:
        update = self._configuration.log.since(self._position(guard))
        try:
            reply = await self._client.put(
                _url(guard),
                content=encode_copy(update),
                headers={'Guard-Incarnation': str(guard.incarnation)},
            )
        except httpx.HTTPError as error:
            _log.debug('copy to guard {} failed: {!r}', guard.guard_id, error)
            return
        if reply.status_code == httpx.codes.OK:
            held = int(reply.headers.get('configuration-revision', '0'))
            self._delivered[(guard.guard_id, guard.incarnation)] = held

    async def _fetch_from(self, guard: GuardInfo) -> None:
        try:
            reply = await self._client.get(_url(guard))
        except httpx.HTTPError as error:
            _log.debug('copy of guard {} failed: {!r}', guard.guard_id, error)
            return
        update = _decoded(reply)
        if update is not None:
            self._configuration.apply(update)


def _decoded(reply: httpx.Response) -> Changes | Snapshot | None:
    if reply.status_code != httpx.codes.OK:
        return None
    try:
        return decode_copy(reply.content)
    except msgspec.DecodeError:
        return None


def _url(guard: GuardInfo) -> str:
    host, port = guard.address
    return f'http://{host}:{port}/v1/configuration'


def _rank(guard_id: str) -> bytes:
    return hashlib.blake2b(guard_id.encode(), digest_size=8).digest()
