"""Runs the tasks of gangs in virtual time: work, checkpoints, failures."""

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
_BAD_JOB_DELAY: Final = timedelta(minutes=2)
_REPORT_PERIOD: Final = timedelta(seconds=30)
_OVERSIZE_FACTOR: Final = 3
# A lost worker is noticed after 2.2 s, and a member without confirmation
# stops by itself after 10 s.
_PARTIAL_GANG_BOUND: Final = timedelta(seconds=15)


class TaskRunner:
    """The tasks of one data centre."""

    def __init__(
        self,
        agenda: Agenda,
        holdings: Holdings,
        jobs: Mapping[str, JobProgress],
    ) -> None:
        """Run on these holdings."""
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
        """Remember the highest fence for the reports."""
        self._fence = max(self._fence, fence)

    def throttle(self, job_id: str) -> None:
        """Limit the cores of a job to its declared size."""
        self._throttled.add(job_id)

    def begin(self, progress: JobProgress) -> None:
        """Let a gang compute that runs on all its members."""
        left = progress.begin(self._agenda.now)
        attempt = progress.attempt
        finish = partial(self._finish, progress, attempt)
        self._agenda.add_after(left, finish)
        if progress.job.spec.is_checkpointable:
            self._plan_checkpoint(progress)
        if progress.job.outcome is Outcome.fails_always:
            first = next(iter(progress.members))
            self._plan_failure(progress, first, _BAD_JOB_DELAY)
        if progress.job.outcome is Outcome.oversized:
            self._plan_reports(progress, attempt)
        failing = self._holdings.failing.intersection(progress.members)
        for worker_id in sorted(failing):
            self._plan_failure(progress, worker_id, _FAILING_WORKER_DELAY)

    def lose_worker(self, worker_id: str) -> None:
        """End every member on a worker without a message."""
        for job_id in self._holdings.holders(worker_id):
            progress = self._jobs[job_id]
            self._halt_by_fault(progress)
            self.drop(progress, worker_id)
            self.expect_stop(progress)
        self._holdings.lose(worker_id)

    def break_worker(self, worker_id: str) -> None:
        """Let a worker fail every member, from now on."""
        self._holdings.make_failing(worker_id)
        for job_id in self._holdings.holders(worker_id):
            self._plan_failure(
                self._jobs[job_id], worker_id, _FAILING_WORKER_DELAY
            )

    def drop(self, progress: JobProgress, worker_id: str) -> None:
        """Free the accelerators of one member."""
        held = progress.members.pop(worker_id)
        self._holdings.give(held.member)
        if not progress.members:
            progress.waiting_since = self._agenda.now

    def expect_stop(self, progress: JobProgress) -> None:
        """Check later that the rest of a gang does not run on."""
        check = partial(self._check_stopped, progress, progress.attempt)
        self._agenda.add_after(_PARTIAL_GANG_BOUND, check)

    def save(
        self, progress: JobProgress, worker_id: str, work_done: timedelta
    ) -> CheckpointTaken:
        """Keep a checkpoint and return its event for one member."""
        job_id = progress.job.job_id
        key = f'{job_id}/{work_done.total_seconds():.3f}'
        progress.checkpoints[key] = work_done
        return CheckpointTaken(
            job_id, progress.attempt, worker_id, key, work_done
        )

    def report(self, worker_id: str) -> WorkerReported:
        """Return the report of one guard."""
        holders = self._holdings.holders(worker_id)
        members = (self._report_member(name, worker_id) for name in holders)
        return WorkerReported(worker_id, tuple(members), self._fence)

    def _report_member(self, job_id: str, worker_id: str) -> MemberReport:
        progress = self._jobs[job_id]
        held = progress.members[worker_id]
        spec = progress.job.spec
        count = len(held.member.accelerators)
        cores = spec.cores_per_accelerator * count
        is_oversized = progress.job.outcome is Outcome.oversized
        if is_oversized and job_id not in self._throttled:
            cores *= _OVERSIZE_FACTOR
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
        names = tuple(progress.members)
        progress.computing_since = None
        for worker_id in names:
            self.drop(progress, worker_id)
        progress.finish(End.finished, self._agenda.now)
        job_id = progress.job.job_id
        return tuple(MemberFinished(job_id, attempt, name) for name in names)

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
            self.save(progress, name, work_done) for name in progress.members
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
        return tuple(self.report(name) for name in progress.members)
