"""Log entries about steps that wait, at most one per step and interval."""

from dataclasses import dataclass

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.ordering.ranking import Urgency
from dragonflynotch.workflows.placement.step_room import StepRoom
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.progress import Job, Step

__all__ = ('WaitLog', 'WaitingStep')

# Minimum time between two log entries about the same waiting step.
_LOG_INTERVAL_MS = 5000
# All times of such entries are deleted when there are more than this.
_MAX_LOGGED_STEPS = 10_000


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step that is due and whose dependencies are done."""

    urgency: Urgency
    job: Job
    step: Step


class WaitLog:
    """Records why steps wait, with the room that their workers have."""

    def __init__(self, decision_log: DecisionLogBuffer) -> None:
        """Create a log that adds its entries to ``decision_log``."""
        self._decision_log = decision_log
        # Store time of the last entry. A change of urgency is logged at once.
        self._logged_ms: dict[Urgency, int] = {}

    def is_due(self, pool: WorkerPool, waiting: WaitingStep) -> bool:
        """Return whether the wait of a step has not been recorded recently."""
        logged_ms = self._logged_ms.get(waiting.urgency)
        return logged_ms is None or pool.now_ms - logged_ms >= _LOG_INTERVAL_MS

    def record(
        self,
        pool: WorkerPool,
        waiting: WaitingStep,
        demand: Demand,
        room: StepRoom,
    ) -> None:
        """Record that a step waits, with the room that it has."""
        urgency = waiting.urgency
        if len(self._logged_ms) > _MAX_LOGGED_STEPS:
            self._logged_ms.clear()
        self._logged_ms[urgency] = pool.now_ms
        spec = waiting.step.spec
        self._decision_log.record(
            'step_waits',
            job=urgency.job_id,
            step=urgency.step,
            tier=urgency.tier,
            priority=urgency.priority,
            work_left_core_s=round(urgency.work_left),
            tasks=len(waiting.step.waiting_tasks),
            needs=(spec.millicores, spec.memory_mb, spec.accelerators),
            workers=len(pool.workers),
            candidates=room.workers,
            avoided=sorted(demand.avoided_minions),
            fit_total=room.fit_total,
            fit_free=room.fit_free,
            fit_unreserved=room.fit_unreserved,
            fit_avoided=room.fit_avoided,
            fit_kept_apart=room.fit_kept_apart,
            fit_excluded=room.fit_excluded,
            fit_off_rack=room.fit_off_rack,
            excluded_workers=room.excluded_workers,
            reserved_by=room.reserved_by,
            oldest_report_ms=room.oldest_report_ms,
            waited_ms=pool.now_ms - waiting.job.spec.accepted_ms,
            last_start_in_ms=urgency.last_start_ms - pool.now_ms,
        )
