"""Order in which waiting steps get resources.

Answers overload, when more work waits than can be on time. By the latest start
alone, all jobs would start when they are already too late. Among jobs that can
still be on time, or late and useful, the more urgent queue comes first, and
within it the job with the least work left, so that most callers are served.
"""

from dataclasses import dataclass

from dragonflynotch.workflows.placement.allocations import (
    estimated_core_seconds,
)
from dragonflynotch.workflows.progress import Job, Step

__all__ = (
    'Urgency',
    'compute_objective_ms',
    'compute_urgency',
    'critical_path_ms',
)

# Completing a job is useful until this multiple of its time objective.
_USEFUL_OBJECTIVE_MULTIPLE = 3
# Upper bound on the time until a stop takes effect.
_MAX_STOP_LATENCY_MS = 1500
# Jobs in queues with this or a higher priority number are deferrable: they need
# not meet their objective, only complete while that is still useful.
_DEFERRABLE_PRIORITY = 2
# Tiers, the most urgent first.
_TIER_GUARANTEED = 0
_TIER_OVERDUE = 1
_TIER_ON_TIME = 2
_TIER_LATE = 3
_TIER_EXPIRED = 4


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of a waiting step; the smallest comes first.

    Parameters
    ----------
    tier : int
        0 for guaranteed work, 1 for overdue jobs that have waited longest, 2
        for work that can still meet its objective, 3 for work that may be late
        and is still useful, 4 for work that can no longer complete in a useful
        time.
    priority : int
        Priority of the queue in tiers 2 and 3; 0 in the others.
    follows_repeats : bool
        Whether blocking repeats of lost runs come before the step; True in
        tiers 0 and 1.
    work_left : float
        Estimated work of the steps that are not done in tiers 2 and 3, in
        core seconds; 0 in the others.
    last_start_ms : int
        Latest store time at which the job can start and still meet its
        objective or, once that is missed, still be useful.
    """

    tier: int
    priority: int
    follows_repeats: bool
    work_left: float
    last_start_ms: int
    job_id: str
    occurrence: int
    step: int

    @property
    def is_guaranteed(self) -> bool:
        """Whether the step is covered by the guarantee of its workspace."""
        return self.tier == _TIER_GUARANTEED

    def may_preempt(self, now_ms: int) -> bool:
        """Return whether other runs may be stopped to keep the step on time.

        Steps of the most urgent queues qualify at once, others only shortly
        before their latest start.
        """
        if self.tier != _TIER_ON_TIME:
            return False
        return (
            self.priority == 0
            or now_ms > self.last_start_ms - _MAX_STOP_LATENCY_MS
        )


def compute_urgency(
    job: Job,
    step: Step,
    now_ms: int,
    *,
    is_guaranteed: bool,
    is_overdue: bool,
    is_blocking_repeat: bool = False,
    by_work_left: bool = True,
) -> Urgency:
    """Return the urgency of a step.

    Within the tiers of work that may be on time or useful, the order is by
    priority and work left, within the others by the latest start. The latest
    start is computed from the time objective of the job or, once that is
    missed, from the end of the time in which the job is still useful.

    Parameters
    ----------
    is_guaranteed : bool
        Whether the guarantee of its workspace covers the job.
    is_overdue : bool
        Whether this is an overdue job that comes before other work.
    is_blocking_repeat : bool
        Whether the step comes first within its tier and priority, unless it
        is guaranteed or overdue.
    by_work_left : bool
        Whether work left counts within a priority.
    """
    priority = job.policy.priority
    objective_ms = compute_objective_ms(job)
    slack_ms = objective_ms - critical_path_ms(job)
    on_time_ms = int(job.spec.accepted_ms + slack_ms)
    late_ms = int(on_time_ms + (_USEFUL_OBJECTIVE_MULTIPLE - 1) * objective_ms)
    tier, last_start_ms = _TIER_EXPIRED, late_ms
    # Deferrable work loses little by being late. It is put in the late tier at
    # once, where late urgent work, which has less time left, comes before it.
    if now_ms <= on_time_ms and priority < _DEFERRABLE_PRIORITY:
        tier, last_start_ms = _TIER_ON_TIME, on_time_ms
    elif now_ms <= late_ms:
        tier = _TIER_LATE
    if is_guaranteed:
        tier = _TIER_GUARANTEED
    elif is_overdue:
        tier = _TIER_OVERDUE
    is_useful = tier in {_TIER_ON_TIME, _TIER_LATE}
    return Urgency(
        tier,
        priority if is_useful else 0,
        not is_blocking_repeat or tier < _TIER_ON_TIME,
        _work_left(job) if is_useful and by_work_left else 0,
        last_start_ms,
        job.job_id,
        step.occurrence,
        step.number,
    )


def compute_objective_ms(job: Job) -> float:
    """Return the time objective of a job, counted from its acceptance."""
    policy = job.policy
    return policy.stretch * critical_path_ms(job) + policy.target_latency_ms


def critical_path_ms(job: Job) -> int:
    """Return the estimated run time of the longest chain of steps."""
    ends: list[int] = []
    for step in job.spec.steps:
        start_ms = max(
            (ends[number] for number in step.after if number < len(ends)),
            default=0,
        )
        ends.append(start_ms + step.estimated_ms)
    return max(ends, default=0)


def _work_left(job: Job) -> float:
    return sum(
        estimated_core_seconds(step.spec)
        for step in job.steps
        if not step.is_done
    )
