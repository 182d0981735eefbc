"""Computes the columns of the report from the outcomes of a replay."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from types import MappingProxyType
from typing import Final

from benchmarks.policy.driver import SiteOutcome
from benchmarks.policy.progress import End, JobProgress

__all__ = (
    'COMPLETION_WEIGHTS',
    'Completion',
    'PolicyResult',
    'STARVED_AFTER',
    'summarise',
)

# At Tavua resort and audit jobs matter most. At Ravi the first shift and the
# dispatch desk wait for results, whereas nobody waits for overnight jobs.
COMPLETION_WEIGHTS: Final[Mapping[str, Mapping[str, float]]] = MappingProxyType(
    {
        'tavua': MappingProxyType(
            {
                'resort': 0.4,
                'audit': 0.3,
                'checklist': 0.2,
                'photo': 0.05,
                'retraining': 0.05,
            }
        ),
        'ravi': MappingProxyType(
            {
                'dispatch': 0.3,
                'recut': 0.3,
                'quote': 0.2,
                'overnight': 0.1,
                'overnight-large': 0.1,
            }
        ),
    }
)
STARVED_AFTER: Final = timedelta(hours=24)

_SIZE_LIMITS: Final = ((2, '1-2'), (8, '3-8'), (16, '9-16'))
_LARGEST_SIZE: Final = 'largest'
_SECONDS_PER_MINUTE: Final = 60
_SECONDS_PER_HOUR: Final = 3600


@dataclass(frozen=True, slots=True)
class Completion:
    """Completion times of a group of sound jobs, in minutes."""

    jobs: int
    mean: float
    p50: float
    p95: float
    p99: float
    longest_wait: float


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """All columns of one policy for one seed.

    Parameters
    ----------
    policy : str
        Name of the policy.
    by_class, by_size : mapping of str to Completion
        Completion times by job class and by gang size; the largest gangs form
        a group of their own.
    weighted_completion : float
        Weighted average of the mean completion times by class, in minutes.
    fragmentation, utilisation : float
        Averages over data centres, weighted by accelerators; from 0 to 1.
    unusable : float
        Time average of the number of unusable free accelerators.
    missed_deadlines : int
        Sound jobs that ended after their deadline or not at all.
    unfinished, failed : int
        Sound jobs that had not ended when the replay ended, and sound jobs
        that the scheduler marked as failed.
    preempted_hours, fault_hours : float
        Accelerator hours lost to preemption and to faults.
    longest_wait : float
        Longest wait of a sound job before a start, in minutes.
    guarantee_violations, partial_gangs, double_uses : int
        Number of violations of each invariant.
    starved : tuple of str
        Classes with a sound job that did not end or that waited longer than
        ``STARVED_AFTER``.
    """

    policy: str
    by_class: Mapping[str, Completion]
    by_size: Mapping[str, Completion]
    weighted_completion: float
    fragmentation: float
    utilisation: float
    unusable: float
    missed_deadlines: int
    unfinished: int
    failed: int
    preempted_hours: float
    fault_hours: float
    longest_wait: float
    guarantee_violations: int
    partial_gangs: int
    double_uses: int
    starved: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _MeasuredJob:
    """A sound job with its completion time and its longest wait.

    The completion time of an unfinished job is its age at the end of the
    replay.
    """

    progress: JobProgress
    completion: timedelta
    longest_wait: timedelta

    @property
    def job_class(self) -> str:
        return self.progress.job.job_class

    @property
    def size(self) -> str:
        accelerators = self.progress.job.spec.shape.accelerators
        for limit, name in _SIZE_LIMITS:
            if accelerators <= limit:
                return name
        return _LARGEST_SIZE

    @property
    def is_late(self) -> bool:
        job = self.progress.job
        deadline = job.spec.deadline
        if deadline is None:
            return False
        is_finished = self.progress.end is End.finished
        return not is_finished or job.submitted_at + self.completion > deadline

    @property
    def is_starved(self) -> bool:
        has_not_ended = self.progress.end is None
        return has_not_ended or self.longest_wait > STARVED_AFTER


def summarise(
    workload: str, policy: str, outcomes: Sequence[SiteOutcome]
) -> PolicyResult:
    """Return the columns of one policy over all data centres.

    Parameters
    ----------
    workload : str
        Name of the workload, which selects the weights.
    policy : str
        Name of the policy.
    outcomes : sequence of SiteOutcome
        Outcome of each data centre.

    Returns
    -------
    PolicyResult
        The columns.
    """
    measured = [
        _measure(progress, outcome.ends_at)
        for outcome in outcomes
        for progress in outcome.jobs
        if progress.job.is_sound
    ]
    by_class = _summarise_groups(measured, lambda job: job.job_class)
    weights = COMPLETION_WEIGHTS[workload]
    total_weight = sum(weights[name] for name in by_class)
    jobs = [progress for outcome in outcomes for progress in outcome.jobs]
    return PolicyResult(
        policy=policy,
        by_class=by_class,
        by_size=_summarise_groups(measured, lambda job: job.size),
        weighted_completion=sum(
            weights[name] * group.mean for name, group in by_class.items()
        )
        / total_weight,
        fragmentation=_average(outcomes, 'fragmentation'),
        utilisation=_average(outcomes, 'utilisation'),
        unusable=sum(outcome.unusable for outcome in outcomes),
        missed_deadlines=sum(job.is_late for job in measured),
        unfinished=sum(job.progress.end is None for job in measured),
        failed=sum(job.progress.end is End.failed for job in measured),
        preempted_hours=_hours(job.preempted_s for job in jobs),
        fault_hours=_hours(job.lost_to_faults_s for job in jobs),
        longest_wait=max(group.longest_wait for group in by_class.values()),
        guarantee_violations=sum(job.violates_guarantee for job in jobs),
        partial_gangs=sum(outcome.partial_gangs for outcome in outcomes),
        double_uses=sum(outcome.double_uses for outcome in outcomes),
        starved=tuple(
            sorted({job.job_class for job in measured if job.is_starved})
        ),
    )


def _measure(progress: JobProgress, ends_at: datetime) -> _MeasuredJob:
    is_finished = progress.end is End.finished
    end = progress.ended_at if is_finished else None
    wait = progress.longest_wait
    if progress.is_waiting:
        wait = max(wait, ends_at - progress.waiting_since)
    completion = (end or ends_at) - progress.job.submitted_at
    return _MeasuredJob(progress, completion, wait)


def _summarise_groups(
    jobs: Iterable[_MeasuredJob], group_name: Callable[[_MeasuredJob], str]
) -> dict[str, Completion]:
    groups: dict[str, list[_MeasuredJob]] = defaultdict(list)
    for job in jobs:
        groups[group_name(job)].append(job)
    return {name: _summarise_group(groups[name]) for name in sorted(groups)}


def _summarise_group(group: Sequence[_MeasuredJob]) -> Completion:
    minutes = sorted(_minutes(job.completion) for job in group)
    return Completion(
        jobs=len(minutes),
        mean=sum(minutes) / len(minutes),
        p50=_quantile(minutes, 0.5),
        p95=_quantile(minutes, 0.95),
        p99=_quantile(minutes, 0.99),
        longest_wait=max(_minutes(job.longest_wait) for job in group),
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value with at least this share at or below it."""
    rank = math.ceil(share * len(ordered))
    return ordered[max(rank - 1, 0)]


def _minutes(duration: timedelta) -> float:
    return duration.total_seconds() / _SECONDS_PER_MINUTE


def _hours(seconds: Iterable[float]) -> float:
    return sum(seconds) / _SECONDS_PER_HOUR


def _average(outcomes: Sequence[SiteOutcome], column: str) -> float:
    total = sum(outcome.site.accelerators for outcome in outcomes)
    weighted = sum(
        getattr(outcome, column) * outcome.site.accelerators
        for outcome in outcomes
    )
    return float(weighted / total)
