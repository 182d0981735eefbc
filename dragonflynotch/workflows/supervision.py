"""Ends jobs, and stops runs that must not or cannot go on."""

from dragonflynotch.workflows.decision_lines import DecisionLines
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.progress import Job, Step, Task
from dragonflynotch.workflows.records import JobState
from dragonflynotch.workflows.run_tracker import RunTracker

__all__ = ('Supervisor',)

_PERCENT = 100
# A run stands still if its percentage has not moved for this multiple of the
# time that a percent takes, and for this long.
_STALL_FACTOR = 6
_MIN_STALL_MS = 5_000


class Supervisor:
    """Looks after jobs between placements.

    Parameters
    ----------
    far_factor : float
        How much slower a sound task may be than its estimate.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        tracker: RunTracker,
        lines: DecisionLines,
        far_factor: float,
    ) -> None:
        """Supervise ``jobs``."""
        self._jobs = jobs
        self._tracker = tracker
        self._lines = lines
        self._far_factor = far_factor

    def review(self, now_ms: int, fresh_minions: set[str]) -> None:
        """Review all open jobs.

        Parameters
        ----------
        fresh_minions : set of str
            Incarnations whose reports are recent enough to judge progress.
        """
        for job in self._jobs.open_jobs():
            state = self._final_state(job)
            if state is None:
                self._review_steps(job, now_ms, fresh_minions)
            else:
                self._end(job, state, now_ms)

    def _end(self, job: Job, state: JobState, now_ms: int) -> None:
        self._jobs.end(job, state, now_ms)
        self._lines.record('job_ended', job=job.job_id, state=state.value)
        if state is not JobState.completed:
            for task in job.tasks():
                self._tracker.stop(task, state.value)

    def _final_state(self, job: Job) -> JobState | None:
        if self._jobs.is_cancelled(job):
            return JobState.cancelled
        limit = max(1, self._jobs.queue(job).max_attempts)
        if any(step.has_failed(limit) for step in job.steps):
            return JobState.failed
        if all(step.is_done for step in job.steps):
            return JobState.completed
        return None

    def _review_steps(
        self, job: Job, now_ms: int, fresh_minions: set[str]
    ) -> None:
        for step in job.steps:
            if not step.has_active_runs:
                continue
            if step.spec.is_gang and not step.is_done:
                self._stop_broken_gang(step)
            if not step.spec.is_long_running:
                for task in _judged_by_progress(step):
                    self._stop_if_stalled(step, task, now_ms, fresh_minions)

    def _stop_broken_gang(self, step: Step) -> None:
        """Stop the members of a gang run that cannot be completed."""
        active = [task for task in step.tasks if task.active is not None]
        if len(active) < len(step.tasks):
            for task in active:
                self._tracker.stop(task, 'gang_broken')

    def _stop_if_stalled(
        self, step: Step, task: Task, now_ms: int, fresh_minions: set[str]
    ) -> None:
        active = task.active
        if active is None or active.is_stopping or not active.is_present:
            return
        if active.minion_id not in fresh_minions:
            return
        percent_ms = step.spec.estimated_ms * self._far_factor / _PERCENT
        limit_ms = max(_MIN_STALL_MS, percent_ms * _STALL_FACTOR)
        if now_ms - active.moved_ms > limit_ms:
            self._tracker.blame(task, active.minion_id, now_ms)
            self._tracker.stop(
                task,
                'stalled',
                percent=active.percent,
                still_ms=now_ms - active.moved_ms,
                limit_ms=int(limit_ms),
            )


def _judged_by_progress(step: Step) -> list[Task]:
    """Return the tasks whose progress shows whether they stand still.

    Members of a gang end together, so those on fast workers stay at the last
    percent until the slowest has come that far.
    """
    if not step.spec.is_gang:
        return step.tasks
    behind = [
        task
        for task in step.tasks
        if task.active is not None and task.active.percent < _PERCENT
    ]
    return behind or step.tasks
