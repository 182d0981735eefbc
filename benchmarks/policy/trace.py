"""Input of a replay: jobs with their true behaviour, and faults."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Final

from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.topology import Worker

__all__ = (
    'EPOCH',
    'Fault',
    'FaultKind',
    'Outcome',
    'Site',
    'Trace',
    'TrueJob',
)

# Midnight, because the workloads state arrival times as hours of the day.
EPOCH: Final = datetime(2026, 1, 1, tzinfo=UTC)


class Outcome(Enum):
    """How a job behaves when it runs."""

    success = 'success'
    fails_always = 'fails_always'
    impossible = 'impossible'
    oversized = 'oversized'


@dataclass(frozen=True, slots=True)
class TrueJob:
    """A job with its true behaviour, which schedulers do not see.

    Parameters
    ----------
    job_id : str
        Unique name.
    job_class : str
        Job class in the report, for example ``'audit'``.
    data_centre : str
        Data centre that receives the job under every policy.
    spec : JobSpec
        Specification declared by the caller.
    submitted_at : datetime
        Time of arrival.
    run_time : timedelta
        True run time.
    outcome : Outcome
        How the job behaves when it runs.
    cancelled_at : datetime or None
        When the caller cancels it, if it has not ended by then.
    """

    job_id: str
    job_class: str
    data_centre: str
    spec: JobSpec
    submitted_at: datetime
    run_time: timedelta
    outcome: Outcome = Outcome.success
    cancelled_at: datetime | None = None

    @property
    def is_sound(self) -> bool:
        """Whether the job can succeed and is never cancelled.

        Only sound jobs count in the completion times.
        """
        return self.outcome is Outcome.success and self.cancelled_at is None

    @property
    def accelerator_seconds(self) -> float:
        """Accelerator time of an undisturbed run."""
        return self.run_time.total_seconds() * self.spec.shape.accelerators


class FaultKind(Enum):
    """Kind of fault of a worker."""

    lost = 'lost'
    fails_everything = 'fails_everything'


@dataclass(frozen=True, slots=True)
class Fault:
    """A period during which a worker is unusable."""

    kind: FaultKind
    worker_id: str
    begins_at: datetime
    ends_at: datetime


@dataclass(frozen=True, slots=True)
class Site:
    """One data centre with its guarantees."""

    name: str
    workers: tuple[Worker, ...]
    guarantees: tuple[Guarantee, ...]

    @property
    def accelerators(self) -> int:
        """Number of accelerators."""
        return sum(worker.accelerators for worker in self.workers)


@dataclass(frozen=True, slots=True)
class Trace:
    """Input of a replay, the same for every policy.

    Parameters
    ----------
    workload : str
        ``'tavua'`` or ``'ravi'``.
    sites : tuple of Site
        Data centres.
    jobs : tuple of TrueJob
        Jobs in order of arrival.
    faults : tuple of Fault
        Faults of workers.
    arrivals_end_at : datetime
        End of the period in which jobs arrive and averages are taken.
    """

    workload: str
    sites: tuple[Site, ...]
    jobs: tuple[TrueJob, ...]
    faults: tuple[Fault, ...] = field(default=())
    arrivals_end_at: datetime = EPOCH + timedelta(days=1)

    def jobs_of(self, site: Site) -> tuple[TrueJob, ...]:
        """Return the jobs that arrive at a data centre."""
        return tuple(job for job in self.jobs if job.data_centre == site.name)

    def faults_of(self, site: Site) -> tuple[Fault, ...]:
        """Return the faults of a data centre."""
        names = {worker.worker_id for worker in site.workers}
        return tuple(fault for fault in self.faults if fault.worker_id in names)
