"""Generates the arrivals and faults of a workload from a seed."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random
from typing import Final

from benchmarks.policy.classes import CLASSES, JobClass
from benchmarks.policy.disturbances import (
    add_bursts,
    add_cancellations,
    add_faults,
)
from benchmarks.policy.sites import SITES
from benchmarks.policy.trace import EPOCH, Outcome, Site, Trace, TrueJob
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.shapes import Proximity, Shape

__all__ = ('WorkloadSettings', 'generate')

_HOURS_PER_DAY: Final = 24
_SECONDS_PER_HOUR: Final = 3600
_CORES: Final = (1, 2, 4)
_MEMORY_MB: Final = (4096, 8192, 16384)
# Declared run times: usually too long by half with a wide spread, and one in
# twenty wrong by a factor between 10 and 40 in either direction.
_DECLARED_MEDIAN: Final = 1.5
_DECLARED_SIGMA: Final = 0.7
_FAR_OFF_SHARE: Final = 0.05
_FAR_OFF_FACTORS: Final = (10, 40)
_ODD_OUTCOMES: Final = (
    (0.01, Outcome.impossible),
    (0.01, Outcome.fails_always),
    (0.02, Outcome.oversized),
)
_TOO_LARGE: Final = (
    Shape(16, Proximity.worker),
    Shape(32, Proximity.rack),
    Shape(96, Proximity.adjacent_racks),
)
_LONGEST_RUN: Final = timedelta(hours=6)


@dataclass(frozen=True, slots=True)
class WorkloadSettings:
    """What to generate.

    Parameters
    ----------
    workload : str
        ``'tavua'`` or ``'ravi'``.
    seed : int
        Seed of every random choice.
    hours : float
        Time during which jobs arrive.
    load : float
        Offered accelerator time over the accelerator time of all workers.
    has_faults : bool
        Whether workers and racks fail.
    """

    workload: str
    seed: int
    hours: float = 24
    load: float = 0.85
    has_faults: bool = True


class _Drafter:
    """Draws jobs of the classes of one workload."""

    def __init__(self, settings: WorkloadSettings) -> None:
        """Draw from the seed of the settings."""
        self._settings = settings
        self._random = Random(settings.seed)
        self._sites = SITES[settings.workload]
        self._offered: dict[str, float] = {site.name: 0 for site in self._sites}

    def draft(self, job_class: JobClass) -> Iterator[TrueJob]:
        """Yield jobs until the share of the class is offered."""
        offered: float = 0
        accelerators = sum(site.accelerators for site in self._sites)
        wanted = (
            self._settings.hours
            * _SECONDS_PER_HOUR
            * accelerators
            * self._settings.load
            * job_class.share
        )
        while offered < wanted:
            job = self._draw(job_class)
            offered += job.accelerator_seconds
            yield job

    def _draw(self, job_class: JobClass) -> TrueJob:
        random = self._random
        submitted_at = self._draw_arrival(job_class)
        minutes, sigma = job_class.minutes
        run_time = min(
            timedelta(minutes=minutes * math.exp(random.gauss(0, sigma))),
            _LONGEST_RUN,
        )
        spec = JobSpec(
            workspace=random.choice(job_class.workspaces),
            kind=job_class.name,
            shape=random.choice(job_class.shapes),
            cores_per_accelerator=random.choice(_CORES),
            memory_mb_per_accelerator=random.choice(_MEMORY_MB),
            declared_run_time=run_time * self._draw_declared_factor(),
            priority=job_class.priority,
            is_checkpointable=job_class.is_checkpointable,
            deadline=_due_at(job_class, submitted_at),
        )
        outcome = self._draw_outcome()
        if outcome is Outcome.impossible:
            spec = replace(spec, shape=random.choice(_TOO_LARGE))
        job = TrueJob(
            '', job_class.name, '', spec, submitted_at, run_time, outcome
        )
        return replace(job, data_centre=self._assign(job))

    def _draw_arrival(self, job_class: JobClass) -> datetime:
        days = math.ceil(self._settings.hours / _HOURS_PER_DAY)
        windows = [
            (day * _HOURS_PER_DAY + first, day * _HOURS_PER_DAY + last)
            for day in range(days)
            for first, last in job_class.hours
            if day * _HOURS_PER_DAY + first < self._settings.hours
        ]
        # A replay shorter than the first window still sees the class.
        windows = windows or [(0, self._settings.hours)]
        first, last = self._random.choice(windows)
        last = min(last, self._settings.hours)
        return EPOCH + timedelta(hours=self._random.uniform(first, last))

    def _draw_declared_factor(self) -> float:
        if self._random.random() < _FAR_OFF_SHARE:
            factor = self._random.uniform(*_FAR_OFF_FACTORS)
            return self._random.choice((factor, 1 / factor))
        deviation = self._random.gauss(0, _DECLARED_SIGMA)
        return _DECLARED_MEDIAN * math.exp(deviation)

    def _draw_outcome(self) -> Outcome:
        draw = self._random.random()
        for share, outcome in _ODD_OUTCOMES:
            if draw < share:
                return outcome
            draw -= share
        return Outcome.success

    def _assign(self, job: TrueJob) -> str:
        """Choose the data centre with the least work for its size."""
        fitting = [
            site for site in self._sites if _can_hold(site, job.spec.shape)
        ]
        site = min(
            fitting or self._sites,
            key=lambda site: self._offered[site.name] / site.accelerators,
        )
        if job.outcome is not Outcome.impossible:
            self._offered[site.name] += job.accelerator_seconds
        return site.name


def generate(settings: WorkloadSettings) -> Trace:
    """Return the arrivals and faults of a workload.

    Parameters
    ----------
    settings : WorkloadSettings
        What to generate.

    Returns
    -------
    Trace
        The same for the same settings.

    Raises
    ------
    ValueError
        If the workload is unknown, or hours or load are not positive.
    """
    if settings.workload not in CLASSES:
        raise ValueError(f'unknown workload: {settings.workload!r}')
    if settings.hours <= 0 or settings.load <= 0:
        raise ValueError(f'hours and load must be positive: {settings!r}')
    drafter = _Drafter(settings)
    jobs = [
        job
        for job_class in CLASSES[settings.workload]
        for job in drafter.draft(job_class)
    ]
    random = Random(settings.seed + 1)
    span = timedelta(hours=settings.hours)
    jobs = add_bursts(jobs, span, random)
    jobs = add_cancellations(jobs, span, random)
    jobs.sort(key=lambda job: job.submitted_at)
    sites = SITES[settings.workload]
    return Trace(
        workload=settings.workload,
        sites=sites,
        jobs=tuple(
            replace(job, job_id=f'job-{index}')
            for index, job in enumerate(jobs)
        ),
        faults=(add_faults(sites, span, random) if settings.has_faults else ()),
        arrivals_end_at=EPOCH + span,
    )


def _can_hold(site: Site, shape: Shape) -> bool:
    if shape.proximity is Proximity.adjacent_racks:
        return shape.accelerators <= site.accelerators
    by_rack: dict[str, int] = {}
    for worker in site.workers:
        domain = worker.rack
        if shape.proximity is Proximity.worker:
            domain = worker.worker_id
        by_rack[domain] = by_rack.get(domain, 0) + worker.accelerators
    return shape.accelerators <= max(by_rack.values())


def _due_at(job_class: JobClass, submitted_at: datetime) -> datetime | None:
    if job_class.due_after_hours is not None:
        return submitted_at + timedelta(hours=job_class.due_after_hours)
    if job_class.due_at_hour is not None:
        midnight = submitted_at.replace(
            hour=0, minute=0, second=0, microsecond=0
        )
        return midnight + timedelta(hours=job_class.due_at_hour)
    return None
