"""Replicates the configuration to some guards of the data centre.

Entries that start during an outage of the table service read these copies.
"""

import asyncio
import hashlib
from collections.abc import Iterable
from datetime import timedelta

import httpx

from dragonflynotch.core.configuration import Changes, Snapshot
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.membership import GuardInfo, Membership
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.entry.configuration.configuration_service import (
    ConfigurationService,
)
from dragonflynotch.links.configuration_messages import (
    decode_copy,
    encode_copy,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('ConfigurationCopies', 'copy_holders')

# At 140 failures a day among 17,000 VMs, all eight holders fail within one
# outage of the table service only if the whole data centre fails.
COPY_COUNT = 8
DELIVERY_INTERVAL = timedelta(seconds=0.5)
_CALL_TIMEOUT = timedelta(seconds=1)

_log = part_logger('entry.copies')


def copy_holders(
    guards: Iterable[GuardInfo], count: int = COPY_COUNT
) -> tuple[GuardInfo, ...]:
    """Choose the guards that hold a copy, by rendezvous hashing.

    All entries choose the same guards. If one of them fails, only its copy
    moves to another guard.
    """
    ranked = sorted(guards, key=lambda guard: _hash_rank(guard.guard_id))
    return tuple(ranked[:count])


class ConfigurationCopies:
    """Sends configuration changes to the guards that hold copies."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationService,
    ) -> None:
        """Replicate ``configuration`` to guards of ``membership``."""
        self._membership = membership
        self._configuration = configuration
        self._client = httpx.AsyncClient(
            trust_env=False, timeout=_CALL_TIMEOUT.total_seconds()
        )
        self._delivered_revisions: dict[tuple[str, int], int] = {}

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

    async def run(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self.deliver()
            await asyncio.sleep(DELIVERY_INTERVAL.total_seconds())

    async def deliver(self) -> None:
        """Send the current revision to all holders that do not have it."""
        revision = self._configuration.log.revision
        if revision == 0:
            return
        holders = copy_holders(self._membership.guards())
        holder_keys = {(guard.guard_id, guard.incarnation) for guard in holders}
        self._delivered_revisions = {
            key: delivered
            for key, delivered in self._delivered_revisions.items()
            if key in holder_keys
        }
        lagging = [
            guard
            for guard in holders
            if self._delivered_revision(guard) < revision
        ]
        await asyncio.gather(*map(self._deliver_to, lagging))

    async def fetch_copies(self) -> None:
        """Fetch the copies of all guards and apply the newest.

        Used during an outage of the table service.
        """
        await asyncio.gather(*map(self._fetch_from, self._membership.guards()))

    def _delivered_revision(self, guard: GuardInfo) -> int:
        return self._delivered_revisions.get(
            (guard.guard_id, guard.incarnation), 0
        )

    async def _deliver_to(self, guard: GuardInfo) -> None:
        update = self._configuration.log.update_since(
            self._delivered_revision(guard)
        )
        try:
            reply = await self._client.put(
                _configuration_url(guard),
                content=encode_copy(update),
                headers={'Guard-Incarnation': str(guard.incarnation)},
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            _log.debug(
                'sending the configuration to guard {} failed: {!r}',
                guard.guard_id,
                error,
            )
            return
        if reply.status_code == httpx.codes.OK:
            held_revision = decode_untrusted(
                int, reply.headers.get('configuration-revision', '0')
            )
            # Without a readable revision, everything is sent again.
            self._delivered_revisions[(guard.guard_id, guard.incarnation)] = (
                held_revision if isinstance(held_revision, int) else 0
            )

    async def _fetch_from(self, guard: GuardInfo) -> None:
        try:
            reply = await self._client.get(_configuration_url(guard))
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            _log.debug(
                'fetching the configuration from guard {} failed: {!r}',
                guard.guard_id,
                error,
            )
            return
        update = _decode_reply(reply)
        if isinstance(update, Unreadable):
            _log.warning(
                'the copy of guard {} is not used: {}',
                guard.guard_id,
                update.reason,
            )
            return
        try:
            self._configuration.apply(update)
        except InvalidInputError as error:
            _log.error(
                'the copy of guard {} is unreadable: {}', guard.guard_id, error
            )


def _decode_reply(reply: httpx.Response) -> Changes | Snapshot | Unreadable:
    if reply.status_code != httpx.codes.OK:
        return Unreadable(f'status {reply.status_code}')
    return decode_copy(reply.content)


def _configuration_url(guard: GuardInfo) -> str:
    host, port = guard.address
    return f'http://{host}:{port}/v1/configuration'


def _hash_rank(guard_id: str) -> bytes:
    return hashlib.blake2b(guard_id.encode(), digest_size=8).digest()
