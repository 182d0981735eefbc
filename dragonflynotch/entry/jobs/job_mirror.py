"""Jobs as the owner knows them, and member outcomes to release."""

from collections import Counter
from collections.abc import Callable

from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.entry.partition.outbox import Outgoing
from dragonflynotch.links.orders import (
    ConfirmOrder,
    GuardReport,
    MemberPhase,
    ReleaseOrder,
)

__all__ = ('JobMirror',)

_ATTEMPT_STATES = frozenset(
    (JobState.starting, JobState.running, JobState.stopping)
)


class JobMirror:
    """Latest state of each job that is not final or not recorded yet."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[str, Job] = {}
        self._ended: set[str] = set()
        self._waiting: Counter[str] = Counter()
        self._outcomes: dict[tuple[str, int], set[str]] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._jobs)

    @property
    def jobs(self) -> tuple[Job, ...]:
        """All jobs."""
        return tuple(self._jobs.values())

    def load(self, jobs: tuple[Job, ...]) -> None:
        """Start again with the records read at a takeover."""
        self._jobs.clear()
        self._ended.clear()
        self._outcomes.clear()
        self._waiting.clear()
        for job in jobs:
            self.put(job)

    def count_waiting(self, workspace: str) -> int:
        """Return how many jobs of a workspace wait."""
        return self._waiting[workspace]

    def find(self, job_id: str) -> Job | None:
        """Return the latest state of a job, or ``None``."""
        return self._jobs.get(job_id)

    def on_worker(self, worker_id: str) -> tuple[Job, ...]:
        """Return the jobs with a member on a worker."""
        return tuple(
            job
            for job in self._jobs.values()
            if job.state in _ATTEMPT_STATES
            and any(member.worker_id == worker_id for member in job.members)
        )

    def put(self, job: Job) -> None:
        """Take over a new state."""
        self._count(self._jobs.get(job.job_id), -1)
        self._count(job, 1)
        self._jobs[job.job_id] = job
        if job.state.is_final:
            self._ended.add(job.job_id)

    def drop(self, job_id: str) -> None:
        """Forget a job."""
        self._count(self._jobs.pop(job_id, None), -1)
        self._ended.discard(job_id)

    def note_report(
        self, worker_id: str, report: GuardReport
    ) -> tuple[Outgoing, ...]:
        """Note outcomes and return confirmations that members still lack."""
        missing = []
        for member in report.members:
            if member.phase.is_final:
                workers = self._outcomes.setdefault(member.key, set())
                workers.add(worker_id)
            elif member.phase is MemberPhase.running:
                is_owed = not member.is_confirmed and self._is_running(
                    member.key
                )
                if is_owed:
                    missing.append(
                        Outgoing(worker_id, ConfirmOrder(*member.key))
                    )
        return tuple(missing)

    def drop_ended(self, is_recorded: Callable[[str], bool]) -> None:
        """Forget the final jobs whose record is written."""
        for job_id in tuple(self._ended):
            if is_recorded(job_id):
                self.drop(job_id)

    def take_releases(
        self, is_recorded: Callable[[str], bool]
    ) -> tuple[Outgoing, ...]:
        """Return releases of outcomes whose consequence is recorded.

        Until then a guard keeps the outcome, so that a later owner finds it.
        """
        over = [
            key
            for key in self._outcomes
            if is_recorded(key[0]) and not self._is_current(key)
        ]
        return tuple(
            Outgoing(worker_id, ReleaseOrder(*key))
            for key in over
            for worker_id in self._outcomes.pop(key)
        )

    def _count(self, job: Job | None, change: int) -> None:
        if job is not None and job.state is JobState.waiting:
            self._waiting[job.spec.workspace] += change

    def _is_current(self, key: tuple[str, int]) -> bool:
        job_id, attempt = key
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return False
        return job.state in _ATTEMPT_STATES

    def _is_running(self, key: tuple[str, int]) -> bool:
        job_id, attempt = key
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return False
        return job.state is JobState.running
