"""Receives the announcements of guards and updates the membership."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.membership import GuardInfo, Membership, MinionInfo
from dragonflynotch.core.topology import Worker
from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.links.datagrams import Datagram, DatagramEndpoint
from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    GuardState,
    decode_announcement,
    encode_message,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('MembershipListener',)

_EXPIRY_INTERVAL = timedelta(seconds=0.2)

_log = part_logger('entry.membership')


class MembershipListener:
    """Receives announcements on a datagram socket and acknowledges them.

    Parameters
    ----------
    membership : Membership
        Is updated with the announced guards.
    observe : callable
        Called with each announced guard and its announcement.
    acknowledge : callable
        Returns the acknowledgement of an announcement.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        membership: Membership,
        observe: Callable[[GuardInfo, Announcement], None],
        acknowledge: Callable[[Announcement], Acknowledgement],
        clock: Clock,
    ) -> None:
        """Create the listener without binding the socket."""
        self._membership = membership
        self._observe = observe
        self._acknowledge = acknowledge
        self._clock = clock
        self._endpoint = DatagramEndpoint()

    async def open(self, host: str, port: int) -> int:
        """Bind the socket and return the port."""
        await self._endpoint.open(host, port)
        return self._endpoint.port

    async def run(self) -> None:
        """Handle announcements until cancelled."""
        expiry = asyncio.create_task(self._expire())
        try:
            while True:
                self._handle(await self._endpoint.receive())
        finally:
            expiry.cancel()
            self._endpoint.close()

    def _handle(self, datagram: Datagram) -> None:
        announcement = decode_announcement(datagram.payload)
        if isinstance(announcement, Unreadable):
            _log.warning(
                'dropped a malformed announcement of {}: {}',
                datagram.sender,
                announcement.reason,
            )
            return
        guard = _guard_info(announcement, self._clock)
        self._membership.observe(guard)
        self._observe(guard, announcement)
        self._endpoint.send(
            encode_message(self._acknowledge(announcement)), datagram.sender
        )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL.total_seconds())
            for guard in self._membership.expire(self._clock.now()):
                _log.warning(
                    'guard {} expired: no announcement within its time to live',
                    guard.guard_id,
                )


def _guard_info(announcement: Announcement, clock: Clock) -> GuardInfo:
    minion = announcement.minion
    worker = announcement.worker
    return GuardInfo(
        guard_id=announcement.guard_id,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        data_centre=announcement.data_centre,
        address=(announcement.http_host, announcement.http_port),
        is_ready=announcement.state is GuardState.ready,
        minion=None
        if minion is None
        else MinionInfo(minion.minion_id, minion.slots, minion.free_slots),
        worker=None
        if worker is None
        else Worker(
            worker.worker_id,
            worker.rack,
            worker.rack_position,
            worker.accelerators,
            worker.cores,
            worker.memory_mb,
        ),
        free_accelerators=0 if worker is None else worker.free_accelerators,
        schema_versions=announcement.schema_versions,
        heard_at=clock.now(),
    )
