"""The overview of a partition for operators."""

from datetime import UTC, datetime, timedelta

from dragonflynotch.core.jobs import Job, JobSpec, JobState
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.waiting import WaitingJob
from dragonflynotch.entry.jobs.job_overview import describe_jobs

_NOW = datetime(2026, 3, 1, tzinfo=UTC)


def _job(name, state=JobState.waiting):
    spec = JobSpec('resort', 'recut', Shape(8, Proximity.rack))
    work_done = timedelta(seconds=2)
    return Job(name, spec, _NOW, state, attempt=3, work_done=work_done)


def _waiting(name, minutes):
    return WaitingJob(
        name, 'resort', timedelta(minutes=minutes), 'rack is taken', 'nadi 16'
    )


def test_the_longest_wait_comes_first():
    """Guards against an overview in which the longest wait is hard to find."""
    jobs = [_job('a'), _job('b'), _job('c', JobState.running)]
    waiting = {'a': _waiting('a', 1), 'b': _waiting('b', 5)}
    overview = describe_jobs(jobs, waiting)
    assert [each.job_id for each in overview.waiting] == ['b', 'a']
    assert overview.running_jobs == 1


def test_a_waiting_job_tells_why_and_what_it_did():
    """Guards against an overview without the reason for a wait."""
    (body,) = describe_jobs([_job('a')], {'a': _waiting('a', 1)}).waiting
    assert (body.reason, body.guarantee) == ('rack is taken', 'nadi 16')
    assert (body.waited_ms, body.work_done_ms) == (60_000, 2000)
    assert (body.attempt, body.accelerators) == (3, 8)


def test_a_job_that_ended_meanwhile_is_left_out():
    """Guards against a lookup error for a job that is no longer listed.

    The list of jobs and that of waiting jobs are read at different times.
    """
    assert describe_jobs([], {'a': _waiting('a', 1)}).waiting == ()
