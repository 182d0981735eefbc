"""Starts runs in room that has been idle for too long."""

from collections.abc import Sequence

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.placement.backfill import (
    IdleRoom,
    IdleRoomMonitor,
    UnplacedStep,
)
from dragonflynotch.workflows.placement.run_orderer import RunOrderer
from dragonflynotch.workflows.placement.worker_pool import (
    WorkerPool,
    count_step_tasks,
)

__all__ = ('Backfiller',)


class Backfiller:
    """Orders runs of waiting steps in idle room, see ``backfill``."""

    def __init__(
        self, run_orderer: RunOrderer, decision_log: DecisionLogBuffer
    ) -> None:
        """Create a backfiller that has observed no idle room."""
        self._run_orderer = run_orderer
        self._decision_log = decision_log
        self._monitor = IdleRoomMonitor()

    def pause(self, entry: UnplacedStep, now_ms: int, stop_ms: int) -> None:
        """Leave the room of a service to a step for which runs stop now."""
        self._monitor.pause(entry, now_ms, stop_ms)

    def extend_pause(self, entry: UnplacedStep, now_ms: int) -> None:
        """Leave the room to the step while it waits for its stopping runs."""
        self._monitor.extend_pause(entry, now_ms)

    def fill(self, pool: WorkerPool, unplaced: Sequence[UnplacedStep]) -> None:
        """Order runs of waiting steps in room that has been idle too long."""
        for room in self._monitor.find_due(pool, unplaced):
            self._fill(pool, room)

    def _fill(self, pool: WorkerPool, room: IdleRoom) -> None:
        for entry in room.steps:
            share = room.use.share
            runs = self._fill_with_step(pool, room, entry)
            if runs:
                urgency = entry.waiting.urgency
                self._decision_log.record(
                    'room_backfilled',
                    job=urgency.job_id,
                    step=urgency.step,
                    runs=runs,
                    behind_job=room.holder.job_id if room.holder else '',
                    behind_step=room.holder.step if room.holder else None,
                    share_in_use=round(share, 2),
                    idle_ms=room.idle_ms,
                )

    def _fill_with_step(
        self, pool: WorkerPool, room: IdleRoom, entry: UnplacedStep
    ) -> int:
        """Order runs of a step while room is left; return their number."""
        demand, job = entry.backfill_demand, entry.waiting.job
        step = demand.step
        if not room.may_take_more:
            return 0
        if step.spec.is_gang:
            runs = len(step.tasks)
            if not self._run_orderer.place_gang(pool, demand, job):
                return 0
            room.take(step.spec.needs, runs)
            return runs
        step_tasks_by_minion = count_step_tasks(step)
        runs = 0
        for task in step.waiting_tasks:
            if not room.may_take_more:
                break
            if self._run_orderer.place_task(
                pool, demand, job, task, step_tasks_by_minion
            ):
                room.take(step.spec.needs)
                runs += 1
            elif task.is_unrestricted:
                break
        return runs
