"""Requests that wait for a free slot, by priority."""

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
# Members that fall silent cause no event, so waiting requests are looked at
# regularly.
_TICK_S = 0.2
# The rest of the time is left for the request to run.
_WAIT_SHARE = 0.5
_STEP = 'queue'


@dataclass(slots=True, eq=False)
class QueueTicket:
    """Place of a request in the queue, kept over its retries.

    Parameters
    ----------
    request : Request
        The request.
    key : tuple of (int, int)
        Priority and number of arrival.
    give_up_at : datetime
        When the request is refused if it still waits.
    """

    request: Request
    key: tuple[int, int]
    give_up_at: datetime


@dataclass(slots=True, eq=False)
class _Waiter:
    ticket: QueueTicket
    excluded: Set[str]
    chosen: asyncio.Future[Target | NotRun]


class TargetQueue:
    """Gives free slots to requests in order of their priority.

    Parameters
    ----------
    routing : RoutingTable
        Members and their free slots.
    clock : Clock
        Clock for the waits.
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
        self._arrivals = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def ticket(self, request: Request, priority: int) -> QueueTicket:
        """Return a place at the end of the priority's queue."""
        self._arrivals += 1
        now = self._clock.now()
        wait = (request.deadline - now) * _WAIT_SHARE
        return QueueTicket(request, (priority, self._arrivals), now + wait)

    async def acquire(
        self, ticket: QueueTicket, excluded: Set[str]
    ) -> Target | NotRun:
        """Return a target with a slot for the request, or the refusal.

        The slot must be given back with ``release``.
        """
        now = self._clock.now()
        if not self._waiting:
            choice = self._choose(ticket, excluded, now)
            if isinstance(choice, Target):
                return choice
            if choice.reason != 'no_free_slot':
                return _no_minion(choice)
        waiter = _Waiter(
            ticket, excluded, asyncio.get_running_loop().create_future()
        )
        refused = self._waiting.push(ticket.key, waiter)
        if refused is not None and not refused.chosen.done():
            refused.chosen.set_result(self._full(now))
        self.pump()
        try:
            return await waiter.chosen
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            self._waiting.remove(ticket.key)

    def release(self, target: Target) -> None:
        """Give a slot back and serve the next waiting request."""
        self._routing.release(target)
        self.pump()

    def pump(self) -> None:
        """Serve waiting requests after a change of the members."""
        now = self._clock.now()
        for key, waiter in self._waiting:
            decision = self._decide(waiter, now)
            if decision is not None:
                self._waiting.remove(key, served_at=now)
                if not waiter.chosen.done():
                    waiter.chosen.set_result(decision)
            elif not waiter.excluded:
                return

    async def run(self) -> None:
        """Refuse requests that waited too long, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._expire()
            self.pump()

    def _expire(self) -> None:
        now = self._clock.now()
        for key, waiter in self._waiting:
            if now >= waiter.ticket.give_up_at:
                self._waiting.remove(key)
                if not waiter.chosen.done():
                    waiter.chosen.set_result(
                        NotRun(
                            'queue_timeout',
                            'no slot became free in half of the deadline',
                            self._waiting.retry_after(now),
                            step=_STEP,
                        )
                    )

    def _decide(self, waiter: _Waiter, now: datetime) -> Target | NotRun | None:
        if waiter.chosen.done():
            return None
        choice = self._choose(waiter.ticket, waiter.excluded, now)
        if isinstance(choice, Target):
            return choice
        return None if choice.reason == 'no_free_slot' else _no_minion(choice)

    def _choose(
        self, ticket: QueueTicket, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        return self._routing.choose(
            now, excluded=excluded, is_idempotent=ticket.request.is_idempotent
        )

    def _give_back(self, waiter: _Waiter) -> None:
        if waiter.chosen.done() and not waiter.chosen.cancelled():
            chosen = waiter.chosen.result()
            if isinstance(chosen, Target):
                self.release(chosen)

    def _full(self, now: datetime) -> NotRun:
        return NotRun(
            'queue_full',
            'the queue is full of requests at least as important',
            max(self._waiting.retry_after(now), timedelta(seconds=1)),
            step=_STEP,
        )


def _no_minion(choice: NoTarget) -> NotRun:
    return NotRun(
        choice.reason,
        'no minion can take the request now',
        choice.retry_after,
        step='route',
    )
