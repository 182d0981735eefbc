"""The gang protocol that the baselines share.

Baselines retry a gang from its last checkpoint, fail a job that failed on
three distinct workers or six times, and set a worker aside for half an hour
after three failures of distinct jobs in a row, as batch systems with a health
check do. They neither preempt nor know guarantees.
"""

from abc import abstractmethod
from collections import Counter
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from typing import Final

from benchmarks.policy.capacity import Capacity
from benchmarks.policy.fitting import Fit
from benchmarks.policy.scheduler import Scheduler
from dragonflynotch.core.actions import (
    Accepted,
    Action,
    AnswerSubmission,
    NeverRunnable,
    PrepareMember,
    StartMember,
    StopMember,
    WriteJob,
)
from dragonflynotch.core.events import (
    CheckpointTaken,
    Event,
    JobCancelled,
    JobSubmitted,
    MemberFailed,
    MemberFinished,
    MemberPrepared,
    MemberRefused,
    MemberStarted,
    MemberStopped,
    WorkerJoined,
    WorkerLost,
)
from dragonflynotch.core.jobs import Job, JobSpec, JobState, Member

__all__ = ('GangScheduler', 'Launch', 'Release')

_FENCE: Final = 1
_BAD_JOB_WORKERS: Final = 3
# A gang that always fails on the same member never reaches three workers.
_BAD_JOB_FAILURES: Final = 6
_SICK_WORKER_JOBS: Final = 3
_SICK_WORKER_PAUSE: Final = timedelta(minutes=30)
_WITHOUT_EFFECT_ON_QUEUE: Final = (
    CheckpointTaken,
    MemberPrepared,
    MemberStarted,
)


@dataclass(frozen=True, slots=True)
class Launch:
    """A decision to start a job on these members."""

    job: Job
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """When a running gang frees its accelerators by its declared run time."""

    at: datetime
    members: tuple[Member, ...]
    spec: JobSpec


@dataclass(slots=True)
class _Gang:
    """One attempt to run a job."""

    job: Job
    launched_at: datetime
    holding: dict[str, Member]
    prepared: set[str] = field(default_factory=set)
    end_state: JobState = JobState.finished


