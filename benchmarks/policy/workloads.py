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
_CORES_PER_ACCELERATOR: Final = (1, 2, 4)
_MEMORY_MB_PER_ACCELERATOR: Final = (4096, 8192, 16384)
# Ratio of declared to true run time: log-normal with a median of 1.5, except
# for one job in twenty that is wrong by a factor of 10 to 40 either way.
_DECLARED_FACTOR_MEDIAN: Final = 1.5
_DECLARED_FACTOR_SIGMA: Final = 0.7
_DECLARED_OUTLIER_SHARE: Final = 0.05
_DECLARED_OUTLIER_FACTORS: Final = (10, 40)
_ABNORMAL_OUTCOMES: Final = (
    (0.01, Outcome.impossible),
    (0.01, Outcome.fails_always),
    (0.02, Outcome.oversized),
)
_IMPOSSIBLE_SHAPES: Final = (
    Shape(16, Proximity.worker),
    Shape(32, Proximity.rack),
    Shape(96, Proximity.adjacent_racks),
)
_MAX_RUN_TIME: Final = timedelta(hours=6)


@dataclass(frozen=True, slots=True)
class WorkloadSettings:
    """Settings of a generated workload.

    Parameters
    ----------
    workload : str
        ``'tavua'`` or ``'ravi'``.
    seed : int
        Seed of every random choice.
    hours : float
        Length of the arrival period in hours.
    load : float
        Ratio of the offered accelerator time to that of all workers.
    has_faults : bool
        Whether workers and racks fail.
    """

    workload: str
    seed: int
    hours: float = 24
    load: float = 0.85
    has_faults: bool = True


class _JobGenerator:
    """Generates random jobs of the classes of one workload."""

    def __init__(self, settings: WorkloadSettings) -> None:
        """Seed the random generator from the settings."""
        self._settings = settings
        self._random = Random(settings.seed)
        self._sites = SITES[settings.workload]
        self._offered_s: dict[str, float] = {
            site.name: 0 for site in self._sites
        }

    def generate_class(self, job_class: JobClass) -> Iterator[TrueJob]:
        """Yield jobs until they offer the share of load of the class."""
        offered_s: float = 0
        accelerators = sum(site.accelerators for site in self._sites)
        required_s = (
            self._settings.hours
            * _SECONDS_PER_HOUR
            * accelerators
            * self._settings.load
            * job_class.share
        )
        while offered_s < required_s:
            job = self._draw(job_class)
            offered_s += job.accelerator_seconds
            yield job

    def _draw(self, job_class: JobClass) -> TrueJob:
        random = self._random
        submitted_at = self._draw_arrival(job_class)
        minutes, sigma = job_class.minutes
        run_time = min(
            timedelta(minutes=minutes * math.exp(random.gauss(0, sigma))),
            _MAX_RUN_TIME,
        )
        spec = JobSpec(
            workspace=random.choice(job_class.workspaces),
            kind=job_class.name,
            shape=random.choice(job_class.shapes),
            cores_per_accelerator=random.choice(_CORES_PER_ACCELERATOR),
            memory_mb_per_accelerator=random.choice(_MEMORY_MB_PER_ACCELERATOR),
            declared_run_time=run_time * self._draw_declared_factor(),
            priority=job_class.priority,
            is_checkpointable=job_class.is_checkpointable,
            deadline=_find_deadline(job_class, submitted_at),
        )
        outcome = self._draw_outcome()
        if outcome is Outcome.impossible:
            spec = replace(spec, shape=random.choice(_IMPOSSIBLE_SHAPES))
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
        # If every window begins after the arrival period, use the whole period.
        windows = windows or [(0, self._settings.hours)]
        first, last = self._random.choice(windows)
        last = min(last, self._settings.hours)
        return EPOCH + timedelta(hours=self._random.uniform(first, last))

    def _draw_declared_factor(self) -> float:
        if self._random.random() < _DECLARED_OUTLIER_SHARE:
            factor = self._random.uniform(*_DECLARED_OUTLIER_FACTORS)
            return self._random.choice((factor, 1 / factor))
        deviation = self._random.gauss(0, _DECLARED_FACTOR_SIGMA)
        return _DECLARED_FACTOR_MEDIAN * math.exp(deviation)

    def _draw_outcome(self) -> Outcome:
        draw = self._random.random()
        for share, outcome in _ABNORMAL_OUTCOMES:
            if draw < share:
                return outcome
            draw -= share
        return Outcome.success

    def _assign(self, job: TrueJob) -> str:
        """Choose the data centre with the least offered work for its size."""
        candidates = [
            site for site in self._sites if _can_hold(site, job.spec.shape)
        ]
        site = min(
            candidates or self._sites,
            key=lambda site: self._offered_s[site.name] / site.accelerators,
        )
        if job.outcome is not Outcome.impossible:
            self._offered_s[site.name] += job.accelerator_seconds
        return site.name


def generate(settings: WorkloadSettings) -> Trace:
    """Return the arrivals and faults of a workload.

    Parameters
    ----------
    settings : WorkloadSettings
        Settings of the workload.

    Returns
    -------
    Trace
        Trace that is equal for equal settings.

    Raises
    ------
    ValueError
        If the workload is unknown, or hours or load are not positive.
    """
    if settings.workload not in CLASSES:
        raise ValueError(f'unknown workload: {settings.workload!r}')
    if settings.hours <= 0 or settings.load <= 0:
        raise ValueError(f'hours and load must be positive: {settings!r}')
    generator = _JobGenerator(settings)
    jobs = [
        job
        for job_class in CLASSES[settings.workload]
        for job in generator.generate_class(job_class)
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
    by_domain: dict[str, int] = {}
    for worker in site.workers:
        domain = worker.rack
        if shape.proximity is Proximity.worker:
            domain = worker.worker_id
        by_domain[domain] = by_domain.get(domain, 0) + worker.accelerators
    return shape.accelerators <= max(by_domain.values())


def _find_deadline(
    job_class: JobClass, submitted_at: datetime
) -> datetime | None:
    if job_class.due_after_hours is not None:
        return submitted_at + timedelta(hours=job_class.due_after_hours)
    if job_class.due_at_hour is not None:
        midnight = submitted_at.replace(
            hour=0, minute=0, second=0, microsecond=0
        )
        return midnight + timedelta(hours=job_class.due_at_hour)
    return None
