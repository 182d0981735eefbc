"""Simulates the guards that execute the orders of a scheduler."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial, singledispatchmethod
from typing import Final

from benchmarks.policy.agenda import Agenda
from benchmarks.policy.holdings import Holdings
from benchmarks.policy.progress import HeldMember, JobProgress
from benchmarks.policy.tasks import TaskRunner
from dragonflynotch.core.actions import (
    CheckpointMember,
    MemberOrder,
    PrepareMember,
    StartMember,
    StopMember,
    ThrottleMember,
)
from dragonflynotch.core.events import (
    Event,
    MemberPrepared,
    MemberRefused,
    MemberStarted,
    MemberState,
    MemberStopped,
)

__all__ = ('GuardPool',)

_MESSAGE_DELAY: Final = timedelta(milliseconds=50)
_STOP_DURATION: Final = timedelta(milliseconds=100)
_CHECKPOINT_DURATION: Final = timedelta(seconds=8)


class GuardPool:
    """Simulated guards of all workers in one data centre."""

    def __init__(
        self,
        agenda: Agenda,
        holdings: Holdings,
        tasks: TaskRunner,
        jobs: Mapping[str, JobProgress],
    ) -> None:
        """Share the clock, holdings, tasks and jobs of a replay."""
        self._agenda = agenda
        self._holdings = holdings
        self._tasks = tasks
        self._jobs = jobs
        self._double_uses = 0

    @property
    def double_uses(self) -> int:
        """Number of prepare orders for accelerators already in use."""
        return self._double_uses

    def execute(self, order: MemberOrder) -> None:
        """Execute one order and schedule its answer.

        Parameters
        ----------
        order : MemberOrder
            Order for one member; a lost worker does not answer.
        """
        self._tasks.note_fence(order.fence)
        if order.worker_id not in self._holdings.lost:
            self._execute_order(order)

    @singledispatchmethod
    def _execute_order(self, order: MemberOrder) -> None:
        raise TypeError(f'unsupported member order: {order!r}')

    @_execute_order.register
    def _prepare(self, order: PrepareMember) -> None:
        progress = self._jobs[order.job_id]
        if self._find_member(order) is not None:
            self._schedule_answer(MemberPrepared, order)
            return
        if self._holdings.overlaps(order.member):
            self._double_uses += 1
            self._schedule_answer(MemberRefused, order, 'accelerator in use')
            return
        if progress.attempt != order.attempt:
            progress.attempt = order.attempt
            progress.saves_at_stop = None
            progress.resumed_from = progress.checkpoints.get(
                order.checkpoint, timedelta()
            )
        self._holdings.take(order.job_id, order.member)
        progress.members[order.worker_id] = HeldMember(order.member)
        self._schedule_answer(MemberPrepared, order)

    @_execute_order.register
    def _start(self, order: StartMember) -> None:
        held = self._find_member(order)
        if held is None or held.is_stopping:
            return
        progress = self._jobs[order.job_id]
        if not progress.holds_whole_gang:
            self._tasks.count_partial_gang()
        held.state = MemberState.running
        self._schedule_answer(MemberStarted, order)
        is_idle = progress.computing_since is None
        if is_idle and progress.is_running_everywhere:
            self._tasks.begin(progress)

    @_execute_order.register
    def _checkpoint(self, order: CheckpointMember) -> None:
        progress = self._jobs[order.job_id]
        held = self._find_member(order)
        if held is not None and progress.computing_since is not None:
            work_done = progress.work_done(self._agenda.now)
            self._agenda.add_after(
                _CHECKPOINT_DURATION,
                partial(self._complete_checkpoint, order, work_done),
            )

    @_execute_order.register
    def _throttle(self, order: ThrottleMember) -> None:
        self._tasks.throttle(order.job_id)

    @_execute_order.register
    def _stop(self, order: StopMember) -> None:
        held = self._find_member(order)
        if held is None:
            self._schedule_answer(MemberStopped, order)
            return
        progress = self._jobs[order.job_id]
        if held.is_stopping:
            if order.checkpoint_limit >= _CHECKPOINT_DURATION:
                return
            progress.abandon_checkpoint()
        self._halt_gang(progress, order)
        held.is_stopping = True
        self._tasks.expect_stop(progress)
        saves = progress.saves_at_stop is not None
        self._agenda.add_after(
            _CHECKPOINT_DURATION if saves else _STOP_DURATION,
            partial(self._complete_stop, order),
        )

    def _halt_gang(self, progress: JobProgress, order: StopMember) -> None:
        # The first stop order halts the whole gang; the orders for its other
        # members follow immediately.
        if progress.computing_since is None:
            return
        now = self._agenda.now
        kept = progress.last_saved
        can_save = progress.job.spec.is_checkpointable
        if can_save and order.checkpoint_limit >= _CHECKPOINT_DURATION:
            kept = progress.work_done(now)
            progress.saves_at_stop = kept
        progress.halt(now, kept, is_fault=False)

    def _find_member(self, order: MemberOrder) -> HeldMember | None:
        progress = self._jobs[order.job_id]
        if progress.attempt != order.attempt:
            return None
        return progress.members.get(order.worker_id)

    def _schedule_answer(
        self,
        event_type: Callable[..., Event],
        order: MemberOrder,
        *details: str,
    ) -> None:
        event = event_type(
            order.job_id, order.attempt, order.worker_id, *details
        )
        self._agenda.add_after(_MESSAGE_DELAY, lambda: (event,))

    def _complete_checkpoint(
        self, order: CheckpointMember, work_done: timedelta
    ) -> tuple[Event, ...]:
        if self._find_member(order) is None:
            return ()
        progress = self._jobs[order.job_id]
        return (self._tasks.save(progress, order.worker_id, work_done),)

    def _complete_stop(self, order: StopMember) -> tuple[Event, ...]:
        if self._find_member(order) is None:
            return ()
        progress = self._jobs[order.job_id]
        events: list[Event] = []
        if progress.saves_at_stop is not None:
            events.append(
                self._tasks.save(
                    progress, order.worker_id, progress.saves_at_stop
                )
            )
        self._tasks.drop(progress, order.worker_id)
        events.append(
            MemberStopped(order.job_id, order.attempt, order.worker_id)
        )
        return tuple(events)
