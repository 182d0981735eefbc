"""Runs as the last reports of the guards list them."""

from collections.abc import Iterable

from dragonflynotch.workflows.placement.workers import Worker

__all__ = ('ReportedRuns',)


class ReportedRuns:
    """Runs listed as running, and how old that knowledge is.

    Parameters
    ----------
    workers : iterable of Worker
        Workers with their last reports.
    now_ms : int
        Store time.
    max_age_ms : int
        Runs of reports that are this old or older do not count as running.
    """

    def __init__(
        self, workers: Iterable[Worker], now_ms: int, max_age_ms: int
    ) -> None:
        """Collect the runs of all reports."""
        self._now_ms = now_ms
        self._max_age_ms = max_age_ms
        self._workers = {worker.minion_id: worker for worker in workers}
        self._listed = {
            (worker.minion_id, running.task, running.run)
            for worker in self._workers.values()
            for running in worker.report.running
        }
        self._job_ids = {
            task.partition('.')[0]
            for minion_id, task, _ in self._listed
            if self.is_recent(minion_id)
        }

    @property
    def lists_any_run(self) -> bool:
        """Whether any report lists a run."""
        return bool(self._listed)

    def has_run_of(self, job_id: str) -> bool:
        """Return whether a recent report lists any run of a job."""
        return job_id in self._job_ids

    def is_listed(self, minion_id: str, task: str, run: int) -> bool:
        """Return whether the last report of a minion lists a run."""
        return (minion_id, task, run) in self._listed

    def is_running(self, minion_id: str, task: str, run: int) -> bool:
        """Return whether a recent report lists a run."""
        return self.is_recent(minion_id) and self.is_listed(
            minion_id, task, run
        )

    def age_ms(self, minion_id: str) -> int | None:
        """Return the age of what is known of the runs of a minion.

        ``None`` if no guard reports this minion.
        """
        worker = self._workers.get(minion_id)
        if worker is None:
            return None
        return self._now_ms - worker.reported_ms + worker.report.runs_age_ms

    def is_recent(self, minion_id: str) -> bool:
        """Return whether the runs of a minion are known as of recently."""
        age_ms = self.age_ms(minion_id)
        return age_ms is not None and age_ms < self._max_age_ms
