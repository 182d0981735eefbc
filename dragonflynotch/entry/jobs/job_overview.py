"""Overview of the jobs of a partition for operators."""

from collections.abc import Iterable, Mapping
from datetime import datetime, timedelta

import msgspec

from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.waiting import WaitingJob

__all__ = ('JobOverview', 'WaitingJobBody', 'describe_jobs')

_MILLISECOND = timedelta(milliseconds=1)


class WaitingJobBody(msgspec.Struct, frozen=True, kw_only=True):
    """Why a job waits and what it did before.

    Parameters
    ----------
    guarantee : str
        Guarantee whose capacity it waits for, or ``''``.
    start_by : datetime or None
        Upper bound of the start that a reservation or a reclaim states.
    attempt : int
        Attempts so far.
    work_done_ms : int
        Run time preserved in the last checkpoint.
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
    """What runs and what waits, the longest wait first."""

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
        Why jobs wait, by job.
    """
    known = {job.job_id: job for job in jobs}
    running = sum(job.state is JobState.running for job in known.values())
    longest_first = sorted(
        (each for each in waiting.values() if each.job_id in known),
        key=lambda each: (-each.waited, each.job_id),
    )
    return JobOverview(
        running,
        tuple(_body(known[each.job_id], each) for each in longest_first),
    )


def _body(job: Job, waiting: WaitingJob) -> WaitingJobBody:
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
