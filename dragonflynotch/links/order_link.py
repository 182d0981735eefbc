"""The link from a partition owner to the guards for orders and reports."""

from abc import ABC, abstractmethod
from datetime import timedelta
from typing import TypeVar

import httpx
import msgspec

from dragonflynotch.core.errors import LinkError, LinkTimeoutError
from dragonflynotch.links.orders import GuardReport, OrderBatch, OrderReply

__all__ = ('HttpOrderLink', 'OrderLink')

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
    """Guards reached over HTTP."""

    def __init__(self, timeout: timedelta) -> None:
        """Create a client; ``timeout`` limits each exchange."""
        self._client = httpx.AsyncClient(
            trust_env=False,
            timeout=timeout.total_seconds(),
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=256
            ),
        )

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.aclose()

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
        host, port = address
        peer = f'{host}:{port}'
        step = f'{method} {path}'
        try:
            reply = await self._client.request(
                method, f'http://{peer}{path}', content=body
            )
        except httpx.TimeoutException as error:
            raise LinkTimeoutError(
                'guard did not answer in time', step=step, peer=peer
            ) from error
        except httpx.HTTPError as error:
            raise LinkError(
                f'connection to the guard failed: {error!r}',
                step=step,
                peer=peer,
            ) from error
        try:
            return msgspec.json.decode(reply.content, type=answer)
        except msgspec.DecodeError as error:
            raise LinkError(
                f'malformed answer with status {reply.status_code}',
                step=step,
                peer=peer,
            ) from error
