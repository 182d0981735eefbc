"""Gang scheduling shared by the baseline policies.

Baselines retry a gang from its last checkpoint. They fail a job after failures
on three distinct workers or six failures in all. Like batch systems with a
health check, they quarantine a worker for half an hour after failures of three
distinct jobs without a success in between. They support neither preemption nor
guarantees.
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

# The owner of a baseline never changes, so one fencing token is enough.
_FENCE: Final = 1
_MAX_FAILED_WORKERS: Final = 3
# A gang that always fails on the same worker never reaches the limit above.
_MAX_JOB_FAILURES: Final = 6
_QUARANTINE_AFTER_JOBS: Final = 3
_QUARANTINE_PERIOD: Final = timedelta(minutes=30)
# These events neither free capacity nor add jobs to the queue.
_EVENTS_WITHOUT_SELECTION: Final = (
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
    """Expected end of a running gang, from its declared run time."""

    at: datetime
    members: tuple[Member, ...]
    spec: JobSpec


@dataclass(slots=True)
class _Gang:
    """One attempt to run a job."""

    job: Job
    launched_at: datetime
    held_members: dict[str, Member]
    prepared: set[str] = field(default_factory=set)
    end_state: JobState = JobState.finished


class GangScheduler(Scheduler):
    """Starts and retries gangs; a subclass selects the jobs to start."""

    def __init__(self, fit: Fit) -> None:
        """Start without workers and jobs."""
        self._fit = fit
        self._capacity = Capacity()
        # Every worker that ever joined, as if idle: a job that does not fit
        # here can never run.
        self._total_capacity = Capacity()
        self._queue: dict[str, Job] = {}
        self._gangs: dict[str, _Gang] = {}
        self._failed_jobs_by_worker: dict[str, set[str]] = {}
        self._failures_by_job: Counter[str] = Counter()
        self._quarantined_until: dict[str, datetime] = {}
        # Requirements without a placement during the current event. Selecting
        # jobs only reduces the capacity, so they are not tried again.
        self._unplaceable: set[Hashable] = set()

    @property
    def next_deadline(self) -> datetime | None:
        """Earliest end of a quarantine, or None."""
        return min(self._quarantined_until.values(), default=None)

    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Return the actions that answer an event."""
        self._end_quarantines(now)
        self._unplaceable.clear()
        actions = list(self._apply(event, now))
        if not isinstance(event, _EVENTS_WITHOUT_SELECTION):
            for launch in self._select(now):
                actions.extend(self._launch(launch, now))
        return tuple(actions)

    @abstractmethod
    def _select(self, now: datetime) -> Iterator[Launch]:
        """Yield the jobs to start.

        The caller starts each job before it takes the next one.
        """

    def _sort_key(self, job: Job) -> tuple[int, datetime, str]:
        return (0, job.submitted_at, job.job_id)

    def _ordered_queue(self) -> list[Job]:
        return sorted(self._queue.values(), key=self._sort_key)

    def _excluded_workers(self, job: Job) -> frozenset[str]:
        quarantined = frozenset(self._quarantined_until)
        excluded = quarantined.union(job.failed_workers)
        if excluded == quarantined:
            return quarantined
        # A job that fits only with the workers on which it failed, for example
        # because it needs a whole rack, would wait forever if they were
        # excluded.
        can_avoid = self._fit.place(job.spec, self._total_capacity, excluded)
        return excluded if can_avoid else quarantined

    def _place(self, job: Job) -> tuple[Member, ...]:
        excluded = self._excluded_workers(job)
        requirements = (
            job.spec.shape,
            job.spec.cores_per_accelerator,
            job.spec.memory_mb_per_accelerator,
            excluded,
        )
        if requirements in self._unplaceable:
            return ()
        members = self._fit.place(job.spec, self._capacity, excluded)
        if not members:
            self._unplaceable.add(requirements)
        return members

    def _releases(self, now: datetime) -> list[Release]:
        releases = []
        for gang in self._gangs.values():
            spec = gang.job.spec
            remaining = spec.declared_run_time - gang.job.work_done
            releases.append(
                Release(
                    max(now, gang.launched_at + remaining),
                    tuple(gang.held_members.values()),
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
        held_members = {member.worker_id: member for member in launch.members}
        self._gangs[job.job_id] = _Gang(job, now, held_members)
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

    def _end_quarantines(self, now: datetime) -> None:
        for worker_id, until in tuple(self._quarantined_until.items()):
            if until <= now:
                self._quarantined_until.pop(worker_id)

    @singledispatchmethod
    def _apply(self, event: Event, now: datetime) -> Iterator[Action]:
        return iter(())

    @_apply.register
    def _add_worker(
        self, event: WorkerJoined, now: datetime
    ) -> Iterator[Action]:
        worker = event.worker
        self._total_capacity.add_worker(worker)
        if worker.worker_id not in self._capacity.worker_ids:
            self._capacity.add_worker(worker)
        return iter(())

    @_apply.register
    def _remove_worker(
        self, event: WorkerLost, now: datetime
    ) -> Iterator[Action]:
        self._capacity.remove_worker(event.worker_id)
        for gang in tuple(self._gangs.values()):
            if event.worker_id in gang.held_members:
                yield from self._abort(gang, JobState.waiting)
                yield from self._release_member(gang, event.worker_id)

    @_apply.register
    def _submit(self, event: JobSubmitted, now: datetime) -> Iterator[Action]:
        job = event.job
        if self._fit.place(job.spec, self._total_capacity):
            self._queue[job.job_id] = job
            yield AnswerSubmission(job.job_id, Accepted())
        else:
            verdict = NeverRunnable(
                'no workers can hold the shape with its cores and memory'
            )
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
    def _mark_prepared(
        self, event: MemberPrepared, now: datetime
    ) -> Iterator[Action]:
        gang = self._find_gang(event.job_id, event.attempt)
        if gang is None or gang.end_state is not JobState.finished:
            return
        gang.prepared.add(event.worker_id)
        if gang.prepared == gang.held_members.keys():
            for worker_id in gang.held_members:
                yield StartMember(
                    event.job_id, event.attempt, worker_id, _FENCE
                )

    @_apply.register
    def _record_checkpoint(
        self, event: CheckpointTaken, now: datetime
    ) -> Iterator[Action]:
        gang = self._find_gang(event.job_id, event.attempt)
        if gang is not None:
            gang.job = replace(
                gang.job,
                checkpoint=event.checkpoint,
                work_done=event.work_done,
            )
        return iter(())

    @_apply.register(MemberFinished)
    @_apply.register(MemberStopped)
    def _end_member(
        self, event: MemberFinished | MemberStopped, now: datetime
    ) -> Iterator[Action]:
        gang = self._find_gang(event.job_id, event.attempt)
        if gang is not None:
            yield from self._release_member(gang, event.worker_id)

    @_apply.register(MemberFailed)
    @_apply.register(MemberRefused)
    def _fail_member(
        self, event: MemberFailed | MemberRefused, now: datetime
    ) -> Iterator[Action]:
        gang = self._find_gang(event.job_id, event.attempt)
        if gang is None:
            return
        if isinstance(event, MemberFailed):
            self._record_failure(gang, event.worker_id, now)
        end_state = JobState.waiting
        if self._has_too_many_failures(gang.job):
            end_state = JobState.failed
        yield from self._abort(gang, end_state)
        yield from self._release_member(gang, event.worker_id)

    def _find_gang(self, job_id: str, attempt: int) -> _Gang | None:
        gang = self._gangs.get(job_id)
        return gang if gang and gang.job.attempt == attempt else None

    def _record_failure(
        self, gang: _Gang, worker_id: str, now: datetime
    ) -> None:
        failed = {*gang.job.failed_workers, worker_id}
        gang.job = replace(gang.job, failed_workers=tuple(sorted(failed)))
        self._failures_by_job[gang.job.job_id] += 1
        jobs = self._failed_jobs_by_worker.setdefault(worker_id, set())
        jobs.add(gang.job.job_id)
        if len(jobs) >= _QUARANTINE_AFTER_JOBS:
            self._quarantined_until[worker_id] = now + _QUARANTINE_PERIOD
            jobs.clear()

    def _has_too_many_failures(self, job: Job) -> bool:
        return (
            len(job.failed_workers) >= _MAX_FAILED_WORKERS
            or self._failures_by_job[job.job_id] >= _MAX_JOB_FAILURES
        )

    def _abort(self, gang: _Gang, end_state: JobState) -> Iterator[Action]:
        if gang.end_state is JobState.finished:
            for worker_id in gang.held_members:
                yield StopMember(
                    gang.job.job_id, gang.job.attempt, worker_id, _FENCE
                )
        if gang.end_state is not JobState.cancelled:
            gang.end_state = end_state

    def _release_member(self, gang: _Gang, worker_id: str) -> Iterator[Action]:
        member = gang.held_members.pop(worker_id, None)
        if member is None:
            return
        spec = gang.job.spec
        self._capacity.give((member,), spec)
        if gang.end_state is JobState.finished:
            self._failed_jobs_by_worker.pop(worker_id, None)
        if not gang.held_members:
            yield from self._end_attempt(gang)

    def _end_attempt(self, gang: _Gang) -> Iterator[Action]:
        job = replace(gang.job, state=gang.end_state, members=())
        self._gangs.pop(job.job_id)
        if job.state is JobState.waiting:
            self._queue[job.job_id] = job
        else:
            yield WriteJob(job)
