"""Replays a trace against one scheduler under a virtual clock."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial, singledispatchmethod
from types import MappingProxyType
from typing import Final

from benchmarks.policy.agenda import Agenda
from benchmarks.policy.coverage import CoverageWatch
from benchmarks.policy.guards import GuardPool
from benchmarks.policy.holdings import Holdings
from benchmarks.policy.meter import Meter
from benchmarks.policy.progress import End, JobProgress
from benchmarks.policy.scheduler import Scheduler
from benchmarks.policy.tasks import TaskRunner
from benchmarks.policy.trace import (
    EPOCH,
    Fault,
    FaultKind,
    Site,
    Trace,
    TrueJob,
)
from dragonflynotch.core.actions import (
    Action,
    AnswerSubmission,
    MemberOrder,
    NeverRunnable,
    QuarantineWorker,
    ReadmitWorker,
    WriteJob,
)
from dragonflynotch.core.events import (
    Event,
    GuaranteesChanged,
    JobCancelled,
    JobSubmitted,
    OwnershipGained,
    TimerFired,
    WorkerJoined,
    WorkerLost,
    WorkerReported,
)
from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.core.shapes import Shape

__all__ = ('Observer', 'Replay', 'SiteOutcome')

_LOSS_NOTICED_AFTER: Final = timedelta(seconds=2.2)
_SHORTEST_TIMER: Final = timedelta(milliseconds=1)
_FENCE: Final = 1
_DRAIN: Final = timedelta(hours=24)
_ENDS: Final = MappingProxyType(
    {
        JobState.failed: End.failed,
        JobState.cancelled: End.cancelled,
    }
)

Observer = Callable[[datetime, Event, tuple[Action, ...]], None]


@dataclass(frozen=True, slots=True)
class SiteOutcome:
    """What a replay of one data centre measured."""

    site: Site
    ends_at: datetime
    jobs: tuple[JobProgress, ...]
    fragmentation: float
    unusable: float
    utilisation: float
    partial_gangs: int
    double_uses: int


class Replay:
    """One scheduler and the true state of its data centre.

    Parameters
    ----------
    trace : Trace
        What happens.
    site : Site
        Data centre to replay.
    scheduler : Scheduler
        Policy under measurement.
    drain : timedelta
        How long the replay may go on after the last arrival.
    observer : callable, optional
        Receives every event with the actions that answered it.
    """

    def __init__(
        self,
        trace: Trace,
        site: Site,
        scheduler: Scheduler,
        drain: timedelta = _DRAIN,
        observer: Observer | None = None,
    ) -> None:
        """Plan the arrivals and faults."""
        self._site = site
        self._scheduler = scheduler
        self._observer = observer
        self._ends_at = trace.arrivals_end_at + drain
        self._agenda = Agenda(EPOCH)
        self._jobs: dict[str, JobProgress] = {}
        self._open: set[str] = set()
        self._waiting: Counter[Shape] = Counter()
        self._counted: set[str] = set()
        self._quarantined: set[str] = set()
        self._excused: set[str] = set()
        self._armed_at: datetime | None = None
        self._holdings = Holdings(site)
        self._tasks = TaskRunner(self._agenda, self._holdings, self._jobs)
        self._guards = GuardPool(
            self._agenda, self._holdings, self._tasks, self._jobs
        )
        self._meter = Meter(
            site,
            self._holdings,
            self._waiting,
            EPOCH,
            trace.arrivals_end_at,
        )
        self._watch = CoverageWatch(site)
        self._planned = 0
        self._agenda.add(EPOCH, self._join_all)
        for job in trace.jobs_of(site):
            self._plan_job(job)
        for fault in trace.faults_of(site):
            self._plan_fault(fault)

    def run(self) -> SiteOutcome:
        """Replay until every job has ended or the drain time is over.

        Returns
        -------
        SiteOutcome
            Measured values; jobs that have not ended have no ``end``.
        """
        next_at = self._agenda.next_at
        while next_at is not None and next_at <= self._ends_at:
            if not self._planned and not self._open:
                break
            self._meter.advance(next_at)
            events = self._agenda.run_next()
            for event in events:
                self._deliver(event)
            self._settle()
            next_at = self._agenda.next_at
        self._meter.advance(self._ends_at)
        if self._open:
            self._watch_coverage(self._ends_at)
        return SiteOutcome(
            site=self._site,
            ends_at=self._ends_at,
            jobs=tuple(self._jobs.values()),
            fragmentation=self._meter.fragmentation,
            unusable=self._meter.unusable,
            utilisation=self._meter.utilisation,
            partial_gangs=self._tasks.partial_gangs,
            double_uses=self._guards.double_uses,
        )

    def _join_all(self) -> tuple[Event, ...]:
        events: list[Event] = [OwnershipGained(_FENCE, ())]
        for worker in self._site.workers:
            events.append(WorkerJoined(worker))
            events.append(WorkerReported(worker.worker_id, (), _FENCE))
        events.append(GuaranteesChanged(self._site.guarantees))
        return tuple(events)

    def _plan_job(self, job: TrueJob) -> None:
        self._planned += 1
        self._agenda.add(job.submitted_at, partial(self._submit, job))
        if job.cancelled_at is not None:
            self._agenda.add(
                job.cancelled_at, partial(self._cancel, job.job_id)
            )

    def _submit(self, job: TrueJob) -> tuple[Event, ...]:
        self._planned -= 1
        progress = JobProgress(job, self._agenda.now)
        self._jobs[job.job_id] = progress
        self._open.add(job.job_id)
        self._watch.add(progress)
        record = Job(job.job_id, job.spec, self._agenda.now)
        return (JobSubmitted(record),)

    def _cancel(self, job_id: str) -> tuple[Event, ...]:
        progress = self._jobs[job_id]
        if progress.end is not None:
            return ()
        progress.is_cancelling = True
        return (JobCancelled(job_id),)

    def _plan_fault(self, fault: Fault) -> None:
        worker = fault.worker_id
        if fault.kind is FaultKind.lost:
            noticed_at = fault.begins_at + _LOSS_NOTICED_AFTER
            lost = WorkerLost(worker, 'silent')
            self._agenda.add(fault.begins_at, partial(self._lose, worker))
            self._agenda.add(noticed_at, lambda: (lost,))
        else:
            self._agenda.add(fault.begins_at, partial(self._break, worker))
        self._agenda.add(fault.ends_at, partial(self._restore, fault))

    def _lose(self, worker_id: str) -> tuple[Event, ...]:
        self._tasks.lose_worker(worker_id)
        return ()

    def _break(self, worker_id: str) -> tuple[Event, ...]:
        self._tasks.break_worker(worker_id)
        self._excused.add(worker_id)
        return ()

    def _restore(self, fault: Fault) -> tuple[Event, ...]:
        self._holdings.restore(fault.worker_id)
        if fault.worker_id not in self._quarantined:
            self._excused.discard(fault.worker_id)
        if fault.kind is not FaultKind.lost:
            return ()
        worker = next(
            worker
            for worker in self._site.workers
            if worker.worker_id == fault.worker_id
        )
        report = self._tasks.report(worker.worker_id)
        return (WorkerJoined(worker), report)

    def _deliver(self, event: Event) -> None:
        actions = self._scheduler.handle(event, self._agenda.now)
        if self._observer is not None:
            self._observer(self._agenda.now, event, actions)
        for action in actions:
            self._carry_out(action)
        self._arm_timer()

    @singledispatchmethod
    def _carry_out(self, action: Action) -> None:
        """Carry out an action; reports on guarantees need no answer."""

    @_carry_out.register
    def _order(self, action: MemberOrder) -> None:
        self._guards.carry_out(action)

    @_carry_out.register
    def _answer(self, action: AnswerSubmission) -> None:
        if isinstance(action.verdict, NeverRunnable):
            self._end(action.job_id, End.refused)

    @_carry_out.register
    def _write(self, action: WriteJob) -> None:
        end = _ENDS.get(action.job.state)
        if end is not None:
            self._end(action.job.job_id, end)

    @_carry_out.register
    def _quarantine(self, action: QuarantineWorker) -> None:
        self._quarantined.add(action.worker_id)

    @_carry_out.register
    def _readmit(self, action: ReadmitWorker) -> None:
        self._quarantined.discard(action.worker_id)
        if action.worker_id not in self._holdings.failing:
            self._excused.discard(action.worker_id)

    def _end(self, job_id: str, end: End) -> None:
        self._jobs[job_id].finish(end, self._agenda.now)

    def _arm_timer(self) -> None:
        deadline = self._scheduler.next_deadline
        if deadline is None:
            return
        fires_at = max(deadline, self._agenda.now + _SHORTEST_TIMER)
        if self._armed_at is None or fires_at < self._armed_at:
            self._armed_at = fires_at
            self._agenda.add(fires_at, partial(self._fire, fires_at))

    def _fire(self, fires_at: datetime) -> tuple[Event, ...]:
        if self._armed_at != fires_at:
            return ()
        self._armed_at = None
        deadline = self._scheduler.next_deadline
        if deadline is None or deadline > self._agenda.now:
            self._arm_timer()
            return ()
        return (TimerFired(),)

    def _settle(self) -> None:
        """Bring the observations up to date after a step."""
        for job_id in tuple(self._open):
            progress = self._jobs[job_id]
            is_counted = job_id in self._counted
            if progress.is_waiting != is_counted:
                shape = progress.job.spec.shape
                self._waiting[shape] += -1 if is_counted else 1
                self._counted.symmetric_difference_update((job_id,))
            if progress.end is not None and not progress.members:
                self._open.discard(job_id)
        self._watch_coverage(self._agenda.now)

    def _watch_coverage(self, now: datetime) -> None:
        is_healthy = not self._holdings.lost and not self._excused
        self._watch.update(now, is_healthy=is_healthy)
