"""Seeded arrivals of jobs, by load pattern."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from random import Random

import msgspec

from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

__all__ = (
    'DEPLOYMENT',
    'LOADS',
    'Arrival',
    'Flood',
    'JobClass',
    'LoadPattern',
    'generate_arrivals',
    'rack_names',
)

_SERVICE = 'planner'
_MS_PER_S = 1000
_RACK_PREFIX = 'rack-'
# Accelerators that a task of a gang asks for; larger ones are more frequent.
_GANG_ACCELERATORS = (1, 2, 4, 8, 8)
# Guaranteed accelerators of ten workspaces, two of which are large.
_COMPETING_GUARANTEES = {
    'large-0': 24,
    'large-1': 16,
    **{f'small-{number}': 8 if number < 4 else 0 for number in range(8)},
}


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


@dataclass(frozen=True, slots=True)
class Flood:
    """Small jobs that one workspace submits in addition to its others.

    Parameters
    ----------
    rate : float
        Jobs a second of each class.
    start_ms, end_ms : int
        Time of the first and of the last submission.
    """

    workspace: str
    classes: tuple[JobClass, ...]
    rate: float
    start_ms: int
    end_ms: int


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
    workspaces : tuple of str
        Workspace of a job; one that is listed more often has more jobs.
    flood : Flood or None
        Jobs with which one workspace floods the queues.
    """

    classes: tuple[JobClass, ...]
    workers: int
    worker_cores: float
    rack_size: int
    rates: dict[str, float]
    burst_queue: str = ''
    burst_factor: float = 1
    workspaces: tuple[str, ...] = tuple(f'team-{one}' for one in range(4))
    flood: Flood | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, with what only the simulated workers know.

    Parameters
    ----------
    at_ms : int
        Time of the submission.
    run_ms : int
        Run time of each task on a sound worker.
    value, late_value : float
        What the job is worth on time, and late.
    """

    at_ms: int
    job_id: str
    spec: JobSpec
    run_ms: int
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
        name: Workspace(name, guaranteed_accelerators=guaranteed)
        for name, guaranteed in (
            *((f'team-{number}', 0) for number in range(4)),
            *_COMPETING_GUARANTEES.items(),
        )
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
_COMPETING = (
    JobClass('urgent', 4, 0.8, 3, 3, 4000, True, 0.2, 0),
    JobClass('normal', 3, 0.9, 4, 3, 8000, True, 0.9, 0.45),
    JobClass('batch', 1, 0.3, 12, 2, 8000, False, 0.9, 0.45),
)
_SMALL = (
    JobClass('urgent', 1, 0.2, 1, 2, 4000, True, 0.2, 0),
    JobClass('normal', 1, 0.3, 1, 2, 4000, True, 0.9, 0.45),
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
    # Ten workspaces of uneven demand; a small one floods two queues.
    'competing': LoadPattern(
        _COMPETING,
        24,
        32,
        8,
        {'urgent': 1, 'normal': 0.6, 'batch': 0.3},
        workspaces=(
            *('large-0',) * 6,
            *('large-1',) * 4,
            *(f'small-{number // 2}' for number in range(16)),
        ),
        flood=Flood('small-7', _SMALL, 6, 8_000, 20_000),
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
    if load.flood is not None:
        arrivals.extend(_flood_arrivals(load, load.flood, random))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _flood_arrivals(
    load: LoadPattern, flood: Flood, random: Random
) -> Iterator[Arrival]:
    for job_class in flood.classes:
        at_ms = float(flood.start_ms)
        while True:
            at_ms += random.expovariate(flood.rate) * _MS_PER_S
            if at_ms > flood.end_ms:
                break
            arrival = _arrival(load, job_class, int(at_ms), random)
            yield replace(
                arrival,
                spec=msgspec.structs.replace(
                    arrival.spec, workspace=flood.workspace
                ),
            )


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
            random.choice(load.workspaces),
            _SERVICE,
            'text',
            (step,),
            accepted_ms=at_ms,
        ),
        int(run_ms),
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
