"""Sends periodic announcements of the guard to the entries."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.untrusted import Unreadable
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

# Number of announcements whose send time is kept. Only the entry addresses are
# taken from acknowledgements of older ones.
_MAX_SEND_TIMES = 16

_log = part_logger('guard.announcer')


class Announcer:
    """Announces the guard over UDP and receives acknowledgements.

    Parameters
    ----------
    entries : tuple of (str, int)
        Announcement addresses of the entries at the start.
    build_announcement : callable
        Returns the announcement with the given sequence number.
    on_acknowledgement : callable
        Called with each acknowledgement and the send time of the announcement
        that it acknowledges.
    clock : Clock
        Clock for the send times.
    """

    def __init__(
        self,
        entries: tuple[tuple[str, int], ...],
        build_announcement: Callable[[int], Announcement],
        on_acknowledgement: Callable[[Acknowledgement, datetime], None],
        clock: Clock,
    ) -> None:
        """Create the announcer; ``run`` opens the socket."""
        self._entries = set(entries)
        self._build_announcement = build_announcement
        self._on_acknowledgement = on_acknowledgement
        self._clock = clock
        self._send_times: OrderedDict[int, datetime] = OrderedDict()
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
        self._send_times[self._sequence] = self._clock.now()
        if len(self._send_times) > _MAX_SEND_TIMES:
            self._send_times.popitem(last=False)
        payload = encode_message(self._build_announcement(self._sequence))
        for entry in self._entries:
            self._endpoint.send(payload, entry)

    async def _receive(self) -> None:
        while True:
            datagram = await self._endpoint.receive()
            acknowledgement = decode_acknowledgement(datagram.payload)
            if isinstance(acknowledgement, Unreadable):
                _log.warning(
                    'dropped a malformed acknowledgement of {}: {}',
                    datagram.sender,
                    acknowledgement.reason,
                )
                continue
            self._handle_acknowledgement(acknowledgement)

    def _handle_acknowledgement(self, acknowledgement: Acknowledgement) -> None:
        # Entries may have moved since the settings were written, so the
        # addresses of live entries are taken from each acknowledgement.
        self._entries.update(
            (host, port) for host, port in acknowledgement.entries
        )
        sent_at = self._send_times.get(acknowledgement.sequence)
        if sent_at is not None:
            self._on_acknowledgement(acknowledgement, sent_at)
