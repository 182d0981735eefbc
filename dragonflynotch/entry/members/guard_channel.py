"""Sends orders to one guard and fetches its reports, one call at a time."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError
from dragonflynotch.links.order_link import OrderLink
from dragonflynotch.links.orders import (
    GuardReport,
    Order,
    OrderBatch,
    Refusal,
)
from dragonflynotch.observability.logs import part_logger

__all__ = (
    'ChannelEvent',
    'GuardChannel',
    'OrderRefused',
    'OwnerSuperseded',
    'ReportFetched',
)

_MAX_BATCH_ORDERS = 256
_RETRY_INTERVAL_S = 0.2
_SUPERSEDED_REASON = 'fence_too_low'

_log = part_logger('entry.guard_channel')


@dataclass(frozen=True, slots=True)
class ReportFetched:
    """A guard reported under the fencing token of the channel."""

    worker_id: str
    report: GuardReport


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """A guard refused an order; it is not repeated."""

    worker_id: str
    order: Order
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class OwnerSuperseded:
    """A guard has received a higher fencing token from a later owner."""

    highest_fence: int


ChannelEvent = ReportFetched | OrderRefused | OwnerSuperseded


class GuardChannel:
    """Sends orders to one guard, in sequence and under one fencing token.

    Orders are repeated until the guard answers. They are idempotent, so a lost
    answer does no harm. A report is fetched when the announced task digest
    differs from that of the last report.

    Parameters
    ----------
    worker_id : str
        Worker of the guard.
    address : tuple of (str, int)
        HTTP address of the guard.
    owner, fence : str, int
        Entry that sends the orders, and its fencing token.
    link : OrderLink
        Sends messages to guards.
    emit : callable
        Receives the channel events.
    clock : Clock
        Clock of the entry.
    """

    def __init__(
        self,
        worker_id: str,
        address: tuple[str, int],
        owner: str,
        fence: int,
        link: OrderLink,
        emit: Callable[[ChannelEvent], None],
        clock: Clock,
    ) -> None:
        """Create the channel; ``start`` runs it."""
        self._worker_id = worker_id
        self._address = address
        self._owner = owner
        self._fence = fence
        self._link = link
        self._emit = emit
        self._clock = clock
        self._orders: deque[Order] = deque()
        self._announced_digest: tuple[int, int] | None = None
        self._incarnation = 0
        self._failing_since: datetime | None = None
        self._reported_digests: tuple[tuple[int, int] | None, ...] = (None,)
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to send orders and fetch reports."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop at once and drop undelivered orders."""
        if self._task is not None:
            self._task.cancel()

    def enqueue(self, order: Order) -> None:
        """Append an order to the queue."""
        self._orders.append(order)
        self._wake.set()

    def is_failing(self, limit: timedelta, now: datetime) -> bool:
        """Return whether calls have failed for longer than ``limit``."""
        since = self._failing_since
        return since is not None and now - since > limit

    def note_announcement(
        self, address: tuple[str, int], incarnation: int, digest: int
    ) -> None:
        """Store the address, incarnation and task digest of an announcement."""
        self._address = address
        self._announced_digest = (incarnation, digest)
        self._incarnation = incarnation
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._has_work():
                if not await self._process_next():
                    await asyncio.sleep(_RETRY_INTERVAL_S)

    def _has_work(self) -> bool:
        return (
            bool(self._orders)
            or self._announced_digest not in self._reported_digests
        )

    async def _process_next(self) -> bool:
        try:
            made_progress = await (
                self._deliver_orders() if self._orders else self._fetch_report()
            )
        except LinkError as error:
            _log.debug(
                'call to the guard of worker {} failed: {}',
                self._worker_id,
                error,
            )
            self._failing_since = self._failing_since or self._clock.now()
            return False
        # A guard that refuses orders is reachable.
        self._failing_since = None
        return made_progress

    async def _deliver_orders(self) -> bool:
        orders = tuple(self._orders)[:_MAX_BATCH_ORDERS]
        reply = await self._link.send(
            self._address,
            OrderBatch(self._owner, self._fence, orders, self._incarnation),
        )
        if reply.reason == _SUPERSEDED_REASON:
            self._orders.clear()
            self._emit(OwnerSuperseded(reply.highest_fence))
            return False
        if reply.reason:
            return False
        for _ in orders:
            self._orders.popleft()
        orders_by_key = {(each.job_id, each.attempt): each for each in orders}
        for refusal in reply.refusals:
            order = orders_by_key[(refusal.job_id, refusal.attempt)]
            self._emit(OrderRefused(self._worker_id, order, refusal))
        return True

    async def _fetch_report(self) -> bool:
        announced_digest = self._announced_digest
        report = await self._link.report(self._address)
        if report.highest_fence > self._fence:
            self._emit(OwnerSuperseded(report.highest_fence))
            return False
        if report.highest_fence < self._fence:
            # The guard may still carry out orders of an earlier owner, so its
            # report is not used.
            return False
        # The report may be newer than the announcement that led to it.
        self._reported_digests = (
            announced_digest,
            (report.incarnation, report.task_digest),
        )
        self._emit(ReportFetched(self._worker_id, report))
        return True
