"""HTTP client of a partition owner for orders to guards and reports."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import TypeVar

import msgspec

from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.http11 import exchange
from dragonflynotch.links.orders import GuardReport, OrderBatch, OrderReply

__all__ = ('HttpOrderLink', 'OrderLink')

# Far above the size of a report with a member on each accelerator.
_MAX_REPORT_BYTES = 4 * 1024 * 1024

_ReplyT = TypeVar('_ReplyT', bound=msgspec.Struct)


class OrderLink(ABC):
    """Sends orders to guards and fetches their reports."""

    @abstractmethod
    async def send(
        self, address: tuple[str, int], batch: OrderBatch
    ) -> OrderReply:
        """Send a batch of orders; it is safe to repeat the call.

        Raises
        ------
        LinkError
            If no complete response arrived.
        """

    @abstractmethod
    async def report(self, address: tuple[str, int]) -> GuardReport:
        """Fetch the member report of a guard.

        Raises
        ------
        LinkError
            If no complete response arrived.
        """


class HttpOrderLink(OrderLink):
    """HTTP client with a new connection for each exchange.

    A guard rarely receives orders, but a takeover sends them to all guards of a
    data centre. A client with a shared pool iterates over all its connections
    for each exchange, which took 11 s of processor time for 500 guards.
    """

    def __init__(self, timeout: timedelta) -> None:
        """Create the client; ``timeout`` limits each exchange."""
        self._timeout = timeout

    async def send(
        self, address: tuple[str, int], batch: OrderBatch
    ) -> OrderReply:
        """Send a batch of orders; it is safe to repeat the call."""
        body = msgspec.json.encode(batch)
        return await self._exchange(
            'POST', address, '/v1/orders', body, OrderReply
        )

    async def report(self, address: tuple[str, int]) -> GuardReport:
        """Fetch the member report of a guard."""
        return await self._exchange(
            'GET', address, '/v1/report', b'', GuardReport
        )

    async def _exchange(
        self,
        method: str,
        address: tuple[str, int],
        path: str,
        body: bytes,
        reply_type: type[_ReplyT],
    ) -> _ReplyT:
        reply = await exchange(
            address,
            method,
            path,
            body=body,
            timeout=self._timeout,
            max_body_bytes=_MAX_REPORT_BYTES,
        )
        decoder = msgspec.json.Decoder(reply_type)
        content = decode_untrusted(decoder.decode, reply.body)
        if isinstance(content, Unreadable):
            raise LinkError(
                f'malformed response with status {reply.status}: '
                f'{content.reason}',
                step=f'{method} {path}',
                peer=f'{address[0]}:{address[1]}',
            )
        return content
