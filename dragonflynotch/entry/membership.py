"""Receives announcements of guards and keeps the routing table."""

from collections.abc import Callable

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.links.datagrams import DatagramEndpoint
from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    GuardState,
    decode_announcement,
    encode_message,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('MembershipListener',)

_log = part_logger('entry.membership')


class MembershipListener:
    """Owns the announcement socket of an entry."""

    def __init__(
        self,
        entry_id: str,
        routing: RoutingTable,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """Feed ``routing`` and call ``on_change`` after each announcement."""
        self._on_change = on_change
        self._entry_id = entry_id
        self._routing = routing
        self._clock = clock
        self._endpoint = DatagramEndpoint()

    async def open(self, host: str, port: int) -> None:
        """Bind the socket."""
        await self._endpoint.open(host, port)

    async def run(self) -> None:
        """Handle announcements until cancelled."""
        try:
            while True:
                datagram = await self._endpoint.receive()
                try:
                    announcement = decode_announcement(datagram.payload)
                except msgspec.DecodeError:
                    _log.warning('dropped a malformed announcement')
                    continue
                self._observe(announcement)
                self._on_change()
                self._endpoint.send(
                    encode_message(self._acknowledge(announcement)),
                    datagram.sender,
                )
        finally:
            self._endpoint.close()

    def _acknowledge(self, announcement: Announcement) -> Acknowledgement:
        return Acknowledgement(
            entry_id=self._entry_id,
            guard_id=announcement.guard_id,
            sequence=announcement.sequence,
            configuration_revision=0,
        )

    def _observe(self, announcement: Announcement) -> None:
        minion = announcement.minion
        if minion is None:
            return
        self._routing.observe(
            Target(
                guard_id=announcement.guard_id,
                incarnation=announcement.incarnation,
                sequence=announcement.sequence,
                data_centre=announcement.data_centre,
                address=(announcement.http_host, announcement.http_port),
                minion_id=minion.minion_id,
                slots=minion.slots,
                free_slots=minion.free_slots,
                is_ready=announcement.state is GuardState.ready,
                heard_at=self._clock.now(),
            )
        )
