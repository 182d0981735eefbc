"""Cancellations that were stored before their jobs."""

from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass

from dragonflynotch.workflows.job_access import JobAccess
from dragonflynotch.workflows.jobs import JobSpec

__all__ = ('EarlyCancellation', 'EarlyCancellations')

# Most cancellations that are kept, so that callers that cancel any identifier
# fill neither the store nor the memory.
_MAX_KEPT = 10_000
# Most rows that are deleted in one round.
_MAX_TAKEN = 20


@dataclass(frozen=True, slots=True)
class EarlyCancellation:
    """A cancellation of a job that was not known to the entry.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    key : str
        Key of the stored row.
    access : JobAccess
        Rights of the caller; only a job that they cover is cancelled.
    cancelled_ms : int
        Store time of the cancellation.
    """

    job_id: str
    key: str
    access: JobAccess
    cancelled_ms: int

    def applies_to(self, spec: JobSpec) -> bool:
        """Return whether a job is one that its caller may cancel."""
        return self.access.covers(spec.workspace, spec.queue)


class EarlyCancellations:
    """Cancellations by job, the oldest first.

    A row is deleted once no submission can be under way any more. The
    cancellation is remembered for as long again, since the deletion fails if
    the job has arrived meanwhile.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._kept: dict[str, EarlyCancellation] = {}
        self._by_job: defaultdict[str, list[EarlyCancellation]] = defaultdict(
            list
        )
        # Keys of rows whose deletion has been requested.
        self._deleted: set[str] = set()

    def add(self, cancellation: EarlyCancellation) -> None:
        """Keep a cancellation."""
        if cancellation.key not in self._kept:
            self._kept[cancellation.key] = cancellation
            self._by_job[cancellation.job_id].append(cancellation)

    def apply_to(self, job_id: str, spec: JobSpec) -> bool:
        """Return whether a job that has arrived is cancelled."""
        return any(
            cancellation.applies_to(spec)
            for cancellation in self._by_job.get(job_id, ())
        )

    def take_expired(
        self, now_ms: int, retention_ms: int, known_jobs: Container[str]
    ) -> list[EarlyCancellation]:
        """Return the cancellations whose rows are to be deleted.

        Parameters
        ----------
        retention_ms : int
            How long a row is kept.
        known_jobs : container of str
            Jobs that have arrived; their rows are kept.
        """
        self._forget_deleted(now_ms - 2 * retention_ms)
        waiting = [
            cancellation
            for key, cancellation in self._kept.items()
            if key not in self._deleted
            and cancellation.job_id not in known_jobs
        ]
        surplus = max(0, len(waiting) - _MAX_KEPT)
        expired = [
            cancellation
            for position, cancellation in enumerate(waiting)
            if position < surplus
            or now_ms - cancellation.cancelled_ms >= retention_ms
        ][:_MAX_TAKEN]
        self._deleted.update(cancellation.key for cancellation in expired)
        return expired

    def _forget_deleted(self, before_ms: int) -> None:
        for key in list(self._deleted):
            cancellation = self._kept[key]
            if cancellation.cancelled_ms < before_ms:
                del self._kept[key]
                self._by_job.pop(cancellation.job_id, None)
                self._deleted.discard(key)
