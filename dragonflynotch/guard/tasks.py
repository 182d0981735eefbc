"""Reconciles the members of a guard with the tasks of its worker."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock
from dragonflynotch.core.errors import LinkError
from dragonflynotch.guard.members import Member, MemberTable
from dragonflynotch.guard.order_processor import OrderProcessor
from dragonflynotch.guard.reconciliation import (
    adopt_task,
    apply_worker_view,
    end_lost_members,
    worker_commands,
)
from dragonflynotch.guard.task_lease import TaskLease
from dragonflynotch.links.orders import (
    GuardReport,
    MemberPhase,
    OrderBatch,
    OrderReply,
)
from dragonflynotch.observability.logs import part_logger
from dragonflynotch.services.worker import (
    LaunchTask,
    TaskCommand,
    WorkerRuntime,
    WorkerView,
)

__all__ = ('TaskReconciler', 'TaskTimings')

_MILLISECOND = timedelta(milliseconds=1)
# Members are stopped before the lease ends, so that they can write their
# checkpoints: by this margin, or by a quarter of the lease if that is shorter.
_MAX_CHECKPOINT_MARGIN = timedelta(seconds=5)
_LEASE_TO_MARGIN_RATIO = 4
_RELEASE_TIMEOUT_S = 2
_REASON_RECOVERING = 'recovering'

_log = part_logger('guard.tasks')


@dataclass(frozen=True, slots=True)
class TaskTimings:
    """Durations of the task protocol in a guard.

    Parameters
    ----------
    task_lease : timedelta
        Duration of the task lease.
    start_confirmation : timedelta
        How long a member may run before the owner confirms its gang.
    worker_poll : timedelta
        Interval between calls to the worker while there are members.
    worker_idle_poll : timedelta
        Interval between calls while there are none.
    worker_silence : timedelta
        Time without an answer after which the worker is announced as absent.
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
        """How long before the end of the lease members are stopped."""
        return min(
            _MAX_CHECKPOINT_MARGIN, self.task_lease / _LEASE_TO_MARGIN_RATIO
        )


@dataclass(frozen=True, slots=True)
class _WorkerAnswer:
    """An answer of the worker and its arrival time."""

    view: WorkerView
    arrived_at: datetime


