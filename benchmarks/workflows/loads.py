"""Seeded arrivals of jobs, by load pattern."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

import msgspec

from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

__all__ = (
    'DEPLOYMENT',
    'LOADS',
    'Arrival',
    'Departures',
    'JobClass',
    'LoadPattern',
    'SlowWorkers',
    'generate_arrivals',
    'rack_names',
)

_SERVICE = 'planner'
_MS_PER_S = 1000
_RACK_PREFIX = 'rack-'
# Accelerators that a task of a gang asks for; larger ones are more frequent.
_GANG_ACCELERATORS = (1, 2, 4, 8, 8)


@dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs of one queue.

    Parameters
    ----------
    queue : str
        Queue of the jobs.
    value, late_value : float
        What a job of mean work is worth when it completes within its
        objective, and when it completes later but is still useful.
    mean_width : float
        Mean number of tasks.
    cores : float
        Cores for each task.
    work_ms : float
        Mean run time of a task.
    is_gang : bool
        Whether the tasks are a gang.
    estimate_error : float
        Largest relative error of the caller's estimate of the run time.
    checkpoint_share : float
        Share of the jobs that can resume from a checkpoint.
    steps : int
        Number of equal steps that follow one another.
    """

    queue: str
    value: float
    late_value: float
    mean_width: float
    cores: float
    work_ms: float
    is_gang: bool
    estimate_error: float
    checkpoint_share: float
    steps: int = 1


@dataclass(frozen=True, slots=True)
class Departures:
    """Workers that leave and are replaced by a new incarnation.

    Parameters
    ----------
    share : float
        Share of the workers that leave.
    start_ms, interval_ms : int
        Time of the first notice, and between two notices.
    notice_ms : int
        Notice that the workers announce.
    extended_stay_ms : int
        Longest time for which a worker stays after its notice.
    absence_ms : int
        Time until the replacement is present.
    """

    share: float
    start_ms: int
    interval_ms: int
    notice_ms: int
    extended_stay_ms: int
    absence_ms: int


