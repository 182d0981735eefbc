"""Carries out the actions of a partition: job records, then guard orders."""

import asyncio
import secrets
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from dragonflynotch.core.actions import Action, MemberOrder, WriteJob
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.entry.jobs.job_recorder import FlushResult, JobRecorder
from dragonflynotch.entry.partition.lease_row import NotOwnerError
from dragonflynotch.entry.partition.order_mapping import order_for
from dragonflynotch.links.orders import ConfirmOrder, Order, PrepareOrder

__all__ = ('Outbox', 'OutboxListener', 'OutgoingOrder')

# Longest time that the orders of an accepted job wait for its record. They may
# be sent before it, because a later owner learns of them from guard reports.
_RECORD_TIMEOUT_S = 0.3
_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class OutgoingOrder:
    """An order for the guard of a worker."""

    worker_id: str
    order: Order


class OutboxListener(ABC):
    """Receives the results of record commits."""

    @abstractmethod
    def records_flushed(self, result: FlushResult) -> None:
        """Process the result of a commit."""


class Outbox:
    """Writes job records before it sends the orders of the same decisions.

    Orders of a job that is not accepted yet are held until its first record is
    committed, so that no work starts for a job whose submission was refused.

    Parameters
    ----------
    recorder : JobRecorder
        Writes records.
    dispatch : callable
        Passes an order to the channel of its guard.
    listener : OutboxListener
        Notified of commits.
    """

    def __init__(
        self,
        recorder: JobRecorder,
        dispatch: Callable[[OutgoingOrder], None],
        listener: OutboxListener,
    ) -> None:
        """Create an empty outbox; ``run`` processes what is put into it."""
        self._recorder = recorder
        self._dispatch = dispatch
        self._listener = listener
        self._pending: deque[OutgoingOrder] = deque()
        self._held_orders: dict[str, list[OutgoingOrder]] = {}
        self._has_work = asyncio.Event()
        self._flush_task: asyncio.Task[None] | None = None
        # Keeps labels unique across owners, which all count from 1.
        self._label_prefix = secrets.token_hex(4)
        self._decision_count = 0

    def put(self, actions: tuple[Action, ...]) -> None:
        """Queue the records and member orders of one decision."""
        self._decision_count += 1
        label = f'{self._label_prefix}-{self._decision_count}'
        for action in actions:
            match action:
                case WriteJob(job=job):
                    self._recorder.enqueue(job)
                    self._pending.extend(_confirmations(job))
                case MemberOrder():
                    self._pending.append(
                        OutgoingOrder(
                            action.worker_id, order_for(action, label)
                        )
                    )
        self._has_work.set()

    def clear(self) -> None:
        """Drop all orders after a loss of ownership."""
        self._pending.clear()
        self._held_orders.clear()

    def dispatch_held(self, job_id: str, *, is_accepted: bool) -> None:
        """Dispatch the orders that were held until a job was accepted.

        The prepare orders of a refused job are dropped, so its members never
        come into being. Its other orders are sent, because the partition waits
        for the outcome of its stop orders.
        """
        for outgoing in self._held_orders.pop(job_id, ()):
            if is_accepted or not isinstance(outgoing.order, PrepareOrder):
                self._dispatch(outgoing)

    async def run(self) -> None:
        """Write records and dispatch orders until cancelled."""
        while True:
            wait_s = _RETRY_S if self._recorder.has_unwritten else None
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._has_work.wait()
            self._has_work.clear()
            pending_count = len(self._pending)
            await self._write_records()
            for _ in range(min(pending_count, len(self._pending))):
                self._dispatch_or_hold(self._pending.popleft())

    async def _write_records(self) -> None:
        if not self._recorder.has_unwritten:
            return
        timeout_s = 0 if self._recorder.is_failing else _RECORD_TIMEOUT_S
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush_all())
        await asyncio.wait((self._flush_task,), timeout=timeout_s)

    async def _flush_all(self) -> None:
        while self._recorder.has_unwritten:
            try:
                result = await self._recorder.flush()
            except NotOwnerError:
                return
            for job_id in result.accepted:
                self.dispatch_held(job_id, is_accepted=True)
            self._listener.records_flushed(result)
            if self._recorder.is_failing:
                return

    def _dispatch_or_hold(self, outgoing: OutgoingOrder) -> None:
        job_id = outgoing.order.job_id
        if self._recorder.is_unaccepted(job_id):
            self._held_orders.setdefault(job_id, []).append(outgoing)
        else:
            self._dispatch(outgoing)


def _confirmations(job: Job) -> tuple[OutgoingOrder, ...]:
    if job.state is not JobState.running:
        return ()
    return tuple(
        OutgoingOrder(member.worker_id, ConfirmOrder(job.job_id, job.attempt))
        for member in job.members
    )