class TaskReconciler:
    """Applies orders to the members of a guard and commands its worker.

    The worker is polled: each call renews the lease of the worker, sends the
    commands that are due and returns the state of all tasks.

    Parameters
    ----------
    guard_id, incarnation : str, int
        Identify the guard process in reports.
    worker : WorkerRuntime
        Client of the worker of this guard.
    accelerators : int
        Number of accelerators of the worker.
    clock : Clock
        Clock of the guard.
    timings : TaskTimings
        Durations of the task protocol.
    on_progress : callable
        Called when the owner should fetch a new report.
    """

    def __init__(
        self,
        guard_id: str,
        incarnation: int,
        worker: WorkerRuntime,
        accelerators: int,
        clock: Clock,
        timings: TaskTimings,
        on_progress: Callable[[], None],
    ) -> None:
        """Create a reconciler without members; ``run`` adopts running tasks."""
        self._guard_id = guard_id
        self._incarnation = incarnation
        self._worker = worker
        self._clock = clock
        self._timings = timings
        self._on_progress = on_progress
        self._lease = TaskLease(timings.task_lease)
        self._members = MemberTable(accelerators)
        self._orders = OrderProcessor(
            self._members, self._lease, incarnation, self._refusal_reason
        )
        self._last_answer: _WorkerAnswer | None = None
        self._has_call_failed = False
        self._worker_lease_expires_at: datetime | None = None
        self._is_draining = False
        self._poll_now = asyncio.Event()
        self._all_ended = asyncio.Event()
        self._all_released = asyncio.Event()
        self._first_answer_received = asyncio.Event()

    @property
    def highest_fence(self) -> int:
        """Highest fence seen in acknowledgements, orders or at the worker."""
        return self._lease.highest_fence

    @property
    def task_digest(self) -> int:
        """Checksum of the report contents."""
        return self._members.digest(self.highest_fence)

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators that no member reserves."""
        return self._members.free_accelerators

    @property
    def is_worker_present(self) -> bool:
        """Whether the worker answered within the silence time-out."""
        if self._last_answer is None:
            return False
        age = self._clock.now() - self._last_answer.arrived_at
        return age < self._timings.worker_silence

    @property
    def report(self) -> GuardReport:
        """Report of all members with their phases and outcomes."""
        return GuardReport(
            self._guard_id,
            self._incarnation,
            self.highest_fence,
            self.task_digest,
            self._members.statuses,
        )

    def accept(self, batch: OrderBatch) -> OrderReply:
        """Apply a batch of orders; outcomes are given in the report."""
        if self._last_answer is None:
            return OrderReply(self.highest_fence, _REASON_RECOVERING)
        # A member that starts within the checkpoint margin would be stopped
        # immediately.
        lease_required_at = self._clock.now() + self._timings.checkpoint_margin
        reply = self._orders.apply(batch, lease_required_at)
        self._poll_now.set()
        return reply

    def acknowledge(self, sent_at: datetime, fence: int) -> None:
        """Renew the task lease for an announcement sent at ``sent_at``."""
        self._lease.renew(sent_at, fence)

    async def wait_for_worker(self, limit: timedelta) -> None:
        """Wait for the first answer of the worker.

        The owner would take the tasks for lost if a restarted guard announced
        itself before it adopted the tasks of its worker.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(limit.total_seconds()):
                await self._first_answer_received.wait()

    async def drain(self, limit: timedelta) -> bool:
        """Refuse new members, stop all and return whether all ended in time.

        Members are stopped after the drain notice, in which the owner can
        checkpoint complete gangs. Once they ended it has up to 2 s to fetch
        the outcomes and release the members.
        """
        self._is_draining = True
        if self._last_answer is None and not tuple(self._members):
            # The worker never answered, so this process started no task.
            return True
        if self._members.active:
            await asyncio.sleep(self._timings.drain_notice.total_seconds())
        for member in self._members.active:
            member.stop(limit // _MILLISECOND, 'drained')
        self._poll_now.set()
        self._all_ended.clear()
        self._all_released.clear()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._all_ended.wait()
        except TimeoutError:
            return False
        with suppress(TimeoutError):
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self._all_released.wait()
        return True

    async def run(self) -> None:
        """Poll the worker until cancelled."""
        progress = self._members.progress
        while True:
            await self.synchronise()
            if progress != self._members.progress:
                progress = self._members.progress
                self._on_progress()
            is_idle = self._last_answer is not None and not tuple(self._members)
            poll_interval = (
                self._timings.worker_idle_poll
                if is_idle
                else self._timings.worker_poll
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(poll_interval.total_seconds()):
                    await self._poll_now.wait()

    async def synchronise(self) -> None:
        """Make one call to the worker and apply its answer."""
        self._poll_now.clear()
        called_at = self._clock.now()
        self._stop_expired_members(called_at)
        worker_lease_expires_at = self._update_worker_lease()
        # After a failed call the worker may have restarted, which only its
        # next view shows.
        commands = worker_commands(
            self._members,
            self._last_view,
            may_repeat_launches=not self._has_call_failed,
        )
        self._mark_launches(commands)
        try:
            view = await self._worker.apply(
                fence=self.highest_fence,
                lease_end_ms=self._to_worker_clock_ms(worker_lease_expires_at),
                commands=commands,
            )
        except LinkError as error:
            self._handle_call_failure(error)
            return
        now = self._clock.now()
        if self._last_answer is None:
            self._adopt_worker_state(view, called_at)
            self._first_answer_received.set()
        if view.is_restart_of(self._last_view):
            _log.warning('the worker restarted')
            end_lost_members(self._members, view)
        self._last_answer = _WorkerAnswer(view, now)
        self._has_call_failed = False
        apply_worker_view(self._members, view, commands)
        self._set_confirmation_deadlines(now)
        if not self._members.active:
            self._all_ended.set()
        if not tuple(self._members):
            self._all_released.set()

    @property
    def _last_view(self) -> WorkerView | None:
        return None if self._last_answer is None else self._last_answer.view

    def _mark_launches(self, commands: Iterable[TaskCommand]) -> None:
        for command in commands:
            member = self._members.find((command.job_id, command.attempt))
            if member is not None and isinstance(command, LaunchTask):
                member.is_launch_sent = True

    def _refusal_reason(self) -> str:
        if self._is_draining:
            return 'draining'
        return '' if self.is_worker_present else 'worker_silent'

    def _update_worker_lease(self) -> datetime | None:
        # The lease is not extended while the worker does not answer, so the
        # guard knows when the tasks of the worker end.
        if not self._has_call_failed and self._last_answer is not None:
            self._worker_lease_expires_at = self._lease.expires_at
        return self._worker_lease_expires_at

    def _to_worker_clock_ms(self, expires_at: datetime | None) -> int:
        if expires_at is None or self._last_answer is None:
            return 0
        # The worker's clock was read before its answer arrived, so a delay in
        # transit only shortens the lease.
        remaining = expires_at - self._last_answer.arrived_at
        return self._last_answer.view.clock_ms + remaining // _MILLISECOND

    def _adopt_worker_state(
        self, view: WorkerView, called_at: datetime
    ) -> None:
        remaining_ms = max(view.lease_end_ms - view.clock_ms, 0)
        expires_at = called_at + remaining_ms * _MILLISECOND
        self._worker_lease_expires_at = expires_at
        self._lease.restore(expires_at, view.highest_fence)
        for task in view.tasks:
            adopt_task(self._members, task)

    def _stop_expired_members(self, now: datetime) -> None:
        expires_at = self._lease.expires_at
        margin = self._timings.checkpoint_margin
        is_lease_ending = expires_at is not None and now >= expires_at - margin
        for member in self._members.active:
            if is_lease_ending and expires_at is not None:
                remaining_ms = max((expires_at - now) // _MILLISECOND, 0)
                member.stop(remaining_ms, 'lease_lapsed')
            elif _has_missed_confirmation(member, now):
                member.stop(0, 'start_not_confirmed')

    def _set_confirmation_deadlines(self, now: datetime) -> None:
        for member in self._members.active:
            is_running = member.phase is MemberPhase.running
            if is_running and member.confirmation_deadline is None:
                member.confirmation_deadline = (
                    now + self._timings.start_confirmation
                )

    def _handle_call_failure(self, error: LinkError) -> None:
        if not self._has_call_failed:
            _log.warning('call to the worker failed: {}', error)
        self._has_call_failed = True
        expires_at = self._worker_lease_expires_at
        if expires_at is None or self._clock.now() < expires_at:
            return
        for member in self._members.active:
            member.end(MemberPhase.failed, 'worker_silent')


def _has_missed_confirmation(member: Member, now: datetime) -> bool:
    if member.is_confirmed or member.confirmation_deadline is None:
        return False
    return now >= member.confirmation_deadline
