"""Ends jobs and stops runs that must not or cannot continue."""

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.records import JobState
from dragonflynotch.workflows.runs.run_tracker import RunTracker
from dragonflynotch.workflows.tasks import Task

__all__ = ('Supervisor',)

_PERCENT = 100
# A run is stalled once its percentage has not changed for this multiple of the
# longest time that one percent may take, and for at least this long.
_STALL_FACTOR = 6
_MIN_STALL_MS = 5_000


class Supervisor:
    """Reviews open jobs and their runs before each round of placement.

    Parameters
    ----------
    max_slowdown : float
        How many times longer than estimated a healthy task may take.
    stops_stalled : bool
        Whether runs without progress are stopped.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
        max_slowdown: float,
        *,
        stops_stalled: bool = True,
    ) -> None:
        """Create a supervisor for ``jobs``."""
        self._jobs = jobs
        self._tracker = tracker
        self._decision_log = decision_log
        self.max_slowdown = max_slowdown
        self._stops_stalled = stops_stalled

    def review(self, now_ms: int, minions_with_reports: set[str]) -> None:
        """End jobs that are finished, and stop broken and stalled runs.

        Parameters
        ----------
        minions_with_reports : set of str
            Minions whose last report is recent enough to judge progress.
        """
        for job in self._jobs.open_jobs():
            state = self._final_state(job)
            if state is None:
                self._review_steps(job, now_ms, minions_with_reports)
            else:
                self._end(job, state, now_ms)

    def _end(self, job: Job, state: JobState, now_ms: int) -> None:
        reason = self._failure_reason(job) if state is JobState.failed else ''
        self._jobs.end(job, state, now_ms, reason)
        self._decision_log.record(
            'job_ended', job=job.job_id, state=state.value, reason=reason
        )
        if state is not JobState.completed:
            for task in job.tasks():
                self._tracker.order_stop(task, state.value, now_ms)

    def _final_state(self, job: Job) -> JobState | None:
        if self._jobs.is_cancelled(job):
            return JobState.cancelled
        if self._failure_reason(job):
            return JobState.failed
        if all(step.is_done for step in job.steps):
            return JobState.completed
        return None

    def _failure_reason(self, job: Job) -> str:
        for step in job.steps:
            reason = step.failure_reason(job.policy.max_attempts)
            if reason:
                return reason
        return ''

    def _review_steps(
        self, job: Job, now_ms: int, minions_with_reports: set[str]
    ) -> None:
        for step in job.steps:
            if not step.has_active_runs:
                continue
            if step.spec.is_gang and not step.is_done:
                self._stop_broken_gang(step, now_ms)
            if self._stops_stalled and not step.spec.is_long_running:
                for task in _stall_candidates(step):
                    self._stop_if_stalled(
                        step, task, now_ms, minions_with_reports
                    )

    def _stop_broken_gang(self, step: Step, now_ms: int) -> None:
        """Stop the active members of a gang if any member has no active run."""
        active = [task for task in step.tasks if task.active is not None]
        if len(active) < len(step.tasks):
            for task in active:
                self._tracker.order_stop(task, 'gang_broken', now_ms)

    def _stop_if_stalled(
        self,
        step: Step,
        task: Task,
        now_ms: int,
        minions_with_reports: set[str],
    ) -> None:
        active = task.active
        if active is None or active.is_stopping or not active.is_reported:
            return
        if active.minion_id not in minions_with_reports:
            return
        percent_ms = step.spec.estimated_ms * self.max_slowdown / _PERCENT
        limit_ms = max(_MIN_STALL_MS, percent_ms * _STALL_FACTOR)
        # A guard that does not reach its minion repeats the last progress.
        if active.still_ms > limit_ms:
            self._tracker.record_run_failure(
                task, active.minion_id, active.ordered_ms, now_ms
            )
            self._tracker.order_stop(
                task,
                'stalled',
                now_ms,
                percent=active.percent,
                still_ms=active.still_ms,
                limit_ms=int(limit_ms),
            )


def _stall_candidates(step: Step) -> list[Task]:
    """Return the tasks of a step to check for a stall.

    Members of a gang end together: those on fast workers stay at 100 percent
    until the slowest has caught up. They are only checked once all members
    have reached 100 percent.
    """
    if not step.spec.is_gang:
        return step.tasks
    unfinished = [
        task
        for task in step.tasks
        if task.active is not None and task.active.percent < _PERCENT
    ]
    return unfinished or step.tasks
