"""Simulates the work, checkpoints and failures of gangs."""

from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import Final

from benchmarks.policy.agenda import Agenda
from benchmarks.policy.holdings import Holdings
from benchmarks.policy.progress import End, JobProgress
from benchmarks.policy.trace import Outcome
from dragonflynotch.core.events import (
    CheckpointTaken,
    Event,
    MemberFailed,
    MemberFinished,
    MemberReport,
    MemberState,
    WorkerReported,
)

__all__ = ('TaskRunner',)

_CHECKPOINT_PERIOD: Final = timedelta(minutes=10)
_FAILING_WORKER_DELAY: Final = timedelta(seconds=20)
_FAILING_JOB_DELAY: Final = timedelta(minutes=2)
_REPORT_PERIOD: Final = timedelta(seconds=30)
_OVERSIZED_CORES_FACTOR: Final = 3
# Exceeds the 2.2 s until a lost worker is noticed plus the 10 s after which a
# member without confirmation stops by itself.
_PARTIAL_GANG_TIMEOUT: Final = timedelta(seconds=15)


class TaskRunner:
    """Simulates the tasks of one data centre in virtual time."""

    def __init__(
        self,
        agenda: Agenda,
        holdings: Holdings,
        jobs: Mapping[str, JobProgress],
    ) -> None:
        """Start without tasks."""
        self._agenda = agenda
        self._holdings = holdings
        self._jobs = jobs
        self._throttled: set[str] = set()
        self._partial_gangs = 0
        self._fence = 0

    @property
    def partial_gangs(self) -> int:
        """Number of gangs that ran without all members."""
        return self._partial_gangs

    def count_partial_gang(self) -> None:
        """Count a gang that ran without all members."""
        self._partial_gangs += 1

    def note_fence(self, fence: int) -> None:
        """Keep the highest fencing token, which guards report."""
        self._fence = max(self._fence, fence)

    def throttle(self, job_id: str) -> None:
        """Limit a job to its declared cores."""
        self._throttled.add(job_id)

    def begin(self, progress: JobProgress) -> None:
        """Start the work of a gang whose members all run."""
        remaining = progress.begin(self._agenda.now)
        attempt = progress.attempt
        finish = partial(self._finish, progress, attempt)
        self._agenda.add_after(remaining, finish)
        if progress.job.spec.is_checkpointable:
            self._plan_checkpoint(progress)
        if progress.job.outcome is Outcome.fails_always:
            first = next(iter(progress.members))
            self._plan_failure(progress, first, _FAILING_JOB_DELAY)
        if progress.job.outcome is Outcome.oversized:
            self._plan_reports(progress, attempt)
        failing = self._holdings.failing.intersection(progress.members)
        for worker_id in sorted(failing):
            self._plan_failure(progress, worker_id, _FAILING_WORKER_DELAY)

    def lose_worker(self, worker_id: str) -> None:
        """End every member on a worker without events and mark it lost."""
        for job_id in self._holdings.jobs_on(worker_id):
            progress = self._jobs[job_id]
            self._halt_by_fault(progress)
            self.drop(progress, worker_id)
            self.expect_stop(progress)
        self._holdings.mark_lost(worker_id)

    def break_worker(self, worker_id: str) -> None:
        """Make every present and later member on a worker fail."""
        self._holdings.mark_failing(worker_id)
        for job_id in self._holdings.jobs_on(worker_id):
            self._plan_failure(
                self._jobs[job_id], worker_id, _FAILING_WORKER_DELAY
            )

    def drop(self, progress: JobProgress, worker_id: str) -> None:
        """Remove a member and free its accelerators."""
        held = progress.members.pop(worker_id)
        self._holdings.give(held.member)
        if not progress.members:
            progress.waiting_since = self._agenda.now

    def expect_stop(self, progress: JobProgress) -> None:
        """Schedule a check that the remaining members are stopped."""
        check = partial(self._check_stopped, progress, progress.attempt)
        self._agenda.add_after(_PARTIAL_GANG_TIMEOUT, check)

    def save(
        self, progress: JobProgress, worker_id: str, work_done: timedelta
    ) -> CheckpointTaken:
        """Store a checkpoint and return its event for one member."""
        job_id = progress.job.job_id
        key = f'{job_id}/{work_done.total_seconds():.3f}'
        progress.checkpoints[key] = work_done
        return CheckpointTaken(
            job_id, progress.attempt, worker_id, key, work_done
        )

    def report(self, worker_id: str) -> WorkerReported:
        """Return the report of one guard."""
        job_ids = self._holdings.jobs_on(worker_id)
        members = (self._report_member(job_id, worker_id) for job_id in job_ids)
        return WorkerReported(worker_id, tuple(members), self._fence)

    def _report_member(self, job_id: str, worker_id: str) -> MemberReport:
        progress = self._jobs[job_id]
        held = progress.members[worker_id]
        spec = progress.job.spec
        count = len(held.member.accelerators)
        cores = spec.cores_per_accelerator * count
        is_oversized = progress.job.outcome is Outcome.oversized
        if is_oversized and job_id not in self._throttled:
            cores *= _OVERSIZED_CORES_FACTOR
        return MemberReport(
            job_id,
            progress.attempt,
            held.state,
            held.member.accelerators,
            cores,
            spec.memory_mb_per_accelerator * count,
        )

    def _is_computing(self, progress: JobProgress, attempt: int) -> bool:
        is_current = progress.attempt == attempt
        return is_current and progress.computing_since is not None

    def _finish(self, progress: JobProgress, attempt: int) -> tuple[Event, ...]:
        if not self._is_computing(progress, attempt):
            return ()
        worker_ids = tuple(progress.members)
        progress.computing_since = None
        for worker_id in worker_ids:
            self.drop(progress, worker_id)
        progress.finish(End.finished, self._agenda.now)
        job_id = progress.job.job_id
        return tuple(
            MemberFinished(job_id, attempt, worker) for worker in worker_ids
        )

    def _halt_by_fault(self, progress: JobProgress) -> None:
        progress.halt(self._agenda.now, progress.last_saved, is_fault=True)

    def _plan_failure(
        self, progress: JobProgress, worker_id: str, delay: timedelta
    ) -> None:
        step = partial(self._fail, progress, progress.attempt, worker_id)
        self._agenda.add_after(delay, step)

    def _fail(
        self, progress: JobProgress, attempt: int, worker_id: str
    ) -> tuple[Event, ...]:
        if not self._is_computing(progress, attempt):
            return ()
        self._halt_by_fault(progress)
        self.drop(progress, worker_id)
        self.expect_stop(progress)
        job_id = progress.job.job_id
        return (MemberFailed(job_id, attempt, worker_id, 'exit status 1'),)

    def _check_stopped(
        self, progress: JobProgress, attempt: int
    ) -> tuple[Event, ...]:
        if progress.attempt == attempt and any(
            held.state is MemberState.running and not held.is_stopping
            for held in progress.members.values()
        ):
            self.count_partial_gang()
        return ()

    def _plan_checkpoint(self, progress: JobProgress) -> None:
        step = partial(self._save_all, progress, progress.attempt)
        self._agenda.add_after(_CHECKPOINT_PERIOD, step)

    def _save_all(
        self, progress: JobProgress, attempt: int
    ) -> tuple[Event, ...]:
        if not self._is_computing(progress, attempt):
            return ()
        self._plan_checkpoint(progress)
        work_done = progress.work_done(self._agenda.now)
        return tuple(
            self.save(progress, worker_id, work_done)
            for worker_id in progress.members
        )

    def _plan_reports(self, progress: JobProgress, attempt: int) -> None:
        step = partial(self._report_all, progress, attempt)
        self._agenda.add_after(_REPORT_PERIOD, step)

    def _report_all(
        self, progress: JobProgress, attempt: int
    ) -> tuple[Event, ...]:
        if not self._is_computing(progress, attempt):
            return ()
        self._plan_reports(progress, attempt)
        return tuple(self.report(worker_id) for worker_id in progress.members)
