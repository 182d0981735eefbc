"""Adds arrival bursts, cancellation waves and worker faults to a workload."""

from collections.abc import Iterator, Sequence
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Final

from benchmarks.policy.trace import (
    EPOCH,
    Fault,
    FaultKind,
    Site,
    TrueJob,
)

__all__ = ('add_bursts', 'add_cancellations', 'add_faults')

_BURST_COUNT: Final = 2
_BURST_DURATION_S: Final = 120
_BURST_JOB_SHARE: Final = 0.02
_LARGE_GANG_ACCELERATORS: Final = 16

_CANCELLATION_WAVE_COUNT: Final = 2
_CANCELLED_SHARE: Final = 0.4
_MAX_CANCELLED_JOB_AGE: Final = timedelta(hours=1)
_CANCELLATION_WAVE_DURATION_S: Final = 60

_LOST_WORKER_COUNT: Final = 3
_WORKER_OUTAGE_RANGE_MINUTES: Final = (3, 20)
_RACK_OUTAGE_DURATION: Final = timedelta(minutes=25)
_MAX_FAILING_DURATION: Final = timedelta(hours=2)


def add_bursts(
    jobs: Sequence[TrueJob], span: timedelta, random: Random
) -> list[TrueJob]:
    """Move some small and large jobs into a few short arrival bursts.

    Parameters
    ----------
    jobs : sequence of TrueJob
        Jobs with the arrival times drawn for their class.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Random number generator.

    Returns
    -------
    list of TrueJob
        The same jobs, some with a different arrival time.
    """
    moved = list(jobs)
    for _ in range(_BURST_COUNT):
        begins_at = EPOCH + random.uniform(0.1, 0.9) * span
        for is_large in (True, False):
            for index in _sample_indexes(moved, random, is_large=is_large):
                offset_s = random.uniform(0, _BURST_DURATION_S)
                moved[index] = _reschedule(
                    moved[index],
                    begins_at + timedelta(seconds=offset_s) - EPOCH,
                )
    return moved


def _sample_indexes(
    jobs: Sequence[TrueJob], random: Random, *, is_large: bool
) -> list[int]:
    indexes = [
        index
        for index, job in enumerate(jobs)
        if (job.spec.shape.accelerators >= _LARGE_GANG_ACCELERATORS) == is_large
    ]
    return random.sample(indexes, int(len(indexes) * _BURST_JOB_SHARE))


def _reschedule(job: TrueJob, offset: timedelta) -> TrueJob:
    submitted_at = EPOCH + offset
    deadline = job.spec.deadline
    if deadline is not None:
        deadline += submitted_at - job.submitted_at
    return replace(
        job,
        submitted_at=submitted_at,
        spec=replace(job.spec, deadline=deadline),
    )


def add_cancellations(
    jobs: Sequence[TrueJob], span: timedelta, random: Random
) -> list[TrueJob]:
    """Cancel many recently submitted jobs in a few short waves.

    Parameters
    ----------
    jobs : sequence of TrueJob
        Jobs with their arrival times.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Random number generator.

    Returns
    -------
    list of TrueJob
        The same jobs, some with a cancellation time.
    """
    cancelled = list(jobs)
    for _ in range(_CANCELLATION_WAVE_COUNT):
        wave_at = EPOCH + random.uniform(0.2, 0.9) * span
        for index, job in enumerate(cancelled):
            age = wave_at - job.submitted_at
            is_recent = timedelta() < age < _MAX_CANCELLED_JOB_AGE
            if is_recent and random.random() < _CANCELLED_SHARE:
                offset_s = random.uniform(0, _CANCELLATION_WAVE_DURATION_S)
                cancelled_at = wave_at + timedelta(seconds=offset_s)
                cancelled[index] = replace(job, cancelled_at=cancelled_at)
    return cancelled


def add_faults(
    sites: Sequence[Site], span: timedelta, random: Random
) -> tuple[Fault, ...]:
    """Return faults: lost workers, a lost rack and a worker failing all tasks.

    Parameters
    ----------
    sites : sequence of Site
        Data centres.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Random number generator.

    Returns
    -------
    tuple of Fault
        Faults in order of start; faults of one worker do not overlap.
    """
    workers = [worker for site in sites for worker in site.workers]
    random.shuffle(workers)
    failing, *rest = workers
    begins_at = EPOCH + random.uniform(0.1, 0.7) * span
    faults = [
        Fault(
            FaultKind.fails_everything,
            failing.worker_id,
            begins_at,
            begins_at + min(_MAX_FAILING_DURATION, span / 8),
        )
    ]
    faults.extend(_generate_rack_faults(rest[0].rack, sites, span, random))
    affected = {fault.worker_id for fault in faults}
    unaffected = [worker for worker in rest if worker.worker_id not in affected]
    for worker in unaffected[:_LOST_WORKER_COUNT]:
        begins_at = EPOCH + random.uniform(0.05, 0.9) * span
        outage = timedelta(
            minutes=random.uniform(*_WORKER_OUTAGE_RANGE_MINUTES)
        )
        faults.append(
            Fault(
                FaultKind.lost,
                worker.worker_id,
                begins_at,
                begins_at + outage,
            )
        )
    return tuple(sorted(faults, key=lambda fault: fault.begins_at))


def _generate_rack_faults(
    rack: str, sites: Sequence[Site], span: timedelta, random: Random
) -> Iterator[Fault]:
    begins_at = EPOCH + random.uniform(0.85, 0.95) * span
    for site in sites:
        for worker in site.workers:
            if worker.rack == rack:
                yield Fault(
                    FaultKind.lost,
                    worker.worker_id,
                    begins_at,
                    begins_at + _RACK_OUTAGE_DURATION,
                )
