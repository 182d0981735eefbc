"""Order in which waiting steps get room."""

from dataclasses import dataclass

from dragonflynotch.workflows.deployment import Queue
from dragonflynotch.workflows.progress import Job, Step

__all__ = ('Urgency', 'critical_path_ms', 'rank')

# A job is worth something up to this multiple of its objective.
_LATE_LIMIT = 3
# Stops take effect within less than this.
_PRESSING_MS = 1500
# Queues from this priority on can wait until their work is of no use.
_PATIENT_PRIORITY = 2
# Tiers, the most urgent first.
_GUARANTEED = 0
_ON_TIME = 1
_LATE = 2
_PAST = 3


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Sort key of a waiting step; the smallest comes first.

    Parameters
    ----------
    tier : int
        0 for guaranteed work, 1 for work that can be on time, 2 for work that
        can be late, 3 for work past its last moment.
    last_start_ms : int
        Store time by which the step should start.
    """

    tier: int
    last_start_ms: int
    job_id: str
    occurrence: int
    step: int

    @property
    def is_guaranteed(self) -> bool:
        """Whether the workspace is owed the room now."""
        return self.tier == _GUARANTEED

    def is_pressing(self, now_ms: int, priority: int) -> bool:
        """Return whether waiting any longer would make the step late."""
        if self.tier != _ON_TIME:
            return False
        return priority == 0 or now_ms > self.last_start_ms - _PRESSING_MS


def rank(
    job: Job, step: Step, queue: Queue, now_ms: int, *, is_guaranteed: bool
) -> Urgency:
    """Return the urgency of a step.

    Earliest last moment to start comes first, counted from the objective and,
    once that is missed, from the end of the time in which the job still is of
    some use.
    """
    path_ms = critical_path_ms(job)
    objective_ms = queue.stretch * path_ms + queue.target_latency_ms
    slack_ms = objective_ms - path_ms
    on_time_ms = int(job.spec.accepted_ms + slack_ms)
    late_ms = int(on_time_ms + (_LATE_LIMIT - 1) * objective_ms)
    tier, last_start_ms = _PAST, late_ms
    # Patient work loses little by being late, so late urgent work, which has
    # less time left, comes before it.
    if now_ms <= on_time_ms and queue.priority < _PATIENT_PRIORITY:
        tier, last_start_ms = _ON_TIME, on_time_ms
    elif now_ms <= late_ms:
        tier = _LATE
    return Urgency(
        _GUARANTEED if is_guaranteed else tier,
        last_start_ms,
        job.job_id,
        step.occurrence,
        step.number,
    )


def critical_path_ms(job: Job) -> int:
    """Return the longest chain of estimated run times of one occurrence."""
    ends: list[int] = []
    for step in job.spec.steps:
        begin_ms = max(
            (ends[number] for number in step.after if number < len(ends)),
            default=0,
        )
        ends.append(begin_ms + step.estimated_ms)
    return max(ends, default=0)
