"""Replays a trace against one scheduler under a virtual clock."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial, singledispatchmethod
from types import MappingProxyType
from typing import Final

from benchmarks.policy.agenda import Agenda
from benchmarks.policy.coverage import CoverageMonitor
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

_LOSS_DETECTION_DELAY: Final = timedelta(seconds=2.2)
_MIN_TIMER_DELAY: Final = timedelta(milliseconds=1)
_INITIAL_FENCE: Final = 1
_DRAIN_LIMIT: Final = timedelta(hours=24)
_END_BY_STATE: Final = MappingProxyType(
    {
        JobState.failed: End.failed,
        JobState.cancelled: End.cancelled,
    }
)

Observer = Callable[[datetime, Event, tuple[Action, ...]], None]


@dataclass(frozen=True, slots=True)
class SiteOutcome:
    """Measurements from the replay of one data centre."""

    site: Site
    ends_at: datetime
    jobs: tuple[JobProgress, ...]
    fragmentation: float
    unusable: float
    utilisation: float
    partial_gangs: int
    double_uses: int


class Replay:
    """Simulation of one data centre under the control of one scheduler.

    Parameters
    ----------
    trace : Trace
        Arrivals, cancellations and faults.
    site : Site
        Data centre to replay.
    scheduler : Scheduler
        Policy to measure.
    drain : timedelta
        Longest time for which the replay continues after the last arrival.
    observer : callable, optional
        Called with the time, each event and the resulting actions.
    """

    def __init__(
        self,
        trace: Trace,
        site: Site,
        scheduler: Scheduler,
        drain: timedelta = _DRAIN_LIMIT,
        observer: Observer | None = None,
    ) -> None:
        """Schedule the arrivals, cancellations and faults."""
        self._site = site
        self._scheduler = scheduler
        self._observer = observer
        self._ends_at = trace.arrivals_end_at + drain
        self._agenda = Agenda(EPOCH)
        self._jobs: dict[str, JobProgress] = {}
        self._open_job_ids: set[str] = set()
        self._waiting_shapes: Counter[Shape] = Counter()
        self._counted_as_waiting: set[str] = set()
        self._quarantined_workers: set[str] = set()
        self._impaired_workers: set[str] = set()
        self._timer_fires_at: datetime | None = None
        self._holdings = Holdings(site)
        self._tasks = TaskRunner(self._agenda, self._holdings, self._jobs)
        self._guards = GuardPool(
            self._agenda, self._holdings, self._tasks, self._jobs
        )
        self._meter = Meter(
            site,
            self._holdings,
            self._waiting_shapes,
            EPOCH,
            trace.arrivals_end_at,
        )
        self._coverage_monitor = CoverageMonitor(site)
        self._pending_arrivals = 0
        self._agenda.add(EPOCH, self._join_all_workers)
        for job in trace.jobs_of(site):
            self._schedule_job(job)
        for fault in trace.faults_of(site):
            self._schedule_fault(fault)

    def run(self) -> SiteOutcome:
        """Replay until every job has ended or the drain time has passed.

        Returns
        -------
        SiteOutcome
            Measurements; ``end`` of a job that has not ended is None.
        """
        next_at = self._agenda.next_at
        while next_at is not None and next_at <= self._ends_at:
            if not self._pending_arrivals and not self._open_job_ids:
                break
            self._meter.advance(next_at)
            events = self._agenda.run_next()
            for event in events:
                self._deliver_event(event)
            self._update_observations()
            next_at = self._agenda.next_at
        self._meter.advance(self._ends_at)
        if self._open_job_ids:
            self._update_coverage(self._ends_at)
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

    def _join_all_workers(self) -> tuple[Event, ...]:
        events: list[Event] = [OwnershipGained(_INITIAL_FENCE, ())]
        for worker in self._site.workers:
            events.append(WorkerJoined(worker))
            events.append(WorkerReported(worker.worker_id, (), _INITIAL_FENCE))
        events.append(GuaranteesChanged(self._site.guarantees))
        return tuple(events)

    def _schedule_job(self, job: TrueJob) -> None:
        self._pending_arrivals += 1
        self._agenda.add(job.submitted_at, partial(self._submit, job))
        if job.cancelled_at is not None:
            self._agenda.add(
                job.cancelled_at, partial(self._cancel, job.job_id)
            )

    def _submit(self, job: TrueJob) -> tuple[Event, ...]:
        self._pending_arrivals -= 1
        progress = JobProgress(job, self._agenda.now)
        self._jobs[job.job_id] = progress
        self._open_job_ids.add(job.job_id)
        self._coverage_monitor.add(progress)
        record = Job(job.job_id, job.spec, self._agenda.now)
        return (JobSubmitted(record),)

    def _cancel(self, job_id: str) -> tuple[Event, ...]:
        progress = self._jobs[job_id]
        if progress.end is not None:
            return ()
        progress.is_cancelling = True
        return (JobCancelled(job_id),)

    def _schedule_fault(self, fault: Fault) -> None:
        worker = fault.worker_id
        if fault.kind is FaultKind.lost:
            detected_at = fault.begins_at + _LOSS_DETECTION_DELAY
            lost = WorkerLost(worker, 'silent')
            self._agenda.add(
                fault.begins_at, partial(self._lose_worker, worker)
            )
            self._agenda.add(detected_at, lambda: (lost,))
        else:
            self._agenda.add(
                fault.begins_at, partial(self._break_worker, worker)
            )
        self._agenda.add(fault.ends_at, partial(self._restore_worker, fault))

    def _lose_worker(self, worker_id: str) -> tuple[Event, ...]:
        self._tasks.lose_worker(worker_id)
        return ()

    def _break_worker(self, worker_id: str) -> tuple[Event, ...]:
        self._tasks.break_worker(worker_id)
        self._impaired_workers.add(worker_id)
        return ()

    def _restore_worker(self, fault: Fault) -> tuple[Event, ...]:
        self._holdings.restore(fault.worker_id)
        if fault.worker_id not in self._quarantined_workers:
            self._impaired_workers.discard(fault.worker_id)
        if fault.kind is not FaultKind.lost:
            return ()
        worker = next(
            worker
            for worker in self._site.workers
            if worker.worker_id == fault.worker_id
        )
        report = self._tasks.report(worker.worker_id)
        return (WorkerJoined(worker), report)

    def _deliver_event(self, event: Event) -> None:
        actions = self._scheduler.handle(event, self._agenda.now)
        if self._observer is not None:
            self._observer(self._agenda.now, event, actions)
        for action in actions:
            self._execute(action)
        self._arm_timer()

    @singledispatchmethod
    def _execute(self, action: Action) -> None:
        """Execute an action; reports on guarantees need no handler."""

    @_execute.register
    def _execute_order(self, action: MemberOrder) -> None:
        self._guards.execute(action)

    @_execute.register
    def _handle_verdict(self, action: AnswerSubmission) -> None:
        if isinstance(action.verdict, NeverRunnable):
            self._end_job(action.job_id, End.refused)

    @_execute.register
    def _handle_job_write(self, action: WriteJob) -> None:
        end = _END_BY_STATE.get(action.job.state)
        if end is not None:
            self._end_job(action.job.job_id, end)

    @_execute.register
    def _handle_quarantine(self, action: QuarantineWorker) -> None:
        self._quarantined_workers.add(action.worker_id)

    @_execute.register
    def _handle_readmission(self, action: ReadmitWorker) -> None:
        self._quarantined_workers.discard(action.worker_id)
        if action.worker_id not in self._holdings.failing:
            self._impaired_workers.discard(action.worker_id)

    def _end_job(self, job_id: str, end: End) -> None:
        self._jobs[job_id].finish(end, self._agenda.now)

    def _arm_timer(self) -> None:
        deadline = self._scheduler.next_deadline
        if deadline is None:
            return
        fires_at = max(deadline, self._agenda.now + _MIN_TIMER_DELAY)
        if self._timer_fires_at is None or fires_at < self._timer_fires_at:
            self._timer_fires_at = fires_at
            self._agenda.add(fires_at, partial(self._fire_timer, fires_at))

    def _fire_timer(self, fires_at: datetime) -> tuple[Event, ...]:
        if self._timer_fires_at != fires_at:
            return ()
        self._timer_fires_at = None
        deadline = self._scheduler.next_deadline
        if deadline is None or deadline > self._agenda.now:
            self._arm_timer()
            return ()
        return (TimerFired(),)

    def _update_observations(self) -> None:
        """Update the waiting shapes, open jobs and coverage after a step."""
        for job_id in tuple(self._open_job_ids):
            progress = self._jobs[job_id]
            is_counted = job_id in self._counted_as_waiting
            if progress.is_waiting != is_counted:
                shape = progress.job.spec.shape
                self._waiting_shapes[shape] += -1 if is_counted else 1
                self._counted_as_waiting.symmetric_difference_update((job_id,))
            if progress.end is not None and not progress.members:
                self._open_job_ids.discard(job_id)
        self._update_coverage(self._agenda.now)

    def _update_coverage(self, now: datetime) -> None:
        is_healthy = not self._holdings.lost and not self._impaired_workers
        self._coverage_monitor.update(now, is_healthy=is_healthy)
