"""Announces the guard to the entries of its data centre."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.clock import Clock
from dragonflynotch.links.datagrams import DatagramEndpoint
from dragonflynotch.links.messages import (
    Acknowledgement,
    Announcement,
    decode_acknowledgement,
    encode_message,
)
from dragonflynotch.observability.logs import part_logger

__all__ = ('ANNOUNCEMENT_INTERVAL', 'Announcer')

# Three announcements fit in the membership time to live of 2.2 s, so two
# lost datagrams in a row do not remove a guard.
ANNOUNCEMENT_INTERVAL = timedelta(seconds=0.7)

# Acknowledgements of older announcements are ignored.
_REMEMBERED_ANNOUNCEMENTS = 16

_log = part_logger('guard.announcer')


class Announcer:
    """Owns the announcement socket.

    Parameters
    ----------
    entries : tuple of (str, int)
        Announcement addresses of the entries.
    describe : callable
        Returns the announcement for a sequence number.
    on_acknowledgement : callable
        Receives each acknowledgement with the time at which the acknowledged
        announcement was sent.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        entries: tuple[tuple[str, int], ...],
        describe: Callable[[int], Announcement],
        on_acknowledgement: Callable[[Acknowledgement, datetime], None],
        clock: Clock,
    ) -> None:
        """Create the announcer; ``run`` starts it."""
        self._entries = set(entries)
        self._describe = describe
        self._on_acknowledgement = on_acknowledgement
        self._clock = clock
        self._sent_at: OrderedDict[int, datetime] = OrderedDict()
        self._endpoint = DatagramEndpoint()
        self._sequence = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        await self._endpoint.open('0.0.0.0', 0)
        receiver = asyncio.create_task(self._receive())
        try:
            while True:
                self.announce()
                await asyncio.sleep(ANNOUNCEMENT_INTERVAL.total_seconds())
        finally:
            receiver.cancel()
            self._endpoint.close()

    def announce(self) -> None:
        """Send one announcement now, for example on a change of state."""
        self._sequence += 1
        self._sent_at[self._sequence] = self._clock.now()
        if len(self._sent_at) > _REMEMBERED_ANNOUNCEMENTS:
            self._sent_at.popitem(last=False)
        payload = encode_message(self._describe(self._sequence))
        for entry in self._entries:
            self._endpoint.send(payload, entry)

    async def _receive(self) -> None:
        while True:
            datagram = await self._endpoint.receive()
            try:
                acknowledgement = decode_acknowledgement(datagram.payload)
            except msgspec.DecodeError:
                _log.warning('dropped a malformed acknowledgement')
                continue
            self._accept(acknowledgement)

    def _accept(self, acknowledgement: Acknowledgement) -> None:
        # Entries that replaced those of the settings file are learned here.
        self._entries.update(
            (host, port) for host, port in acknowledgement.entries
        )
        sent_at = self._sent_at.get(acknowledgement.sequence)
        if sent_at is not None:
            self._on_acknowledgement(acknowledgement, sent_at)
