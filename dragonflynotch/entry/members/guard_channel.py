"""Delivers orders to one guard and fetches its reports, one at a time."""

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

_BATCH_LIMIT = 256
_RETRY_S = 0.2
_SUPERSEDED = 'fence_too_low'

_log = part_logger('entry.guard_channel')


@dataclass(frozen=True, slots=True)
class ReportFetched:
    """A report made under the fence of the channel."""

    worker_id: str
    report: GuardReport


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """A guard refused an order for good."""

    worker_id: str
    order: Order
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class OwnerSuperseded:
    """A guard has seen a higher fence."""

    highest_fence: int


ChannelEvent = ReportFetched | OrderRefused | OwnerSuperseded


class GuardChannel:
    """Keeps the order of messages to one guard under one fence.

    Orders are repeated until the guard answers; they are idempotent, so a lost
    answer costs nothing. A report is fetched when the announced digest differs
    from that of the last report.

    Parameters
    ----------
    worker_id : str
        Worker beside the guard.
    address : tuple of (str, int)
        HTTP address of the guard.
    owner, fence : str, int
        Sender of the orders.
    link : OrderLink
        How to reach guards.
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
        self._announced: tuple[int, int] | None = None
        self._incarnation = 0
        self._failing_since: datetime | None = None
        self._known: tuple[tuple[int, int] | None, ...] = (None,)
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Deliver from now on."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop at once; undelivered orders are dropped."""
        if self._task is not None:
            self._task.cancel()

    def enqueue(self, order: Order) -> None:
        """Deliver an order after those enqueued before."""
        self._orders.append(order)
        self._wake.set()

    def is_failing(self, bound: timedelta, now: datetime) -> bool:
        """Whether orders could not be delivered for longer than a bound."""
        since = self._failing_since
        return since is not None and now - since > bound

    def note_announcement(
        self, address: tuple[str, int], incarnation: int, digest: int
    ) -> None:
        """Take over address and digest of an announcement."""
        self._address = address
        self._announced = (incarnation, digest)
        self._incarnation = incarnation
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._has_work():
                if not await self._step():
                    await asyncio.sleep(_RETRY_S)

    def _has_work(self) -> bool:
        return bool(self._orders) or self._announced not in self._known

    async def _step(self) -> bool:
        try:
            is_done = await (self._deliver() if self._orders else self._fetch())
        except LinkError as error:
            _log.debug('guard of {} failed: {}', self._worker_id, error)
            self._failing_since = self._failing_since or self._clock.now()
            return False
        # A refusal is an answer too: the guard is reachable.
        self._failing_since = None
        return is_done

    async def _deliver(self) -> bool:
        orders = tuple(self._orders)[:_BATCH_LIMIT]
        reply = await self._link.send(
            self._address,
            OrderBatch(self._owner, self._fence, orders, self._incarnation),
        )
        if reply.reason == _SUPERSEDED:
            self._orders.clear()
            self._emit(OwnerSuperseded(reply.highest_fence))
            return False
        if reply.reason:
            return False
        for _ in orders:
            self._orders.popleft()
        by_key = {(each.job_id, each.attempt): each for each in orders}
        for refusal in reply.refusals:
            order = by_key[(refusal.job_id, refusal.attempt)]
            self._emit(OrderRefused(self._worker_id, order, refusal))
        return True

    async def _fetch(self) -> bool:
        announced = self._announced
        report = await self._link.report(self._address)
        if report.highest_fence > self._fence:
            self._emit(OwnerSuperseded(report.highest_fence))
            return False
        if report.highest_fence < self._fence:
            # The guard may still carry out orders of an earlier owner.
            return False
        # The report may be newer than the announcement that asked for it.
        self._known = (announced, (report.incarnation, report.task_digest))
        self._emit(ReportFetched(self._worker_id, report))
        return True
