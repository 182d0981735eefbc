"""The link from a partition owner to the guards for orders and reports."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import TypeVar

import msgspec

from dragonflynotch.core.errors import LinkError
from dragonflynotch.links.http11 import exchange
from dragonflynotch.links.orders import GuardReport, OrderBatch, OrderReply

__all__ = ('HttpOrderLink', 'OrderLink')

# Far above the report of a guard with a member on each accelerator.
_MAX_REPORT_BYTES = 4 * 1024 * 1024

_ReplyT = TypeVar('_ReplyT', bound=msgspec.Struct)


class OrderLink(ABC):
    """Sends orders to guards and fetches their reports."""

    @abstractmethod
    async def send(
        self, address: tuple[str, int], batch: OrderBatch
    ) -> OrderReply:
        """Send a batch; repeating it is safe.

        Raises
        ------
        LinkError
            If no whole answer arrived.
        """

    @abstractmethod
    async def report(self, address: tuple[str, int]) -> GuardReport:
        """Return what a guard holds.

        Raises
        ------
        LinkError
            If no whole answer arrived.
        """


class HttpOrderLink(OrderLink):
    """Guards reached over HTTP, with a connection for each exchange.

    Orders are rare for a guard but go to all guards of a data centre at a
    takeover. A client with a shared connection pool visits all its connections
    for each exchange and took 11 s of processor time for 500 guards.
    """

    def __init__(self, timeout: timedelta) -> None:
        """Create a link; ``timeout`` limits each exchange."""
        self._timeout = timeout

    async def send(
        self, address: tuple[str, int], batch: OrderBatch
    ) -> OrderReply:
        """Send a batch; repeating it is safe."""
        body = msgspec.json.encode(batch)
        return await self._exchange(
            'POST', address, '/v1/orders', body, OrderReply
        )

    async def report(self, address: tuple[str, int]) -> GuardReport:
        """Return what a guard holds."""
        return await self._exchange(
            'GET', address, '/v1/report', b'', GuardReport
        )

    async def _exchange(
        self,
        method: str,
        address: tuple[str, int],
        path: str,
        body: bytes,
        answer: type[_ReplyT],
    ) -> _ReplyT:
        reply = await exchange(
            address,
            method,
            path,
            body=body,
            timeout=self._timeout,
            max_body_bytes=_MAX_REPORT_BYTES,
        )
        try:
            return msgspec.json.decode(reply.body, type=answer)
        except msgspec.DecodeError as error:
            raise LinkError(
                f'malformed answer with status {reply.status}',
                step=f'{method} {path}',
                peer=f'{address[0]}:{address[1]}',
            ) from error
