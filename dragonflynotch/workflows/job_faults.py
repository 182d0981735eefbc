"""Contains errors of the decisions about one job."""

import traceback
from collections.abc import Iterable, Iterator

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.worker_pool import Demand
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.tasks import Task

__all__ = ('JobFaults',)


class JobFaults:
    """Sets jobs aside whose decisions raise an error, so that others go on.

    A job is set aside until its cancellation or the end of the term. Its runs
    at work go on, and their ends are recorded.
    """

    def __init__(
        self, jobs: JobRegistry, decision_log: DecisionLogBuffer
    ) -> None:
        """Create the handler; no job is set aside."""
        self._jobs = jobs
        self._decision_log = decision_log
        self._count = 0

    @property
    def count(self) -> int:
        """Number of times that a job was set aside."""
        return self._count

    def set_aside_cause(self, error: Exception) -> bool:
        """Set the job aside at which an error arose.

        Returns
        -------
        bool
            ``False`` if no job is known to be the cause.
        """
        job = self._find_job(error)
        if job is None:
            return False
        reason = f'set aside after an error: {error!r}'
        if not self._jobs.set_aside(job, reason):
            # Its progress cannot be listed either.
            return True
        self._count += 1
        self._decision_log.record(
            'job_set_aside',
            job=job.job_id,
            reason=reason,
            error=''.join(traceback.format_exception(error)),
        )
        return True

    def _find_job(self, error: Exception) -> Job | None:
        """Return the job of the innermost call that is about one."""
        frames = [frame for frame, _ in traceback.walk_tb(error.__traceback__)]
        for frame in reversed(frames):
            for job_id in _job_ids(frame.f_locals.values()):
                job = self._jobs.get(job_id)
                if job is not None:
                    return job
        return None


def _job_ids(candidates: Iterable[object]) -> Iterator[str]:
    """Iterate over the jobs that any of the objects belongs to."""
    for candidate in candidates:
        match candidate:
            case Job():
                yield candidate.job_id
            case Step():
                yield candidate.step_id.job_id
            case WaitingStep():
                yield candidate.job.job_id
            case Demand():
                yield candidate.step.step_id.job_id
            case Task():
                yield candidate.task_id.job_id
