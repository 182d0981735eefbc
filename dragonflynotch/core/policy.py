"""Parameters of the scheduling policy of a partition."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ('PolicySettings',)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Scheduling parameters of a partition (section 13 of docs/design.md).

    Parameters
    ----------
    prepare_timeout : timedelta
        Time within which all members of a gang must confirm that they are
        prepared.
    start_confirmation : timedelta
        Time within which all members must confirm their start.
    checkpoint_bound : timedelta
        Upper bound of the time for a checkpoint before a stop.
    stop_bound : timedelta
        Upper bound of the time for a stop after the checkpoint.
    task_lease : timedelta
        Time after which all tasks of a silent worker have stopped.
    checkpoint_interval : timedelta
        Interval between the checkpoints of a running gang.
    reservation_wait : timedelta
        Waiting time after which the longest-waiting job gets a reservation.
    run_time_quantile : float
        Quantile of the observed run times that is used as the estimate.
    max_quarantined_fraction : float
        Largest fraction of the workers that may be in quarantine.
    quarantine_min_jobs : int
        Number of distinct jobs that must fail on a worker before it is put
        in quarantine.
    quarantine_period : timedelta
        Time after which a worker leaves quarantine.
    avoidance_period : timedelta
        Time for which a job avoids the workers on which it has failed,
        counted from its retry after the latest failure. Shorter than
        ``quarantine_period``, because the failure of a single job says less
        about a worker than those of several.
    bad_job_min_workers : int
        Number of distinct workers on which a job must fail before the job is
        held responsible and fails.
    max_failures : int
        Number of failed attempts after which a job fails.
    first_retry_delay : timedelta
        Delay of the second retry of a job; doubles with each further retry.
    size_tolerance : float
        Usage above the declared size that is taken for measurement error, as
        a fraction of the size.
    short_run_limit : timedelta
        Longest estimated run time with which a job without checkpoints may
        borrow guaranteed accelerators.
    """

    prepare_timeout: timedelta = timedelta(seconds=5)
    start_confirmation: timedelta = timedelta(seconds=10)
    checkpoint_bound: timedelta = timedelta(seconds=30)
    stop_bound: timedelta = timedelta(seconds=5)
    task_lease: timedelta = timedelta(seconds=20)
    checkpoint_interval: timedelta = timedelta(minutes=10)
    reservation_wait: timedelta = timedelta(seconds=60)
    run_time_quantile: float = 0.9
    max_quarantined_fraction: float = 0.2
    quarantine_min_jobs: int = 3
    quarantine_period: timedelta = timedelta(minutes=10)
    avoidance_period: timedelta = timedelta(minutes=5)
    bad_job_min_workers: int = 4
    max_failures: int = 8
    first_retry_delay: timedelta = timedelta(seconds=20)
    size_tolerance: float = 0.05
    short_run_limit: timedelta = timedelta(minutes=30)

    def retry_after(self, failures: int) -> timedelta:
        """Return the delay of the next retry after a number of failures.

        The first retry is immediate; then the delay doubles, so that a job
        does not reach ``max_failures`` on one faulty worker before other jobs
        have failed there too.
        """
        if failures <= 1:
            return timedelta()
        return self.first_retry_delay * (1 << (failures - 2))

    @property
    def reclaim_bound(self) -> timedelta:
        """Upper bound of the time from a stop order to free accelerators."""
        return self.checkpoint_bound + self.stop_bound + self.task_lease
