"""Moves runs that have become slow to workers that are sound.

A run is stopped only if it resumes from a checkpoint, if a worker has room for
it that nothing else could use in the round, and if it is expected to end
clearly earlier there. A fault of a worker may pass at any time, so a run has to
be slow for as long as the move takes.
"""

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.placement.allocations import is_preemptible
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.progress import ActiveRun, Job, Step, Task
from dragonflynotch.workflows.runs.run_tracker import RunTracker

__all__ = ('StragglerMover',)

_PERCENT = 100
# From the report of the end to the work of the next run, beside the stop.
_RESTART_MS = 1_000
# A run moves only if it is expected to end this much earlier.
_MIN_GAIN_MS = 3_000
_MIN_GAIN_FACTOR = 2


class StragglerMover:
    """Stops at most one run in a round, and one of a job at a time.

    The task starts again once the end of the run has been reported, as after
    every stop, so it never runs twice at a time.

    Attributes
    ----------
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    """

    def __init__(
        self, jobs: JobRegistry, tracker: RunTracker, stop_ms: int
    ) -> None:
        """Create a mover that stops runs through ``tracker``."""
        self._jobs = jobs
        self._tracker = tracker
        self.stop_ms = stop_ms

    def review(self, pool: WorkerPool) -> None:
        """Stop the first run that is expected to end earlier elsewhere.

        Parameters
        ----------
        pool : WorkerPool
            Workers with the room that the placement of the round has left.
        """
        for job in self._jobs.open_jobs():
            for step in job.steps:
                for task in _slow_tasks(step, pool.now_ms):
                    if self._move(pool, job, step, task):
                        return

    def _move(self, pool: WorkerPool, job: Job, step: Step, task: Task) -> bool:
        """Stop the run of a task if it should move; return whether so."""
        run = task.active
        pace = task.pace
        if (
            run is None
            or run.minion_id not in pool.free
            or pace.best_ms is None
            or pace.slow_since_ms is None
            or any(_is_stopping(other) for other in job.tasks())
        ):
            return False
        move_ms = self.stop_ms + _RESTART_MS
        slow_ms = run.progress_read_ms - pace.slow_since_ms
        here_ms = (_PERCENT - run.percent) * pace.current_ms
        elsewhere_ms = (_PERCENT - run.percent) * pace.best_ms + move_ms
        if (
            slow_ms < move_ms
            or here_ms < elsewhere_ms + _MIN_GAIN_MS
            or here_ms < elsewhere_ms * _MIN_GAIN_FACTOR
            or not self._has_sound_room(pool, job, step)
        ):
            return False
        self._tracker.record_run_failure(
            task, run.minion_id, run.ordered_ms, pool.now_ms
        )
        self._tracker.order_stop(
            task,
            'straggler',
            pool.now_ms,
            minion=run.minion_id,
            percent=run.percent,
            percent_ms=round(pace.current_ms),
            best_percent_ms=round(pace.best_ms),
            slow_ms=slow_ms,
            move_ms=move_ms,
            expected_here_ms=round(here_ms),
            expected_elsewhere_ms=round(elsewhere_ms),
        )
        return True

    def _has_sound_room(self, pool: WorkerPool, job: Job, step: Step) -> bool:
        """Return whether a worker that fails no runs and is fast has room."""
        demand = Demand(step, self._jobs.service(job), step.spec.estimated_ms)
        return any(
            worker.minion_id not in pool.slow_minions
            and not pool.failed_job_counts.get(worker.minion_id)
            and worker.minion_id not in pool.start_risks
            and pool.available(worker, demand).covers(step.spec.needs)
            for worker in pool.candidates(demand)
        )


def _slow_tasks(step: Step, now_ms: int) -> list[Task]:
    """Return the tasks with slow runs that may be stopped to move.

    Not a member of a gang, which would break it, nor tasks that would lose
    their work, nor those of a service, nor those that were stopped or failed a
    short time ago.
    """
    spec = step.spec
    if spec.is_gang or not spec.has_checkpoints or not is_preemptible(spec):
        return []
    return [
        task
        for task in step.tasks
        if task.active is not None
        and task.pace.slow_since_ms is not None
        and not task.recent_failures(now_ms)
    ]


def _is_stopping(task: Task) -> bool:
    run: ActiveRun | None = task.active
    return run is not None and run.is_stopping
