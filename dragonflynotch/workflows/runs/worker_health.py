"""Health of workers, judged by how their runs end."""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ('FAILURE_WINDOW_MS', 'WorkerHealth')

# A worker is excluded once this many distinct jobs have failed on it without a
# success in between.
_MIN_FAILED_JOBS = 2
# Failures that are this long ago or longer do not count against a worker.
FAILURE_WINDOW_MS = 15_000
_FIRST_EXCLUSION_MS = 6_000
_MAX_EXCLUSION_MS = 60_000
# An excluded worker may be tried this long after the last failure there, and
# again this long after the start of a trial.
_TRIAL_DELAY_MS = 1_000
_TRIAL_INTERVAL_MS = 2_000
# Largest share of the usable workers that may be excluded at a time.
_MAX_EXCLUDED_SHARE = 0.34


@dataclass(slots=True)
class _WorkerRecord:
    # Time of the last failure, by job.
    failed_jobs: dict[str, int] = field(default_factory=dict)
    exclusion_start_ms: int = 0
    exclusion_end_ms: int = 0
    last_failure_ms: int = 0
    last_trial_ms: int = 0
    # Length of the next exclusion.
    exclusion_ms: int = _FIRST_EXCLUSION_MS

    def recent_failures(self, now_ms: int) -> dict[str, int]:
        """Return the failures within the window."""
        return {
            job: at_ms
            for job, at_ms in self.failed_jobs.items()
            if now_ms - at_ms < FAILURE_WINDOW_MS
        }


class WorkerHealth:
    """Distinguishes faulty workers from faulty jobs.

    The failures of one job on a worker count once. A worker on which several
    jobs fail in a row is excluded for some time and then used again. If runs
    that start there afterwards fail too, it is excluded for twice as long, up
    to a limit, until a run succeeds. While much of the capacity is idle, single
    starts try whether it has recovered.
    """

    def __init__(self) -> None:
        """Create an instance without any records."""
        self._records: dict[str, _WorkerRecord] = {}

    def record_success(self, minion_id: str, started_ms: int) -> int:
        """Record a completed run.

        Clears the failures from before the start of the run. Later failures
        and the exclusion that results from them remain: a worker that became
        faulty still completes the runs that it started before.

        Parameters
        ----------
        started_ms : int
            Store time at which the run was ordered.

        Returns
        -------
        int
            Number of failed jobs that no longer count.
        """
        record = self._records.setdefault(minion_id, _WorkerRecord())
        remaining = {
            job: at_ms
            for job, at_ms in record.failed_jobs.items()
            if at_ms > started_ms
        }
        cleared = len(record.failed_jobs) - len(remaining)
        record.failed_jobs = remaining
        if not remaining:
            record.exclusion_end_ms = 0
            record.exclusion_ms = _FIRST_EXCLUSION_MS
        return cleared

    def record_failure(
        self, minion_id: str, job_id: str, started_ms: int, now_ms: int
    ) -> bool:
        """Record a failed or stalled run.

        Runs that were started before an exclusion do not prolong it: they
        fail for the reason that caused it.

        Parameters
        ----------
        started_ms : int
            Store time at which the run was ordered.

        Returns
        -------
        bool
            Whether this failure starts or prolongs an exclusion of the worker.
        """
        record = self._records.setdefault(minion_id, _WorkerRecord())
        record.failed_jobs = record.recent_failures(now_ms)
        record.failed_jobs[job_id] = now_ms
        record.last_failure_ms = now_ms
        if (
            len(record.failed_jobs) < _MIN_FAILED_JOBS
            or started_ms < record.exclusion_start_ms
        ):
            return False
        record.exclusion_start_ms = now_ms
        record.exclusion_end_ms = now_ms + record.exclusion_ms
        record.exclusion_ms = min(record.exclusion_ms * 2, _MAX_EXCLUSION_MS)
        return True

    def restore_failure(self, minion_id: str, job_id: str, at_ms: int) -> None:
        """Restore a failed or stalled run from before a takeover.

        It counts towards the next exclusion and starts none: whether runs have
        succeeded on the worker since is not known.
        """
        record = self._records.setdefault(minion_id, _WorkerRecord())
        record.failed_jobs[job_id] = max(
            at_ms, record.failed_jobs.get(job_id, 0)
        )
        record.last_failure_ms = max(at_ms, record.last_failure_ms)

    def record_trial(self, minion_id: str, now_ms: int) -> None:
        """Record that a run was ordered on an excluded worker."""
        self._records[minion_id].last_trial_ms = now_ms

    def due_trials(
        self, minion_ids: Iterable[str], now_ms: int
    ) -> dict[str, int]:
        """Return the time since the last failure on excluded workers.

        In milliseconds, by minion; only of those that may be tried now.
        """
        records = {
            minion_id: self._records[minion_id] for minion_id in minion_ids
        }
        return {
            minion_id: now_ms - record.last_failure_ms
            for minion_id, record in records.items()
            if now_ms - record.last_failure_ms >= _TRIAL_DELAY_MS
            and now_ms - record.last_trial_ms >= _TRIAL_INTERVAL_MS
        }

    def failed_job_count(self, minion_id: str, now_ms: int) -> int:
        """Return how many distinct jobs failed recently without a success."""
        record = self._records.get(minion_id)
        return len(record.recent_failures(now_ms)) if record else 0

    def excluded(self, minion_ids: list[str], now_ms: int) -> set[str]:
        """Return the workers to exclude, at most about a third of those given.

        Those whose exclusion ends last come first.
        """
        candidates = [
            minion_id
            for minion_id in minion_ids
            if (record := self._records.get(minion_id)) is not None
            and record.exclusion_end_ms > now_ms
        ]
        candidates.sort(
            key=lambda minion_id: -self._records[minion_id].exclusion_end_ms
        )
        return set(candidates[: int(len(minion_ids) * _MAX_EXCLUDED_SHARE)])
