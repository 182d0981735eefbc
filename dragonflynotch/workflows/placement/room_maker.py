"""Decides whether other runs stop for a waiting step, and for which."""

from collections.abc import Sequence
from dataclasses import replace

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.allocations import (
    estimated_core_seconds,
)
from dragonflynotch.workflows.placement.backfilled_runs import BackfilledRuns
from dragonflynotch.workflows.placement.preemption import (
    PreemptionLimits,
    RoomPlan,
    plan_room,
    stop_in_plan,
)
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Allocation, Allocations
from dragonflynotch.workflows.runs.run_tracker import RunTracker

__all__ = ('RoomMaker',)


class RoomMaker:
    """Stops runs to free resources for steps that come earlier.

    These are less urgent runs for urgent steps, and backfilled runs for any
    step that comes earlier.

    Parameters
    ----------
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    mechanisms : Mechanisms
        Parts of the policy to use.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
        stop_ms: int,
        mechanisms: Mechanisms,
    ) -> None:
        """Create a room maker that stops runs through ``tracker``."""
        self._jobs = jobs
        self._tracker = tracker
        self._decision_log = decision_log
        self.stop_ms = stop_ms
        self._mechanisms = mechanisms
        # Backfilled runs of the round, set by the placer.
        self.backfilled = BackfilledRuns()

    def may_make_room(self, pool: WorkerPool, waiting: WaitingStep) -> bool:
        """Return whether any runs may be stopped for a step."""
        return self._priority_limits(
            pool, waiting
        ) is not None or self.backfilled.may_make_room(pool, waiting)

    def make_room(
        self,
        pool: WorkerPool,
        waiting: WaitingStep,
        demand: Demand,
        allocations: Allocations,
    ) -> RoomPlan:
        """Stop runs to free resources for a step that does not fit.

        These are less urgent runs, if the step is urgent, and backfilled runs
        that come later than the step.
        """
        limits = self._limits(pool, waiting)
        if limits is None:
            return RoomPlan(will_fit=False)
        plan = plan_room(pool, demand, allocations, limits)
        if plan.victims:
            self._stop_for(waiting, plan.victims, limits, pool.now_ms)
            stop_in_plan(allocations, plan.victims, pool.now_ms + self.stop_ms)
        return plan

    def _limits(
        self, pool: WorkerPool, waiting: WaitingStep
    ) -> PreemptionLimits | None:
        """Return which runs may be stopped for a step, or ``None`` for none."""
        limits = self._priority_limits(pool, waiting)
        reclaimable = self.backfilled.reclaimable(waiting.urgency)
        if not reclaimable:
            return limits
        return replace(limits or PreemptionLimits(), reclaimable=reclaimable)

    def _priority_limits(
        self, pool: WorkerPool, waiting: WaitingStep
    ) -> PreemptionLimits | None:
        """Return which less urgent runs may be stopped, or ``None`` for none.

        There is no limit on the work lost for a guaranteed step. For other
        urgent steps, and those about to be late, the work lost may not exceed
        the work of the step itself.
        """
        priority = waiting.job.policy.priority
        if waiting.urgency.is_guaranteed:
            if not self._mechanisms.preempts_for_guarantees:
                return None
            return PreemptionLimits(priority)
        if not self._mechanisms.preempts_for_objectives:
            return None
        if waiting.urgency.may_preempt(pool.now_ms):
            return PreemptionLimits(
                priority, estimated_core_seconds(waiting.step.spec)
            )
        return None

    def _stop_for(
        self,
        waiting: WaitingStep,
        victims: Sequence[Allocation],
        limits: PreemptionLimits,
        now_ms: int,
    ) -> None:
        urgency = waiting.urgency
        self._decision_log.record(
            'room_taken',
            job=urgency.job_id,
            step=urgency.step,
            tier=urgency.tier,
            stops=len(victims),
            backfilled=sum(map(limits.may_reclaim, victims)),
            lost_core_s=round(
                sum(victim.preemption_cost for victim in victims)
            ),
            work_core_s=round(estimated_core_seconds(waiting.step.spec)),
        )
        for allocation in victims:
            found = self._jobs.find(str(allocation.task_id))
            if found is None:
                continue
            _, step, task = found
            reason = 'room_for_urgent_work'
            if limits.may_reclaim(allocation):
                reason = 'backfill_reclaimed'
            for member in step.tasks if step.spec.is_gang else (task,):
                self._tracker.order_stop(member, reason, now_ms)
