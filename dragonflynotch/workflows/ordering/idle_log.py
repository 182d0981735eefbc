"""Log entries about open jobs of which nothing runs although it could.

Load: callers see a job wait with most of the room free. A step that waits for
room is only one of the causes: a run may have been ordered and not started, or
its end may not have been recorded.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.jobs import StepId
from dragonflynotch.workflows.ordering.idle_causes import (
    IdleCause,
    IdleStep,
    describe_ordered_step,
    describe_waiting_step,
)
from dragonflynotch.workflows.ordering.idle_jobs import due_steps
from dragonflynotch.workflows.placement.capacity_use import (
    CapacityUse,
    measure_capacity_use,
)
from dragonflynotch.workflows.placement.step_room import StepRoom
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.reported_runs import ReportedRuns

__all__ = ('IdleLog', 'RoundInputs')

# A job is idle once nothing of it has run for this long.
_MIN_IDLE_MS = 2000
# Minimum time between two log entries about the same job.
_LOG_INTERVAL_MS = 5000
# Minimum time between two reviews of all open jobs.
_REVIEW_INTERVAL_MS = 500
# Most entries of one review. Jobs without an entry for longest come first.
_MAX_ENTRIES = 50
# Most idle jobs that are tracked at a time, which bounds the memory.
_MAX_TRACKED_JOBS = 10_000
# Most steps that an entry names.
_MAX_NAMED_STEPS = 3
# Decimal places of shares in entries.
_SHARE_DIGITS = 3


@dataclass(frozen=True, slots=True)
class RoundInputs:
    """What a review needs of a round of decisions.

    Parameters
    ----------
    pool : WorkerPool
        Workers after the placement of this round.
    workers : iterable of Worker
        All workers with their last reports.
    wall_ms : int
        Current Unix time, for jobs with a due time.
    max_report_age_ms : int
        Runs of reports that are this old or older do not count as running.
    may_start : bool
        Whether any run may be ordered at present.
    """

    pool: WorkerPool
    workers: Iterable[Worker]
    wall_ms: int
    max_report_age_ms: int
    may_start: bool


@dataclass(slots=True)
class _IdleJob:
    since_ms: int
    # Store time of the last entry; ``None`` before the first.
    logged_ms: int | None = None
    cause: IdleCause = IdleCause.unknown

    def is_due(self, now_ms: int) -> bool:
        if self.logged_ms is None:
            return now_ms - self.since_ms >= _MIN_IDLE_MS
        return now_ms - self.logged_ms >= _LOG_INTERVAL_MS


@dataclass(slots=True)
class _Review:
    """Jobs that entries are due about, and the room of their steps."""

    job_ids: frozenset[str] = frozenset()
    rooms: dict[StepId, StepRoom] = field(default_factory=dict)


class IdleLog:
    """Records which open jobs do not run, and why.

    A job is idle if the turn of one of its steps has come and no recent report
    lists a run of it. The entries change no decision.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        decision_log: DecisionLogBuffer,
    ) -> None:
        """Create a log that adds its entries to ``decision_log``."""
        self._jobs = jobs
        self._orders = orders
        self._decision_log = decision_log
        self._idle_jobs: dict[str, _IdleJob] = {}
        self._idle_counts: Counter[str] = Counter()
        self._capacity_use: dict[str, CapacityUse] = {}
        self._reviewed_ms: int | None = None
        # ``None`` in rounds without a review.
        self._review: _Review | None = None

    @property
    def idle_counts(self) -> Mapping[str, int]:
        """Number of idle jobs by cause, as of the last review."""
        return {cause.value: self._idle_counts[cause] for cause in IdleCause}

    @property
    def capacity_use(self) -> Mapping[str, CapacityUse]:
        """Use of the capacity by service, as of the last review."""
        return self._capacity_use

    def begin_round(self, now_ms: int) -> None:
        """Choose the jobs that entries are due about in this round."""
        self._review = None
        if (
            self._reviewed_ms is not None
            and now_ms - self._reviewed_ms < _REVIEW_INTERVAL_MS
        ):
            return
        due = [
            job_id
            for job_id, idle in self._idle_jobs.items()
            if idle.is_due(now_ms)
        ]
        due.sort(key=lambda job_id: self._idle_jobs[job_id].logged_ms or 0)
        self._review = _Review(frozenset(due[:_MAX_ENTRIES]))

    def needs_room(self, job_id: str) -> bool:
        """Return whether the room of the waiting steps of a job is needed."""
        return self._review is not None and job_id in self._review.job_ids

    def add_room(self, step: Step, room: StepRoom) -> None:
        """Add the room that a waiting step had at its turn in the round."""
        if self._review is not None:
            self._review.rooms[step.step_id] = room

    def review(self, inputs: RoundInputs) -> None:
        """Record which jobs are idle, and the ends of recorded idle times."""
        if self._review is None:
            return
        now_ms = inputs.pool.now_ms
        self._reviewed_ms = now_ms
        reported = ReportedRuns(
            inputs.workers, now_ms, inputs.max_report_age_ms
        )
        self._capacity_use = measure_capacity_use(
            inputs.pool, self._orders, reported
        )
        idle = self._find_idle(inputs.wall_ms, reported)
        self._untrack_others(idle, now_ms)
        self._track(idle, now_ms)
        for job_id in sorted(self._review.job_ids & idle.keys()):
            self._record(idle[job_id], inputs, reported, self._review.rooms)
        self._idle_counts = Counter(
            tracked.cause
            for tracked in self._idle_jobs.values()
            if now_ms - tracked.since_ms >= _MIN_IDLE_MS
        )

    def _find_idle(
        self, wall_ms: int, reported: ReportedRuns
    ) -> dict[str, Job]:
        return {
            job.job_id: job
            for job in self._jobs.open_jobs()
            if not reported.has_run_of(job.job_id)
            and any(due_steps(job, wall_ms))
        }

    def _track(self, idle: Iterable[str], now_ms: int) -> None:
        for job_id in idle:
            if len(self._idle_jobs) >= _MAX_TRACKED_JOBS:
                return
            self._idle_jobs.setdefault(job_id, _IdleJob(now_ms))

    def _untrack_others(self, idle: Mapping[str, Job], now_ms: int) -> None:
        """Stop tracking jobs that are no longer idle, and record the end."""
        for job_id in self._idle_jobs.keys() - idle.keys():
            ended = self._idle_jobs.pop(job_id)
            if ended.logged_ms is not None:
                self._decision_log.record(
                    'job_idle_ended',
                    job=job_id,
                    cause=ended.cause.value,
                    idle_ms=now_ms - ended.since_ms,
                )

    def _record(
        self,
        job: Job,
        inputs: RoundInputs,
        reported: ReportedRuns,
        rooms: Mapping[StepId, StepRoom],
    ) -> None:
        now_ms = inputs.pool.now_ms
        steps = [
            self._describe(step, inputs, reported, rooms.get(step.step_id))
            for step in due_steps(job, inputs.wall_ms)
        ]
        idle = self._idle_jobs[job.job_id]
        idle.logged_ms = now_ms
        idle.cause = steps[0].cause
        use = self._capacity_use.get(job.policy.service, CapacityUse())
        self._decision_log.record(
            'job_idle',
            job=job.job_id,
            cause=idle.cause.value,
            idle_ms=now_ms - idle.since_ms,
            capacity_in_use=round(use.in_use, _SHARE_DIGITS),
            capacity_unreported=round(use.unreported, _SHARE_DIGITS),
            steps=steps[:_MAX_NAMED_STEPS],
        )

    def _describe(
        self,
        step: Step,
        inputs: RoundInputs,
        reported: ReportedRuns,
        room: StepRoom | None,
    ) -> IdleStep:
        if step.has_active_runs:
            return describe_ordered_step(step, reported, inputs.pool.now_ms)
        return describe_waiting_step(step, room, may_start=inputs.may_start)