@dataclass(frozen=True, slots=True)
class SlowWorkers:
    """Workers that become slow at the same time.

    Parameters
    ----------
    share : float
        Share of the workers.
    factor : float
        How many times longer runs take there.
    start_ms, duration_ms : int
        Time at which they become slow, and for how long.
    """

    share: float
    factor: float
    start_ms: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """A fleet of equal workers and the jobs that arrive at it.

    Parameters
    ----------
    workers : int
        Number of workers with eight accelerators each.
    worker_cores : float
        Cores of each worker.
    rack_size : int
        Workers of one rack.
    rates : dict of str to float
        Jobs a second, by queue.
    burst_queue : str
        Queue whose rate is multiplied during the burst, or ``''``.
    burst_factor : float
        Factor of the burst.
    departures : Departures or None
        Workers that leave, if any.
    slow_workers : SlowWorkers or None
        Workers that become slow, if any.
    """

    classes: tuple[JobClass, ...]
    workers: int
    worker_cores: float
    rack_size: int
    rates: dict[str, float]
    burst_queue: str = ''
    burst_factor: float = 1
    departures: Departures | None = None
    slow_workers: SlowWorkers | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, with what only the simulated workers know.

    Parameters
    ----------
    at_ms : int
        Time of the submission.
    run_ms : int
        Run time of each task on a sound worker.
    path_ms : int
        Run time of all steps, one after another.
    value, late_value : float
        What the job is worth on time, and late.
    """

    at_ms: int
    job_id: str
    spec: JobSpec
    run_ms: int
    path_ms: int
    value: float
    late_value: float


DEPLOYMENT = Deployment(
    1,
    queues={
        'urgent': Queue(
            'urgent', 'h', '/u/', _SERVICE, 0, 2, 1.5, target_latency_ms=250
        ),
        'normal': Queue(
            'normal', 'h', '/n/', _SERVICE, 1, 2, 3, target_latency_ms=1000
        ),
        'batch': Queue(
            'batch', 'h', '/b/', _SERVICE, 2, 4, 3, target_latency_ms=3000
        ),
    },
    workspaces={
        f'team-{number}': Workspace(f'team-{number}') for number in range(4)
    },
)

_NARROW = (
    JobClass('urgent', 4, 0.8, 3.4, 3.7, 5000, True, 0.2, 0),
    JobClass('normal', 3, 0.9, 1.5, 13, 17_000, True, 0.9, 0.45),
    JobClass('batch', 1, 0.3, 9, 2.8, 15_000, False, 0.9, 0.45),
)
_WIDE = (
    JobClass('urgent', 4, 0.8, 5, 15, 5000, True, 0.2, 0),
    JobClass('normal', 3, 0.9, 13, 52, 17_000, True, 0.9, 0.45),
    JobClass('batch', 1, 0.3, 38, 11, 12_000, False, 0.9, 0.45),
)
# Jobs of two steps, of which the second waits for each task of the first.
_TWO_STEPS = tuple(
    replace(job_class, is_gang=False, steps=2) for job_class in _NARROW
)
# Gangs that need most of a few workers, beside small deferrable tasks.
_WIDE_ON_FEW_WORKERS = (
    JobClass('normal', 3, 0.9, 9, 30, 8_000, True, 0.9, 0.45),
    JobClass('batch', 1, 0.3, 9, 2.8, 15_000, False, 0.9, 0.45),
)

LOADS = {
    # Few workers, a burst of urgent gangs.
    'urgent burst': LoadPattern(
        _NARROW,
        11,
        32,
        3,
        {'urgent': 0.2, 'normal': 0.2, 'batch': 0.1},
        'urgent',
        2.5,
    ),
    # More work than the workers can do for the whole time.
    'overload': LoadPattern(
        _NARROW, 11, 32, 3, {'urgent': 0.5, 'normal': 0.3, 'batch': 0.15}
    ),
    # Wide gangs fragment the free accelerators.
    'wide gangs': LoadPattern(
        _WIDE, 40, 128, 8, {'urgent': 0.6, 'normal': 0.12, 'batch': 0.15}
    ),
    # Wide gangs, and a burst of batch jobs that occupy every accelerator.
    'batch burst': LoadPattern(
        _WIDE,
        40,
        128,
        8,
        {'urgent': 0.6, 'normal': 0.08, 'batch': 0.15},
        'batch',
        3,
    ),
    # Urgent gangs alone ask for more accelerators than there are.
    'urgent overload': LoadPattern(
        _WIDE, 15, 128, 16, {'urgent': 1.2, 'normal': 0.1, 'batch': 0.1}
    ),
    # A quarter of the workers is withdrawn at once.
    'departures': LoadPattern(
        _WIDE,
        40,
        128,
        8,
        {'urgent': 0.4, 'normal': 0.1, 'batch': 0.12},
        departures=Departures(0.25, 15_000, 0, 5_500, 0, 20_000),
    ),
    # All workers are replaced one after another.
    'rolling release': LoadPattern(
        _WIDE,
        40,
        128,
        8,
        {'urgent': 0.4, 'normal': 0.1, 'batch': 0.12},
        departures=Departures(1, 3_000, 1_200, 3_000, 8_000, 1_000),
    ),
    # Gangs that need most workers wait for late runs and reserve what is free.
    'idle reservations': LoadPattern(
        _WIDE_ON_FEW_WORKERS, 11, 32, 3, {'normal': 0.1, 'batch': 0.3}
    ),
    # All workers lose their runs at once, in the middle of the load.
    'all workers lost': LoadPattern(
        _TWO_STEPS,
        11,
        32,
        3,
        {'urgent': 0.25, 'normal': 0.35, 'batch': 0.25},
        departures=Departures(1, 25_000, 0, 0, 0, 1_500),
    ),
    # A third of the workers is ten times slower, for a short time.
    'slow for 6 s': LoadPattern(
        _TWO_STEPS,
        11,
        32,
        3,
        {'urgent': 0.15, 'normal': 0.1, 'batch': 0.05},
        slow_workers=SlowWorkers(0.3, 10, 20_000, 6_000),
    ),
    # The same, and the workers stay slow.
    'slow to the end': LoadPattern(
        _TWO_STEPS,
        11,
        32,
        3,
        {'urgent': 0.15, 'normal': 0.1, 'batch': 0.05},
        slow_workers=SlowWorkers(0.3, 10, 20_000, 60_000),
    ),
}

_ARRIVALS_START_MS = 0
_ARRIVALS_END_MS = 45_000
_BURST_START_MS = 5_000
_BURST_END_MS = 12_000
# Shares of the gangs that want one rack, and of other jobs with a data rack.
_ONE_RACK_SHARE = 0.7
_DATA_RACK_SHARE = 0.12


def generate_arrivals(load: LoadPattern, seed: int) -> list[Arrival]:
    """Return the jobs of one replay in the order of their times."""
    random = Random(seed)
    arrivals = []
    for job_class in load.classes:
        at_ms = float(_ARRIVALS_START_MS)
        while True:
            rate = load.rates[job_class.queue]
            is_burst = _BURST_START_MS <= at_ms < _BURST_END_MS
            if is_burst and job_class.queue == load.burst_queue:
                rate *= load.burst_factor
            at_ms += random.expovariate(rate) * _MS_PER_S
            if at_ms > _ARRIVALS_END_MS:
                break
            arrivals.append(_arrival(load, job_class, int(at_ms), random))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _arrival(
    load: LoadPattern, job_class: JobClass, at_ms: int, random: Random
) -> Arrival:
    width = min(
        1 + int(random.expovariate(1 / max(0.01, job_class.mean_width - 0.5))),
        int(job_class.mean_width * 5),
        load.workers if job_class.is_gang else load.workers * 8,
    )
    run_ms = job_class.work_ms * random.lognormvariate(0, 0.3)
    error = random.uniform(-job_class.estimate_error, job_class.estimate_error)
    step = StepSpec(
        count=width,
        millicores=int(job_class.cores * _MS_PER_S),
        memory_mb=1000,
        accelerators=(
            random.choice(_GANG_ACCELERATORS) if job_class.is_gang else 1
        ),
        estimated_ms=int(run_ms * (1 + error)),
        is_gang=job_class.is_gang,
        wants_one_rack=job_class.is_gang and random.random() < _ONE_RACK_SHARE,
        has_checkpoints=random.random() < job_class.checkpoint_share,
        data_rack=_data_rack(load, job_class, random),
    )
    relative_work = (width * run_ms) / (
        job_class.mean_width * job_class.work_ms
    )
    scale = min(4, 0.3 + 0.7 * relative_work)
    return Arrival(
        at_ms,
        f'{random.getrandbits(64):016x}',
        JobSpec(
            job_class.queue,
            f'team-{random.randrange(4)}',
            _SERVICE,
            'text',
            (
                step,
                *(
                    msgspec.structs.replace(step, after=(number - 1,))
                    for number in range(1, job_class.steps)
                ),
            ),
            accepted_ms=at_ms,
        ),
        int(run_ms),
        int(run_ms) * job_class.steps,
        job_class.value * scale,
        job_class.late_value * scale,
    )


def _data_rack(load: LoadPattern, job_class: JobClass, random: Random) -> str:
    if job_class.is_gang or random.random() > _DATA_RACK_SHARE:
        return ''
    return (
        f'{_RACK_PREFIX}{random.randrange(-(-load.workers // load.rack_size))}'
    )


def rack_names(load: LoadPattern) -> Sequence[str]:
    """Return the rack of each worker."""
    return [
        f'{_RACK_PREFIX}{number // load.rack_size}'
        for number in range(load.workers)
    ]
