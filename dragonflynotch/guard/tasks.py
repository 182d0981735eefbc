"""Keeps the members of a guard and its worker in agreement."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError
from dragonflynotch.guard.members import Member, MemberTable
from dragonflynotch.guard.order_book import OrderBook
from dragonflynotch.guard.reconciliation import (
    adopt_task,
    commands_for,
    observe_view,
)
from dragonflynotch.guard.task_lease import TaskLease
from dragonflynotch.links.orders import (
    GuardReport,
    MemberPhase,
    OrderBatch,
    OrderReply,
)
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.services.worker import WorkerRuntime, WorkerView

__all__ = ('TaskKeeper', 'TaskPolicy')

_MILLISECOND = timedelta(milliseconds=1)
# Leaves time for the checkpoint before the end of the lease.
_CHECKPOINT_MARGIN = timedelta(seconds=5)
_MARGIN_SHARE = 4
_RELEASE_LIMIT_S = 2
_RECOVERING = 'recovering'

_log = part_logger('guard.tasks')


@dataclass(frozen=True, slots=True)
class TaskPolicy:
    """Durations of the task protocol in a guard.

    Parameters
    ----------
    task_lease : timedelta
        Task lease.
    start_confirmation : timedelta
        How long a member runs without confirmation.
    worker_poll : timedelta
        Time between calls of the worker while it holds members.
    worker_idle_poll : timedelta
        Time between calls while it holds none.
    worker_silence : timedelta
        Time without an answer after which the worker is announced as gone.
    drain_notice : timedelta
        Time between the announcement of a drain and the stop of members.
    """

    task_lease: timedelta = timedelta(seconds=20)
    start_confirmation: timedelta = timedelta(seconds=10)
    worker_poll: timedelta = timedelta(seconds=0.1)
    worker_idle_poll: timedelta = timedelta(seconds=0.5)
    worker_silence: timedelta = timedelta(seconds=2)
    drain_notice: timedelta = timedelta(seconds=3)

    @property
    def checkpoint_margin(self) -> timedelta:
        """How long before the end of the lease members stop."""
        return min(_CHECKPOINT_MARGIN, self.task_lease / _MARGIN_SHARE)


@dataclass(frozen=True, slots=True)
class _Seen:
    """The last answer of the worker and when it arrived."""

    view: WorkerView
    arrived_at: datetime


class TaskKeeper:
    """Owns the members of one guard.

    Parameters
    ----------
    guard_id, incarnation : str, int
        Named in reports.
    worker : WorkerRuntime
        The worker beside the guard.
    accelerators : int
        Accelerators of the worker.
    clock : Clock
        Clock of the guard.
    policy : TaskPolicy
        Durations.
    on_progress : callable
        Called when the owner should fetch the report.
    """

    def __init__(
        self,
        guard_id: str,
        incarnation: int,
        worker: WorkerRuntime,
        accelerators: int,
        clock: Clock,
        policy: TaskPolicy,
        on_progress: Callable[[], None],
    ) -> None:
        """Create a keeper without members; ``run`` asks the worker first."""
        self._guard_id = guard_id
        self._incarnation = incarnation
        self._worker = worker
        self._clock = clock
        self._policy = policy
        self._on_progress = on_progress
        self._lease = TaskLease(policy.task_lease)
        self._table = MemberTable(accelerators)
        self._orders = OrderBook(
            self._table, self._lease, incarnation, self._refusal
        )
        self._seen: _Seen | None = None
        self._is_call_lost = False
        self._worker_lease_until: datetime | None = None
        self._is_draining = False
        self._wake = asyncio.Event()
        self._settled = asyncio.Event()
        self._released = asyncio.Event()
        self._recovered = asyncio.Event()

    @property
    def highest_fence(self) -> int:
        """Highest fence seen."""
        return self._lease.highest_fence

    @property
    def task_digest(self) -> int:
        """Checksum that changes with the report."""
        return self._table.digest(self.highest_fence)

    @property
    def free_accelerators(self) -> int:
        """Accelerators without a member."""
        return self._table.free_accelerators

    @property
    def is_worker_present(self) -> bool:
        """Whether the worker answered recently."""
        if self._seen is None:
            return False
        age = self._clock.now() - self._seen.arrived_at
        return age < self._policy.worker_silence

    @property
    def report(self) -> GuardReport:
        """All members with their outcomes."""
        return GuardReport(
            self._guard_id,
            self._incarnation,
            self.highest_fence,
            self.task_digest,
            self._table.statuses,
        )

    def accept(self, batch: OrderBatch) -> OrderReply:
        """Record a batch of orders; the outcomes come with the report."""
        if self._seen is None:
            return OrderReply(self.highest_fence, _RECOVERING)
        # A member that starts within the margin would be stopped at once.
        leased_at = self._clock.now() + self._policy.checkpoint_margin
        reply = self._orders.apply(batch, leased_at)
        self._wake.set()
        return reply

    def acknowledge(self, sent_at: datetime, fence: int) -> None:
        """Renew the task lease by an acknowledgement of the owner."""
        self._lease.renew(sent_at, fence)

    async def wait_for_worker(self, limit: timedelta) -> None:
        """Wait for the first answer of the worker.

        A guard that announced itself earlier would seem to have lost its
        tasks after a restart.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(limit.total_seconds()):
                await self._recovered.wait()

    async def drain(self, limit: timedelta) -> bool:
        """Refuse new members, stop all and return whether they ended.

        The owner has the drain notice to checkpoint whole gangs, and a short
        time to fetch the outcomes.
        """
        self._is_draining = True
        if self._seen is None and not tuple(self._table):
            # The worker never answered, so this guard started nothing on it.
            return True
        if self._table.active:
            await asyncio.sleep(self._policy.drain_notice.total_seconds())
        for member in self._table.active:
            member.stop(limit // _MILLISECOND, 'drained')
        self._wake.set()
        self._settled.clear()
        self._released.clear()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._settled.wait()
        except TimeoutError:
            return False
        with suppress(TimeoutError):
            async with asyncio.timeout(_RELEASE_LIMIT_S):
                await self._released.wait()
        return True

    async def run(self) -> None:
        """Call the worker until cancelled."""
        progress = self._table.progress
        while True:
            await self.synchronise()
            if progress != self._table.progress:
                progress = self._table.progress
                self._on_progress()
            is_idle = self._seen is not None and not tuple(self._table)
            pause = (
                self._policy.worker_idle_poll
                if is_idle
                else self._policy.worker_poll
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(pause.total_seconds()):
                    await self._wake.wait()

    async def synchronise(self) -> None:
        """Make one call of the worker and record what it says."""
        self._wake.clear()
        sent_at = self._clock.now()
        self._stop_overdue(sent_at)
        lease_until = self._worker_lease()
        commands = commands_for(self._table, self._view)
        try:
            view = await self._worker.apply(
                fence=self.highest_fence,
                lease_end_ms=self._on_worker_clock(lease_until),
                commands=commands,
            )
        except LinkError as error:
            self._note_silence(error)
            return
        now = self._clock.now()
        if self._seen is None:
            self._recover(view, sent_at)
            self._recovered.set()
        self._seen = _Seen(view, now)
        self._is_call_lost = False
        observe_view(self._table, view, commands)
        self._expect_confirmations(now)
        if not self._table.active:
            self._settled.set()
        if not tuple(self._table):
            self._released.set()

    @property
    def _view(self) -> WorkerView | None:
        return None if self._seen is None else self._seen.view

    def _refusal(self) -> str:
        if self._is_draining:
            return 'draining'
        return '' if self.is_worker_present else 'worker_silent'

    def _worker_lease(self) -> datetime | None:
        # While the worker does not answer, its lease is not extended, so its
        # tasks end at a time that is known here.
        if not self._is_call_lost and self._seen is not None:
            self._worker_lease_until = self._lease.until
        return self._worker_lease_until

    def _on_worker_clock(self, until: datetime | None) -> int:
        if until is None or self._seen is None:
            return 0
        # Counted from the arrival of the answer that carried the worker's
        # clock, so a delay only shortens the lease.
        rest = until - self._seen.arrived_at
        return self._seen.view.clock_ms + rest // _MILLISECOND

    def _recover(self, view: WorkerView, sent_at: datetime) -> None:
        rest_ms = max(view.lease_end_ms - view.clock_ms, 0)
        until = sent_at + rest_ms * _MILLISECOND
        self._worker_lease_until = until
        self._lease.adopt(until, view.highest_fence)
        for task in view.tasks:
            adopt_task(self._table, task)

    def _stop_overdue(self, now: datetime) -> None:
        until = self._lease.until
        margin = self._policy.checkpoint_margin
        is_ending = until is not None and now >= until - margin
        for member in self._table.active:
            if is_ending and until is not None:
                rest_ms = max((until - now) // _MILLISECOND, 0)
                member.stop(rest_ms, 'lease_lapsed')
            elif _is_unconfirmed(member, now):
                member.stop(0, 'start_not_confirmed')

    def _expect_confirmations(self, now: datetime) -> None:
        for member in self._table.active:
            is_running = member.phase is MemberPhase.running
            if is_running and member.confirm_by is None:
                member.confirm_by = now + self._policy.start_confirmation

    def _note_silence(self, error: LinkError) -> None:
        if not self._is_call_lost:
            _log.warning('worker did not answer: {}', error)
        self._is_call_lost = True
        until = self._worker_lease_until
        if until is None or self._clock.now() < until:
            return
        for member in self._table.active:
            member.end(MemberPhase.failed, 'worker_silent')


def _is_unconfirmed(member: Member, now: datetime) -> bool:
    if member.is_confirmed or member.confirm_by is None:
        return False
    return now >= member.confirm_by
