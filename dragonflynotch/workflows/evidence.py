"""Evidence about workers, learned from how runs end."""

from dataclasses import dataclass, field

__all__ = ('WorkerEvidence',)

# Failures of this many distinct jobs without a success take a worker out.
_FAILED_JOBS = 2
# Failures further apart than this are not held against the worker together.
_WINDOW_MS = 15_000
_FIRST_EXCLUSION_MS = 6_000
_LONGEST_EXCLUSION_MS = 60_000
# Most workers of a service that may be out on evidence at a time.
_MAX_EXCLUDED_SHARE = 0.34


@dataclass(slots=True)
class _Record:
    failed_jobs: dict[str, int] = field(default_factory=dict)
    exclusion_end_ms: int = 0
    exclusion_ms: int = _FIRST_EXCLUSION_MS
    last_success_ms: int = 0


class WorkerEvidence:
    """Tells failing workers from failing jobs.

    A job that fails on several workers says nothing about them; a worker on
    which several jobs fail in a row is taken out for some time, and tried
    again after it.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._records: dict[str, _Record] = {}

    def note_success(self, minion_id: str, now_ms: int) -> None:
        """Take note of a completed run."""
        record = self._records.setdefault(minion_id, _Record())
        record.failed_jobs.clear()
        record.last_success_ms = now_ms
        record.exclusion_end_ms = 0
        record.exclusion_ms = _FIRST_EXCLUSION_MS

    def note_failure(self, minion_id: str, job_id: str, now_ms: int) -> bool:
        """Take note of a failed or stalled run.

        Returns
        -------
        bool
            Whether the worker is taken out now.
        """
        record = self._records.setdefault(minion_id, _Record())
        record.failed_jobs = {
            job: at_ms
            for job, at_ms in record.failed_jobs.items()
            if now_ms - at_ms < _WINDOW_MS
        }
        record.failed_jobs[job_id] = now_ms
        if len(record.failed_jobs) < _FAILED_JOBS:
            return False
        is_new = record.exclusion_end_ms <= now_ms
        record.exclusion_end_ms = now_ms + record.exclusion_ms
        record.exclusion_ms = min(
            record.exclusion_ms * 2, _LONGEST_EXCLUSION_MS
        )
        return is_new

    def suspicion(self, minion_id: str) -> int:
        """Return the number of jobs that failed since the last success."""
        record = self._records.get(minion_id)
        return len(record.failed_jobs) if record else 0

    def excluded(self, minion_ids: list[str], now_ms: int) -> set[str]:
        """Return the workers to leave out, at most a third of those given."""
        out = [
            minion_id
            for minion_id in minion_ids
            if (record := self._records.get(minion_id)) is not None
            and record.exclusion_end_ms > now_ms
        ]
        out.sort(key=lambda one: -self._records[one].exclusion_end_ms)
        return set(out[: int(len(minion_ids) * _MAX_EXCLUDED_SHARE)])
