"""The replay keeps true account of jobs, whatever the scheduler does."""

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


class Careless(Scheduler):
    """Breaks a rule that the replay must notice."""

    def __init__(self, members: tuple[Member, ...], *, starts: bool) -> None:
        self._members = members
        self._starts = starts

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
        if isinstance(event, MemberPrepared) and self._starts:
            return (StartMember(event.job_id, 1, event.worker_id, 1),)
        return ()


def test_job_ends_after_its_true_run_time():
    """Guards against completion times that depend on the declared time."""
    progress = replay([make_job('a', 30)]).jobs[0]
    assert progress.end is End.finished
    took = progress.ended_at - progress.job.submitted_at
    assert took == 30 * MINUTE + timedelta(milliseconds=50)


def test_job_lost_with_its_worker_resumes_from_the_last_checkpoint():
    """Guards against work that a replay forgets to count as lost."""
    lost_at = EPOCH + 27 * MINUTE
    fault = Fault(FaultKind.lost, 'w0', lost_at, lost_at + 5 * MINUTE)
    progress = replay([make_job('a', 30)], [fault], StrictFifo()).jobs[0]
    assert progress.end is End.finished
    assert progress.lost_to_faults_s / 8 == pytest.approx(6 * 60, abs=1)
    took = progress.ended_at - progress.job.submitted_at
    assert took == pytest.approx(36 * MINUTE, abs=5 * timedelta(seconds=1))


def test_worker_that_fails_everything_does_not_swallow_a_job():
    """Guards against a failing worker whose jobs end nowhere."""
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
def test_odd_job_ends(changes, end):
    """Guards against odd jobs that occupy the replay for ever."""
    jobs = [make_job('a', 30, **changes), make_job('b', 5)]
    if end is End.failed:
        jobs[0] = make_job('a', 30, 2, **changes)
    ends = {job.job.job_id: job.end for job in replay(jobs).jobs}
    if end is End.failed:
        # Two workers are too few to fail a job on three distinct ones.
        assert ends['b'] is End.finished
    else:
        assert ends == {'a': end, 'b': End.finished}


def test_start_before_the_whole_gang_holds_is_a_partial_gang():
    """Guards against a partial gang that the report does not show."""
    members = (Member('w0', tuple(range(8))),)
    scheduler = Careless(members, starts=True)
    outcome = replay([make_job('a', 5, 16)], scheduler=scheduler)
    assert outcome.partial_gangs == 1


def test_accelerator_given_twice_is_noticed():
    """Guards against double use that the report does not show."""
    scheduler = Careless((Member('w0', (0, 1)),), starts=False)
    outcome = replay(
        [make_job('a', 5, 2), make_job('b', 5, 2)], scheduler=scheduler
    )
    assert outcome.double_uses == 1


def test_covered_job_that_is_not_started_violates_its_guarantee():
    """Guards against guarantee violations that the report does not show."""
    scheduler = Careless((), starts=False)
    jobs = [make_job('a', 5, 8), make_job('b', 5, 16), make_job('c', 5, 8)]
    violations = {
        job.job.job_id
        for job in replay(jobs, scheduler=scheduler).jobs
        if job.violates_guarantee
    }
    assert violations == {'a', 'c'}


def test_waiting_gang_that_fits_nowhere_fragments_the_free_rest():
    """Guards against a fragmentation column that stays at zero."""
    start = EPOCH
    jobs = [
        make_job('a', 60, 4, at=start, proximity=Proximity.worker),
        make_job('b', 60, 16, at=start + timedelta(microseconds=1)),
    ]
    outcome = replay(jobs)
    assert outcome.fragmentation == pytest.approx(1, abs=0.01)
    assert outcome.unusable == pytest.approx(12, abs=0.1)
    assert outcome.utilisation == pytest.approx(0.25, abs=0.01)


def test_timer_is_delivered_at_the_deadline_of_the_scheduler():
    """Guards against deadlines that a replay skips."""
    fired = []

    class Timed(Careless):
        @property
        def next_deadline(self) -> datetime | None:
            return None if fired else EPOCH + 2 * MINUTE

        def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
            if isinstance(event, TimerFired):
                fired.append(now)
            return ()

    replay([make_job('a', 5)], scheduler=Timed((), starts=False))
    assert fired == [EPOCH + 2 * MINUTE]
