"""Overview of the jobs of a partition for operators."""

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.waiting import WaitingJob

__all__ = ('JobOverview', 'WaitingJobBody', 'describe_jobs')

_MILLISECOND = timedelta(milliseconds=1)


class WaitingJobBody(msgspec.Struct, frozen=True, kw_only=True):
    """A waiting job, why it waits and what it has done so far.

    Parameters
    ----------
    guarantee : str
        Guarantee whose capacity the job waits for, or ``''``.
    start_by : datetime or None
        Latest start time that a reservation or a reclaim sets, if any.
    attempt : int
        Number of attempts so far.
    work_done_ms : int
        Run time that the last checkpoint preserves.
    """

    job_id: str
    workspace: str
    kind: str
    accelerators: int
    proximity: str
    waited_ms: int
    reason: str
    guarantee: str
    start_by: datetime | None
    attempt: int
    work_done_ms: int


class JobOverview(msgspec.Struct, frozen=True):
    """Number of running jobs, and the waiting jobs, longest wait first."""

    running_jobs: int = 0
    waiting: tuple[WaitingJobBody, ...] = ()


def describe_jobs(
    jobs: Iterable[Job], waiting: Mapping[str, WaitingJob]
) -> JobOverview:
    """Return the overview of a partition.

    Parameters
    ----------
    jobs : iterable of Job
        All jobs that are not final.
    waiting : mapping of str to WaitingJob
        Waiting jobs by job identifier.
    """
    jobs_by_id = {job.job_id: job for job in jobs}
    running = sum(job.state is JobState.running for job in jobs_by_id.values())
    longest_first = sorted(
        (each for each in waiting.values() if each.job_id in jobs_by_id),
        key=lambda each: (-each.waited, each.job_id),
    )
    return JobOverview(
        running,
        tuple(
            _waiting_job_body(jobs_by_id[each.job_id], each)
            for each in longest_first
        ),
    )


def _waiting_job_body(job: Job, waiting: WaitingJob) -> WaitingJobBody:
    shape = job.spec.shape
    return WaitingJobBody(
        job_id=job.job_id,
        workspace=waiting.workspace,
        kind=job.spec.kind,
        accelerators=shape.accelerators,
        proximity=shape.proximity.value,
        waited_ms=waiting.waited // _MILLISECOND,
        reason=waiting.reason,
        guarantee=waiting.guarantee,
        start_by=waiting.start_by,
        attempt=job.attempt,
        work_done_ms=job.work_done // _MILLISECOND,
    )