class GangScheduler(Scheduler):
    """Runs gangs as a subclass selects them."""

    def __init__(self, fit: Fit) -> None:
        """Start without workers and jobs."""
        self._fit = fit
        self._capacity = Capacity()
        self._idle = Capacity()
        self._queue: dict[str, Job] = {}
        self._gangs: dict[str, _Gang] = {}
        self._failures: dict[str, set[str]] = {}
        self._failures_of: Counter[str] = Counter()
        self._sick_until: dict[str, datetime] = {}
        # Capacity only shrinks while jobs are selected for one event, so what
        # did not fit once is not tried again before the next event.
        self._misfits: set[Hashable] = set()

    @property
    def next_deadline(self) -> datetime | None:
        """When a worker that was set aside is used again."""
        return min(self._sick_until.values(), default=None)

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Return the actions that answer an event."""
        self._readmit(now)
        self._misfits.clear()
        actions = list(self._apply(event, now))
        if not isinstance(event, _WITHOUT_EFFECT_ON_QUEUE):
            for launch in self._select(now):
                actions.extend(self._launch(launch, now))
        return tuple(actions)

    @abstractmethod
    def _select(self, now: datetime) -> Iterator[Launch]:
        """Yield the jobs to start; each is started before the next one."""

    def _sort_key(self, job: Job) -> tuple[int, datetime, str]:
        return (0, job.submitted_at, job.job_id)

    def _ordered_queue(self) -> list[Job]:
        return sorted(self._queue.values(), key=self._sort_key)

    def _excluded_workers(self, job: Job) -> frozenset[str]:
        sick = frozenset(self._sick_until)
        excluded = sick.union(job.failed_workers)
        if excluded == sick:
            return sick
        # Avoiding the workers on which a gang failed must not make it wait
        # forever, for example when it needs every worker of a rack.
        can_avoid = self._fit.place(job.spec, self._idle, excluded)
        return excluded if can_avoid else sick

    def _place(self, job: Job) -> tuple[Member, ...]:
        excluded = self._excluded_workers(job)
        size = (
            job.spec.shape,
            job.spec.cores_per_accelerator,
            job.spec.memory_mb_per_accelerator,
            excluded,
        )
        if size in self._misfits:
            return ()
        members = self._fit.place(job.spec, self._capacity, excluded)
        if not members:
            self._misfits.add(size)
        return members

    def _releases(self, now: datetime) -> list[Release]:
        releases = []
        for gang in self._gangs.values():
            spec = gang.job.spec
            left = spec.declared_run_time - gang.job.work_done
            releases.append(
                Release(
                    max(now, gang.launched_at + left),
                    tuple(gang.holding.values()),
                    spec,
                )
            )
        return sorted(releases, key=lambda release: release.at)

    def _launch(self, launch: Launch, now: datetime) -> Iterator[Action]:
        job = replace(
            launch.job,
            state=JobState.starting,
            attempt=launch.job.attempt + 1,
            members=launch.members,
        )
        self._queue.pop(job.job_id)
        holding = {member.worker_id: member for member in launch.members}
        self._gangs[job.job_id] = _Gang(job, now, holding)
        self._capacity.take(launch.members, job.spec)
        for member in launch.members:
            yield PrepareMember(
                job.job_id,
                job.attempt,
                member.worker_id,
                _FENCE,
                member,
                job.spec,
                job.checkpoint,
            )

    def _readmit(self, now: datetime) -> None:
        for worker_id, until in tuple(self._sick_until.items()):
            if until <= now:
                self._sick_until.pop(worker_id)

    @singledispatchmethod
    def _apply(self, event: Event, now: datetime) -> Iterator[Action]:
        return iter(())

    @_apply.register
    def _add_worker(
        self, event: WorkerJoined, now: datetime
    ) -> Iterator[Action]:
        worker = event.worker
        self._idle.add_worker(worker)
        if worker.worker_id not in self._capacity.worker_ids:
            self._capacity.add_worker(worker)
        return iter(())

    @_apply.register
    def _lose_worker(
        self, event: WorkerLost, now: datetime
    ) -> Iterator[Action]:
        self._capacity.remove_worker(event.worker_id)
        for gang in tuple(self._gangs.values()):
            if event.worker_id in gang.holding:
                yield from self._abort(gang, JobState.waiting)
                yield from self._release(gang, event.worker_id)

    @_apply.register
    def _submit(self, event: JobSubmitted, now: datetime) -> Iterator[Action]:
        job = event.job
        if self._fit.place(job.spec, self._idle):
            self._queue[job.job_id] = job
            yield AnswerSubmission(job.job_id, Accepted())
        else:
            verdict = NeverRunnable('no place fits the shape and size')
            yield AnswerSubmission(job.job_id, verdict)

    @_apply.register
    def _cancel(self, event: JobCancelled, now: datetime) -> Iterator[Action]:
        waiting = self._queue.pop(event.job_id, None)
        if waiting is not None:
            yield WriteJob(replace(waiting, state=JobState.cancelled))
        gang = self._gangs.get(event.job_id)
        if gang is not None:
            yield from self._abort(gang, JobState.cancelled)

    @_apply.register
    def _prepared(
        self, event: MemberPrepared, now: datetime
    ) -> Iterator[Action]:
        gang = self._find(event.job_id, event.attempt)
        if gang is None or gang.end_state is not JobState.finished:
            return
        gang.prepared.add(event.worker_id)
        if gang.prepared == gang.holding.keys():
            for name in gang.holding:
                yield StartMember(event.job_id, event.attempt, name, _FENCE)

    @_apply.register
    def _checkpointed(
        self, event: CheckpointTaken, now: datetime
    ) -> Iterator[Action]:
        gang = self._find(event.job_id, event.attempt)
        if gang is not None:
            gang.job = replace(
                gang.job,
                checkpoint=event.checkpoint,
                work_done=event.work_done,
            )
        return iter(())

    @_apply.register(MemberFinished)
    @_apply.register(MemberStopped)
    def _ended(
        self, event: MemberFinished | MemberStopped, now: datetime
    ) -> Iterator[Action]:
        gang = self._find(event.job_id, event.attempt)
        if gang is not None:
            yield from self._release(gang, event.worker_id)

    @_apply.register(MemberFailed)
    @_apply.register(MemberRefused)
    def _failed(
        self, event: MemberFailed | MemberRefused, now: datetime
    ) -> Iterator[Action]:
        gang = self._find(event.job_id, event.attempt)
        if gang is None:
            return
        if isinstance(event, MemberFailed):
            self._note_failure(gang, event.worker_id, now)
        end_state = JobState.waiting
        if self._is_bad(gang.job):
            end_state = JobState.failed
        yield from self._abort(gang, end_state)
        yield from self._release(gang, event.worker_id)

    def _find(self, job_id: str, attempt: int) -> _Gang | None:
        gang = self._gangs.get(job_id)
        return gang if gang and gang.job.attempt == attempt else None

    def _note_failure(self, gang: _Gang, worker_id: str, now: datetime) -> None:
        failed = {*gang.job.failed_workers, worker_id}
        gang.job = replace(gang.job, failed_workers=tuple(sorted(failed)))
        self._failures_of[gang.job.job_id] += 1
        jobs = self._failures.setdefault(worker_id, set())
        jobs.add(gang.job.job_id)
        if len(jobs) >= _SICK_WORKER_JOBS:
            self._sick_until[worker_id] = now + _SICK_WORKER_PAUSE
            jobs.clear()

    def _is_bad(self, job: Job) -> bool:
        return (
            len(job.failed_workers) >= _BAD_JOB_WORKERS
            or self._failures_of[job.job_id] >= _BAD_JOB_FAILURES
        )

    def _abort(self, gang: _Gang, end_state: JobState) -> Iterator[Action]:
        if gang.end_state is JobState.finished:
            for name in gang.holding:
                yield StopMember(
                    gang.job.job_id, gang.job.attempt, name, _FENCE
                )
        if gang.end_state is not JobState.cancelled:
            gang.end_state = end_state

    def _release(self, gang: _Gang, worker_id: str) -> Iterator[Action]:
        member = gang.holding.pop(worker_id, None)
        if member is None:
            return
        spec = gang.job.spec
        self._capacity.give((member,), spec)
        if gang.end_state is JobState.finished:
            self._failures.pop(worker_id, None)
        if not gang.holding:
            yield from self._close(gang)

    def _close(self, gang: _Gang) -> Iterator[Action]:
        job = replace(gang.job, state=gang.end_state, members=())
        self._gangs.pop(job.job_id)
        if job.state is JobState.waiting:
            self._queue[job.job_id] = job
        else:
            yield WriteJob(job)
