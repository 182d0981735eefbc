"""Queue of requests that wait for a free slot, by priority."""

import asyncio
from collections.abc import Set
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.limits import BoundedPriorityQueue
from dragonflynotch.core.requests import NotRun, Request
from dragonflynotch.core.routing import NoTarget, RoutingTable, Target

__all__ = ('QueueTicket', 'TargetQueue')

_DEFAULT_LIMIT = 512
# No event is raised when a member falls silent, so the waiting requests are
# checked at this interval.
_CHECK_INTERVAL_S = 0.2
# Share of a request's time that it may wait; the rest is left to run it.
_MAX_WAIT_SHARE = 0.5
_STEP = 'queue'


@dataclass(slots=True, eq=False)
class QueueTicket:
    """Place of a request in the queue, kept over its retries.

    Parameters
    ----------
    request : Request
        The request.
    key : tuple of (int, int)
        Priority and number of arrival; lower values are served first.
    give_up_at : datetime
        Time at which the request is refused if it still waits.
    """

    request: Request
    key: tuple[int, int]
    give_up_at: datetime


@dataclass(slots=True, eq=False)
class _Waiter:
    ticket: QueueTicket
    excluded: Set[str]
    decision: asyncio.Future[Target | NotRun]


class TargetQueue:
    """Assigns free slots to requests in the order of their priority.

    Parameters
    ----------
    routing : RoutingTable
        Known members and their free slots.
    clock : Clock
        Clock for the waiting times.
    limit : int
        Largest number of waiting requests.
    """

    def __init__(
        self, routing: RoutingTable, clock: Clock, limit: int = _DEFAULT_LIMIT
    ) -> None:
        """Create an empty queue."""
        self._routing = routing
        self._clock = clock
        self._waiting: BoundedPriorityQueue[_Waiter] = BoundedPriorityQueue(
            limit
        )
        self._arrival_count = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def create_ticket(self, request: Request, priority: int) -> QueueTicket:
        """Return a ticket behind all earlier ones of the same priority."""
        self._arrival_count += 1
        now = self._clock.now()
        wait = (request.deadline - now) * _MAX_WAIT_SHARE
        return QueueTicket(request, (priority, self._arrival_count), now + wait)

    async def acquire(
        self, ticket: QueueTicket, excluded: Set[str]
    ) -> Target | NotRun:
        """Wait for a free slot; return its target or the refusal.

        The slot must be given back with ``release``.
        """
        now = self._clock.now()
        if not self._waiting:
            choice = self._choose(ticket, excluded, now)
            if isinstance(choice, Target):
                return choice
            if choice.reason != 'no_free_slot':
                return _not_routed(choice)
        waiter = _Waiter(
            ticket, excluded, asyncio.get_running_loop().create_future()
        )
        refused = self._waiting.push(ticket.key, waiter)
        if refused is not None and not refused.decision.done():
            refused.decision.set_result(self._queue_full(now))
        self.serve_waiting()
        try:
            return await waiter.decision
        except asyncio.CancelledError:
            self._release_unused(waiter)
            raise
        finally:
            self._waiting.remove(ticket.key)

    def release(self, target: Target) -> None:
        """Give a slot back and serve the waiting requests."""
        self._routing.release(target)
        self.serve_waiting()

    def serve_waiting(self) -> None:
        """Serve waiting requests after a change of the members."""
        now = self._clock.now()
        for key, waiter in self._waiting:
            decision = self._decide(waiter, now)
            if decision is not None:
                self._waiting.remove(key, served_at=now)
                if not waiter.decision.done():
                    waiter.decision.set_result(decision)
            elif not waiter.excluded:
                return

    async def run(self) -> None:
        """Refuse requests that waited too long, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._expire()
            self.serve_waiting()

    def _expire(self) -> None:
        now = self._clock.now()
        for key, waiter in self._waiting:
            if now >= waiter.ticket.give_up_at:
                self._waiting.remove(key)
                if not waiter.decision.done():
                    waiter.decision.set_result(
                        NotRun(
                            'queue_timeout',
                            "no slot became free in half of the request's time",
                            self._waiting.retry_after(now),
                            step=_STEP,
                        )
                    )

    def _decide(self, waiter: _Waiter, now: datetime) -> Target | NotRun | None:
        if waiter.decision.done():
            return None
        choice = self._choose(waiter.ticket, waiter.excluded, now)
        if isinstance(choice, Target):
            return choice
        return None if choice.reason == 'no_free_slot' else _not_routed(choice)

    def _choose(
        self, ticket: QueueTicket, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        return self._routing.choose(
            now, excluded=excluded, is_idempotent=ticket.request.is_idempotent
        )

    def _release_unused(self, waiter: _Waiter) -> None:
        if waiter.decision.done() and not waiter.decision.cancelled():
            decision = waiter.decision.result()
            if isinstance(decision, Target):
                self.release(decision)

    def _queue_full(self, now: datetime) -> NotRun:
        return NotRun(
            'queue_full',
            'the queue is full of requests of the same or a higher priority',
            max(self._waiting.retry_after(now), timedelta(seconds=1)),
            step=_STEP,
        )


def _not_routed(choice: NoTarget) -> NotRun:
    return NotRun(
        choice.reason,
        'no minion is available for the request now',
        choice.retry_after,
        step='route',
    )
