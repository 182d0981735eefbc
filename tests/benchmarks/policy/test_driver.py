"""The replay records every job correctly under any scheduler."""

from datetime import datetime, timedelta

import pytest

from benchmarks.policy.baselines import BestFitPacking, StrictFifo
from benchmarks.policy.driver import Replay, SiteOutcome
from benchmarks.policy.progress import End
from benchmarks.policy.scheduler import Scheduler
from benchmarks.policy.trace import (
    EPOCH,
    Fault,
    FaultKind,
    Outcome,
    Site,
    Trace,
    TrueJob,
)
from dragonflynotch.core.actions import Action, PrepareMember, StartMember
from dragonflynotch.core.events import (
    Event,
    Guarantee,
    JobSubmitted,
    MemberPrepared,
    TimerFired,
)
from dragonflynotch.core.jobs import JobSpec, Member
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker

MINUTE = timedelta(minutes=1)
WORKERS = tuple(
    Worker(f'w{index}', 'r0', 0, 8, 64, 256_000) for index in range(2)
)
SITE = Site('dc', WORKERS, (Guarantee('tenant', Shape(8, Proximity.worker)),))


def make_job(
    name: str, minutes: float, accelerators: int = 8, **changes: object
) -> TrueJob:
    values: dict[str, object] = {
        'outcome': Outcome.success,
        'cancelled_at': None,
        'at': EPOCH + MINUTE,
        'proximity': Proximity.rack,
    } | changes
    spec = JobSpec(
        'tenant',
        'test',
        Shape(accelerators, values['proximity']),
        declared_run_time=minutes * MINUTE,
    )
    return TrueJob(
        name,
        'test',
        'dc',
        spec,
        values['at'],
        minutes * MINUTE,
        values['outcome'],
        values['cancelled_at'],
    )


def replay(
    jobs: list[TrueJob],
    faults: list[Fault] | None = None,
    scheduler: Scheduler | None = None,
) -> SiteOutcome:
    trace = Trace(
        'tavua', (SITE,), tuple(jobs), tuple(faults or ()), EPOCH + 60 * MINUTE
    )
    return Replay(trace, SITE, scheduler or BestFitPacking()).run()


class FixedMembersScheduler(Scheduler):
    """Prepares the same members for every job without checking capacity."""

    def __init__(
        self, members: tuple[Member, ...], *, starts_when_prepared: bool
    ) -> None:
        self._members = members
        self._starts_when_prepared = starts_when_prepared

    @property
    def next_deadline(self) -> datetime | None:
        return None

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        if isinstance(event, JobSubmitted):
            job = event.job
            return tuple(
                PrepareMember(
                    job.job_id, 1, member.worker_id, 1, member, job.spec, ''
                )
                for member in self._members
            )
        if isinstance(event, MemberPrepared) and self._starts_when_prepared:
            return (StartMember(event.job_id, 1, event.worker_id, 1),)
        return ()


def test_job_ends_after_its_true_run_time():
    """Guards against a job that does not end after its true run time."""
    progress = replay([make_job('a', 30)]).jobs[0]
    assert progress.end is End.finished
    completion_time = progress.ended_at - progress.job.submitted_at
    assert completion_time == 30 * MINUTE + timedelta(milliseconds=50)


def test_job_lost_with_its_worker_resumes_from_the_last_checkpoint():
    """Guards against lost work that is missing from the job's record."""
    lost_at = EPOCH + 27 * MINUTE
    fault = Fault(FaultKind.lost, 'w0', lost_at, lost_at + 5 * MINUTE)
    progress = replay([make_job('a', 30)], [fault], StrictFifo()).jobs[0]
    assert progress.end is End.finished
    assert progress.lost_to_faults_s / 8 == pytest.approx(6 * 60, abs=1)
    completion_time = progress.ended_at - progress.job.submitted_at
    assert completion_time == pytest.approx(
        36 * MINUTE, abs=5 * timedelta(seconds=1)
    )


def test_job_finishes_despite_a_worker_that_fails_everything():
    """Guards against a job that never ends after a failure on a worker."""
    fault = Fault(FaultKind.fails_everything, 'w0', EPOCH, EPOCH + 300 * MINUTE)
    outcome = replay([make_job('a', 5, proximity=Proximity.worker)], [fault])
    assert outcome.jobs[0].end is End.finished


@pytest.mark.parametrize(
    ('changes', 'end'),
    [
        ({'outcome': Outcome.fails_always}, End.failed),
        ({'cancelled_at': EPOCH + 3 * MINUTE}, End.cancelled),
        ({'accelerators': 17}, End.refused),
    ],
)
def test_failing_cancelled_or_oversized_job_blocks_no_other(changes, end):
    """Guards against failing, cancelled or oversized jobs that block others."""
    jobs = [make_job('a', 30, **changes), make_job('b', 5)]
    if end is End.failed:
        jobs[0] = make_job('a', 30, 2, **changes)
    ends = {job.job.job_id: job.end for job in replay(jobs).jobs}
    if end is End.failed:
        # Two workers are too few to reach the limit of three distinct failed
        # workers; job "a" ends at the limit of six failures instead.
        assert ends['b'] is End.finished
    else:
        assert ends == {'a': end, 'b': End.finished}


def test_start_before_all_members_are_prepared_is_a_partial_gang():
    """Guards against a started partial gang that is not counted."""
    members = (Member('w0', tuple(range(8))),)
    scheduler = FixedMembersScheduler(members, starts_when_prepared=True)
    outcome = replay([make_job('a', 5, 16)], scheduler=scheduler)
    assert outcome.partial_gangs == 1


def test_accelerator_assigned_to_two_jobs_is_counted():
    """Guards against an accelerator with two jobs that is not counted."""
    scheduler = FixedMembersScheduler(
        (Member('w0', (0, 1)),), starts_when_prepared=False
    )
    outcome = replay(
        [make_job('a', 5, 2), make_job('b', 5, 2)], scheduler=scheduler
    )
    assert outcome.double_uses == 1


def test_covered_job_that_is_not_started_violates_its_guarantee():
    """Guards against guarantee violations that are not recorded."""
    scheduler = FixedMembersScheduler((), starts_when_prepared=False)
    jobs = [make_job('a', 5, 8), make_job('b', 5, 16), make_job('c', 5, 8)]
    violations = {
        job.job.job_id
        for job in replay(jobs, scheduler=scheduler).jobs
        if job.violates_guarantee
    }
    assert violations == {'a', 'c'}


def test_free_accelerators_too_few_for_a_waiting_gang_are_fragmented():
    """Guards against free accelerators that are wrongly counted as usable."""
    start = EPOCH
    jobs = [
        make_job('a', 60, 4, at=start, proximity=Proximity.worker),
        make_job('b', 60, 16, at=start + timedelta(microseconds=1)),
    ]
    outcome = replay(jobs)
    assert outcome.fragmentation == pytest.approx(1, abs=0.01)
    assert outcome.unusable == pytest.approx(12, abs=0.1)
    assert outcome.utilisation == pytest.approx(0.25, abs=0.01)


def test_timer_fires_at_the_deadline_of_the_scheduler():
    """Guards against scheduler deadlines that the replay skips."""
    fired = []

    class TimerScheduler(FixedMembersScheduler):
        @property
        def next_deadline(self) -> datetime | None:
            return None if fired else EPOCH + 2 * MINUTE

        def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
            if isinstance(event, TimerFired):
                fired.append(now)
            return ()

    replay(
        [make_job('a', 5)],
        scheduler=TimerScheduler((), starts_when_prepared=False),
    )
    assert fired == [EPOCH + 2 * MINUTE]
