"""Bursts, waves of cancellations and faults of workers."""

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

_BURSTS: Final = 2
_BURST_WIDTH_S: Final = 120
_BURST_SHARE: Final = 0.02
_LARGE_GANG: Final = 16

_CANCELLATION_WAVES: Final = 2
_CANCELLED_SHARE: Final = 0.4
_CANCELLATION_REACH: Final = timedelta(hours=1)
_CANCELLATION_WIDTH_S: Final = 60

_WORKERS_LOST: Final = 3
_OUTAGE_MINUTES: Final = (3, 20)
_RACK_OUTAGE: Final = timedelta(minutes=25)
_FAILING_PERIOD: Final = timedelta(hours=2)


def add_bursts(
    jobs: Sequence[TrueJob], span: timedelta, random: Random
) -> list[TrueJob]:
    """Move small and large jobs together into a few short bursts.

    Parameters
    ----------
    jobs : sequence of TrueJob
        Jobs with the arrivals of their class.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Source of the choice.

    Returns
    -------
    list of TrueJob
        The same jobs, some with another arrival.
    """
    moved = list(jobs)
    for _ in range(_BURSTS):
        begins_at = EPOCH + random.uniform(0.1, 0.9) * span
        for is_large in (True, False):
            for index in _pick(moved, random, is_large=is_large):
                offset_s = random.uniform(0, _BURST_WIDTH_S)
                moved[index] = _move(
                    moved[index],
                    begins_at + timedelta(seconds=offset_s) - EPOCH,
                )
    return moved


def _pick(
    jobs: Sequence[TrueJob], random: Random, *, is_large: bool
) -> list[int]:
    indexes = [
        index
        for index, job in enumerate(jobs)
        if (job.spec.shape.accelerators >= _LARGE_GANG) == is_large
    ]
    return random.sample(indexes, int(len(indexes) * _BURST_SHARE))


def _move(job: TrueJob, offset: timedelta) -> TrueJob:
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
    """Cancel many recent jobs at once, a few times.

    Parameters
    ----------
    jobs : sequence of TrueJob
        Jobs with their arrivals.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Source of the choice.

    Returns
    -------
    list of TrueJob
        The same jobs, some with a cancellation time.
    """
    cancelled = list(jobs)
    for _ in range(_CANCELLATION_WAVES):
        wave_at = EPOCH + random.uniform(0.2, 0.9) * span
        for index, job in enumerate(cancelled):
            age = wave_at - job.submitted_at
            is_recent = timedelta() < age < _CANCELLATION_REACH
            if is_recent and random.random() < _CANCELLED_SHARE:
                offset_s = random.uniform(0, _CANCELLATION_WIDTH_S)
                cancelled_at = wave_at + timedelta(seconds=offset_s)
                cancelled[index] = replace(job, cancelled_at=cancelled_at)
    return cancelled


def add_faults(
    sites: Sequence[Site], span: timedelta, random: Random
) -> tuple[Fault, ...]:
    """Return lost workers, a lost rack and a worker that fails everything.

    Parameters
    ----------
    sites : sequence of Site
        Data centres.
    span : timedelta
        Time during which jobs arrive.
    random : Random
        Source of the choice.

    Returns
    -------
    tuple of Fault
        Faults that do not overlap on one worker.
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
            begins_at + min(_FAILING_PERIOD, span / 8),
        )
    ]
    faults.extend(_lose_rack(rest[0].rack, sites, span, random))
    used = {fault.worker_id for fault in faults}
    alone = [worker for worker in rest if worker.worker_id not in used]
    for worker in alone[:_WORKERS_LOST]:
        begins_at = EPOCH + random.uniform(0.05, 0.9) * span
        outage = timedelta(minutes=random.uniform(*_OUTAGE_MINUTES))
        faults.append(
            Fault(
                FaultKind.lost,
                worker.worker_id,
                begins_at,
                begins_at + outage,
            )
        )
    return tuple(sorted(faults, key=lambda fault: fault.begins_at))


def _lose_rack(
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
                    begins_at + _RACK_OUTAGE,
                )
