"""Limits and bounds that steer a partition."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ('PolicySettings',)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Values of design section 13 that a partition uses.

    Parameters
    ----------
    prepare_timeout : timedelta
        Time within which all members of a gang must be prepared.
    start_confirmation : timedelta
        Time within which all members must confirm their start.
    checkpoint_bound : timedelta
        How long a checkpoint before a stop may take.
    stop_bound : timedelta
        How long a stop may take after the checkpoint.
    task_lease : timedelta
        Time after which the tasks of a silent worker have stopped.
    checkpoint_interval : timedelta
        Interval of the checkpoints ordered for running jobs.
    reservation_wait : timedelta
        Wait after which the longest-waiting job gets a reservation.
    run_time_quantile : float
        Quantile of the observed run times used for backfill.
    quarantine_cap : float
        Largest share of the workers that may be in quarantine.
    quarantine_evidence : int
        Distinct jobs that must fail on a worker before its quarantine.
    quarantine_period : timedelta
        Time after which a quarantined worker is tried again.
    bad_job_workers : int
        Distinct workers on which a job must fail to count as a bad job.
    max_failures : int
        Failed attempts after which a job is failed.
    first_retry_delay : timedelta
        Wait before the second retry of a failed job; doubles each time.
    size_tolerance : float
        Share above the declared size that counts as measurement error.
    short_run : timedelta
        Learned run time up to which a job without checkpoints may borrow.
    """

    prepare_timeout: timedelta = timedelta(seconds=5)
    start_confirmation: timedelta = timedelta(seconds=10)
    checkpoint_bound: timedelta = timedelta(seconds=30)
    stop_bound: timedelta = timedelta(seconds=5)
    task_lease: timedelta = timedelta(seconds=20)
    checkpoint_interval: timedelta = timedelta(minutes=10)
    reservation_wait: timedelta = timedelta(seconds=60)
    run_time_quantile: float = 0.9
    quarantine_cap: float = 0.2
    quarantine_evidence: int = 3
    quarantine_period: timedelta = timedelta(minutes=10)
    bad_job_workers: int = 4
    max_failures: int = 8
    first_retry_delay: timedelta = timedelta(seconds=20)
    size_tolerance: float = 0.05
    short_run: timedelta = timedelta(minutes=30)

    def retry_after(self, failures: int) -> timedelta:
        """Return how long a job waits after so many failures.

        The first retry is immediate; then the delay doubles, so that a job
        does not use up its failures on one bad worker before other jobs have
        shown that the worker is bad.
        """
        if failures <= 1:
            return timedelta()
        return self.first_retry_delay * (1 << (failures - 2))

    @property
    def reclaim_bound(self) -> timedelta:
        """Longest time from a stop order to free accelerators."""
        return self.checkpoint_bound + self.stop_bound + self.task_lease
