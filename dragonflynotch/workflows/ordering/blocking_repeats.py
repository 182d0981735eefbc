"""Which repeats of lost runs come first within their priority.

A run that was lost with its minion may have ended before, unrecorded. Its
repeat is then all that keeps the next step from starting, so it does not wait
behind other work of its priority. The tasks had room before the loss, and there
are few of them, which bounds what this costs other jobs.
"""

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.jobs import StepId
from dragonflynotch.workflows.progress import Job, Step

__all__ = ('BlockingRepeats', 'is_blocking_repeat')

# Most tasks that a step may still have to complete.
_MAX_UNFINISHED_TASKS = 8


class BlockingRepeats:
    """Steps of the round whose waiting repeats come first."""

    def __init__(
        self, jobs: JobRegistry, decision_log: DecisionLogBuffer
    ) -> None:
        """Create an instance without any steps."""
        self._jobs = jobs
        self._decision_log = decision_log
        self._step_ids: frozenset[StepId] = frozenset()

    def __contains__(self, step_id: StepId) -> bool:
        """Return whether the repeats of a step come first."""
        return step_id in self._step_ids

    def update(self) -> None:
        """Find the steps anew and log those that were not among them."""
        known = self._step_ids
        found = [
            step
            for job in self._jobs.open_jobs()
            for step in job.steps
            if is_blocking_repeat(job, step)
        ]
        self._step_ids = frozenset(step.step_id for step in found)
        for step in found:
            if step.step_id not in known:
                self._record(step)

    def _record(self, step: Step) -> None:
        waiting = step.waiting_tasks
        self._decision_log.record(
            'repeat_first',
            job=step.step_id.job_id,
            occurrence=step.occurrence,
            step=step.number,
            tasks=len(step.tasks),
            unfinished_tasks=sum(not task.is_done for task in step.tasks),
            waiting_repeats=[task.task_id.index for task in waiting],
        )


def is_blocking_repeat(job: Job, step: Step) -> bool:
    """Return whether lost runs are among the last that a next step waits for.

    All tasks that are not done have been started before, so no new work moves
    up. A task that may have crashed its minion does not move up either.
    """
    waiting = step.waiting_tasks
    if not any(task.is_lost for task in waiting):
        return False
    if not _has_blocked_step(job, step):
        return False
    unfinished = [task for task in step.tasks if not task.is_done]
    return len(unfinished) <= _MAX_UNFINISHED_TASKS and all(
        task.run and not task.crashes for task in unfinished
    )


def _has_blocked_step(job: Job, step: Step) -> bool:
    first_index = step.occurrence * len(job.spec.steps)
    last_index = first_index + len(job.spec.steps)
    return any(
        step.number in later.spec.after and not later.is_done
        for later in job.steps[first_index:last_index]
    )
