"""For how long open jobs have had nothing at work although they could run."""

from collections.abc import Iterable, Iterator

from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.runs.run_activity import RunActivity

__all__ = ('IdleJobs', 'due_steps')


class IdleJobs:
    """Tracks the jobs that have a step to run and no run at work.

    An order alone does not end the wait of a job: its run may never start.
    """

    def __init__(self) -> None:
        """Create a tracker that has seen no job."""
        self._since_ms: dict[str, int] | None = None

    def update(
        self,
        jobs: Iterable[Job],
        activity: RunActivity,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Record which jobs are idle in this round.

        A new leader does not know since when jobs have been idle. It assumes
        that they have been since they were accepted, so that successive
        takeovers do not add up to a longer wait.
        """
        known = self._since_ms
        self._since_ms = {}
        for job in jobs:
            if activity.has_run_of(job.job_id) or not any(
                due_steps(job, wall_ms)
            ):
                continue
            if known is None:
                since_ms = min(now_ms, job.spec.accepted_ms)
            else:
                since_ms = known.get(job.job_id, now_ms)
            self._since_ms[job.job_id] = since_ms

    def idle_ms(self, job_id: str, now_ms: int) -> int:
        """Return how long a job has been idle; 0 if it is not."""
        since_ms = (self._since_ms or {}).get(job_id, now_ms)
        return now_ms - since_ms


def due_steps(job: Job, wall_ms: int) -> Iterator[Step]:
    """Iterate over the steps whose turn has come and that are not done.

    Parameters
    ----------
    wall_ms : int
        Current Unix time, for jobs with a due time.
    """
    return (
        step
        for step in job.steps
        if not step.is_done
        and job.spec.due_ms(step.occurrence) <= wall_ms
        and job.is_unblocked(step)
    )
