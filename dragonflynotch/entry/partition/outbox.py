"""Carries out actions of the partition: records first, then orders."""

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

__all__ = ('Outbox', 'OutboxListener', 'Outgoing')

# Orders of accepted jobs do not wait longer for their record: a later owner
# learns of them from the reports of the guards.
_RECORD_LIMIT_S = 0.3
_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class Outgoing:
    """An order for the guard of a worker."""

    worker_id: str
    order: Order


class OutboxListener(ABC):
    """Learns which records are written."""

    @abstractmethod
    def records_flushed(self, result: FlushResult) -> None:
        """Note the result of a commit."""


class Outbox:
    """Keeps the order of records and member orders.

    Orders of a job that is not accepted yet are held until its first record is
    committed, so no work starts for a job that a caller was refused.

    Parameters
    ----------
    recorder : JobRecorder
        Writes records.
    dispatch : callable
        Hands an order to the channel of its guard.
    listener : OutboxListener
        Told of written records.
    """

    def __init__(
        self,
        recorder: JobRecorder,
        dispatch: Callable[[Outgoing], None],
        listener: OutboxListener,
    ) -> None:
        """Create an empty outbox; ``run`` empties it."""
        self._recorder = recorder
        self._dispatch = dispatch
        self._listener = listener
        self._pending: deque[Outgoing] = deque()
        self._held: dict[str, list[Outgoing]] = {}
        self._wake = asyncio.Event()
        self._flush: asyncio.Task[None] | None = None
        # Unique over owners, which do not know each other's counts.
        self._label_prefix = secrets.token_hex(4)
        self._decisions = 0

    def put(self, actions: tuple[Action, ...]) -> None:
        """Carry out records and member orders of one decision."""
        self._decisions += 1
        label = f'{self._label_prefix}-{self._decisions}'
        for action in actions:
            match action:
                case WriteJob(job=job):
                    self._recorder.put(job)
                    self._pending.extend(_confirmations(job))
                case MemberOrder():
                    self._pending.append(
                        Outgoing(action.worker_id, order_for(action, label))
                    )
        self._wake.set()

    def clear(self) -> None:
        """Drop all orders, because the ownership is lost."""
        self._pending.clear()
        self._held.clear()

    def release(self, job_id: str, *, is_accepted: bool) -> None:
        """Hand out the held orders of a job.

        Members of a refused job were never prepared, but the partition waits
        for the outcome of its stop orders.
        """
        for outgoing in self._held.pop(job_id, ()):
            if is_accepted or not isinstance(outgoing.order, PrepareOrder):
                self._dispatch(outgoing)

    async def run(self) -> None:
        """Write records and hand out orders until cancelled."""
        while True:
            pause = _RETRY_S if self._recorder.is_dirty else None
            with suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._wake.wait()
            self._wake.clear()
            ready = len(self._pending)
            await self._write_records()
            for _ in range(min(ready, len(self._pending))):
                self._hand_out(self._pending.popleft())

    async def _write_records(self) -> None:
        if not self._recorder.is_dirty:
            return
        limit_s = 0 if self._recorder.is_failing else _RECORD_LIMIT_S
        if self._flush is None or self._flush.done():
            self._flush = asyncio.create_task(self._flush_all())
        await asyncio.wait((self._flush,), timeout=limit_s)

    async def _flush_all(self) -> None:
        while self._recorder.is_dirty:
            try:
                result = await self._recorder.flush()
            except NotOwnerError:
                return
            for job_id in result.accepted:
                self.release(job_id, is_accepted=True)
            self._listener.records_flushed(result)
            if self._recorder.is_failing:
                return

    def _hand_out(self, outgoing: Outgoing) -> None:
        job_id = outgoing.order.job_id
        if self._recorder.is_new(job_id):
            self._held.setdefault(job_id, []).append(outgoing)
        else:
            self._dispatch(outgoing)


def _confirmations(job: Job) -> tuple[Outgoing, ...]:
    if job.state is not JobState.running:
        return ()
    return tuple(
        Outgoing(member.worker_id, ConfirmOrder(job.job_id, job.attempt))
        for member in job.members
    )
