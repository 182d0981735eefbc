"""Job states held by the owner, and member outcomes kept by guards."""

from collections import Counter
from collections.abc import Callable

from dragonflynotch.core.jobs import Job, JobState
from dragonflynotch.entry.partition.outbox import OutgoingOrder
from dragonflynotch.links.orders import (
    ConfirmOrder,
    GuardReport,
    MemberPhase,
    ReleaseOrder,
)

__all__ = ('JobStateCache',)

_ACTIVE_STATES = frozenset(
    (JobState.starting, JobState.running, JobState.stopping)
)


class JobStateCache:
    """Latest state of each job that is not final or not recorded yet.

    Also tracks which guards hold the outcome of a member that has ended.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[str, Job] = {}
        self._ended: set[str] = set()
        self._waiting_counts: Counter[str] = Counter()
        self._workers_with_outcome: dict[tuple[str, int], set[str]] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._jobs)

    @property
    def jobs(self) -> tuple[Job, ...]:
        """Latest states of all jobs held."""
        return tuple(self._jobs.values())

    def load(self, jobs: tuple[Job, ...]) -> None:
        """Replace all jobs by the records read at a takeover."""
        self._jobs.clear()
        self._ended.clear()
        self._workers_with_outcome.clear()
        self._waiting_counts.clear()
        for job in jobs:
            self.put(job)

    def count_waiting(self, workspace: str) -> int:
        """Return the number of waiting jobs of a workspace."""
        return self._waiting_counts[workspace]

    def find(self, job_id: str) -> Job | None:
        """Return the latest state of a job, or ``None``."""
        return self._jobs.get(job_id)

    def jobs_on_worker(self, worker_id: str) -> tuple[Job, ...]:
        """Return the active jobs that have a member on a worker."""
        return tuple(
            job
            for job in self._jobs.values()
            if job.state in _ACTIVE_STATES
            and any(member.worker_id == worker_id for member in job.members)
        )

    def put(self, job: Job) -> None:
        """Store the new state of a job."""
        self._update_waiting_count(self._jobs.get(job.job_id), -1)
        self._update_waiting_count(job, 1)
        self._jobs[job.job_id] = job
        if job.state.is_final:
            self._ended.add(job.job_id)

    def remove(self, job_id: str) -> None:
        """Remove a job."""
        self._update_waiting_count(self._jobs.pop(job_id, None), -1)
        self._ended.discard(job_id)

    def record_report(
        self, worker_id: str, report: GuardReport
    ) -> tuple[OutgoingOrder, ...]:
        """Record the outcomes in a report of a guard.

        Returns
        -------
        tuple of OutgoingOrder
            Confirmations for members that run without one.
        """
        confirmations = []
        for member in report.members:
            if member.phase.is_final:
                workers = self._workers_with_outcome.setdefault(
                    member.key, set()
                )
                workers.add(worker_id)
            elif member.phase is MemberPhase.running:
                needs_confirmation = (
                    not member.is_confirmed
                    and self._is_running_attempt(member.key)
                )
                if needs_confirmation:
                    confirmations.append(
                        OutgoingOrder(worker_id, ConfirmOrder(*member.key))
                    )
        return tuple(confirmations)

    def remove_recorded(self, is_recorded: Callable[[str], bool]) -> None:
        """Remove the final jobs whose records are written."""
        for job_id in tuple(self._ended):
            if is_recorded(job_id):
                self.remove(job_id)

    def take_releases(
        self, is_recorded: Callable[[str], bool]
    ) -> tuple[OutgoingOrder, ...]:
        """Return orders to release outcomes that guards need not keep.

        A guard keeps an outcome until the resulting job state is recorded, so
        that a later owner still finds it.
        """
        releasable = [
            key
            for key in self._workers_with_outcome
            if is_recorded(key[0]) and not self._is_active_attempt(key)
        ]
        return tuple(
            OutgoingOrder(worker_id, ReleaseOrder(*key))
            for key in releasable
            for worker_id in self._workers_with_outcome.pop(key)
        )

    def _update_waiting_count(self, job: Job | None, difference: int) -> None:
        if job is not None and job.state is JobState.waiting:
            self._waiting_counts[job.spec.workspace] += difference

    def _is_active_attempt(self, key: tuple[str, int]) -> bool:
        job_id, attempt = key
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return False
        return job.state in _ACTIVE_STATES

    def _is_running_attempt(self, key: tuple[str, int]) -> bool:
        job_id, attempt = key
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return False
        return job.state is JobState.running
