"""Cost of the decisions of a partition for several numbers of workers.

Run with ``python -m benchmarks.scale [--json]``. At the largest size there
are 17,000 workers with 31,000 accelerators and 51,000 running tasks. Compare
the ratios within one run; absolute times depend on the machine.
"""

import argparse
import gc
import json
import os
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from statistics import median

from dragonflynotch.core.actions import Action, PrepareMember, WriteJob
from dragonflynotch.core.events import (
    Event,
    Guarantee,
    GuaranteesChanged,
    JobCancelled,
    JobSubmitted,
    MemberPrepared,
    MemberReport,
    MemberStarted,
    MemberState,
    MemberStopped,
    OwnershipGained,
    TimerFired,
    WorkerJoined,
    WorkerReported,
)
from dragonflynotch.core.jobs import Job, JobSpec, Member
from dragonflynotch.core.partition import Partition
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker

__all__ = ('main',)

SIZES = (11, 170, 1_700, 17_000)
TASKS_PER_WORKER = 3
WORKERS_PER_RACK = 3
# 3 of 17 workers have one accelerator, the others two: 17,000 workers have
# 31,000 accelerators.
WORKER_CYCLE = 17
SINGLE_ACCELERATOR_WORKERS = 3
FREE_SHARE = 0.08
LARGE_GANG = 1024
QUEUE_LENGTH = 10_000
ROUNDS = 300
START = datetime(2026, 1, 1, tzinfo=UTC)
MILLION = 1_000_000
WORKSPACES = 82
GUARANTEES = tuple(
    Guarantee(f'team{team}', Shape(4, Proximity.rack))
    for team in range(WORKSPACES)
)


@dataclass(frozen=True, slots=True)
class SizeCosts:
    """Costs for one number of workers; the suffix of a field is its unit."""

    workers: int
    accelerators: int
    tasks: int
    place_worker_us: float
    place_rack_us: float
    place_adjacent_us: float
    large_gang: int
    large_gang_ms: float
    cancel_running_us: float
    cancel_waiting_us: float
    report_us: float
    reservation_ms: float
    takeover_s: float
    memory_mb: float


class LoadedPartition:
    """A partition under load; its guards answer all orders immediately."""

    def __init__(self, workers: int) -> None:
        """Create the workers and start tasks on them."""
        self.random = Random(workers)
        self.workers = [_worker(number) for number in range(workers)]
        self.partition = Partition('scale')
        self.records: dict[str, Job] = {}
        self.members: dict[str, dict[str, tuple[int, Member]]] = {}
        self.now = START
        self._jobs = 0
        self.handle(OwnershipGained(1, ()))
        self.handle(GuaranteesChanged(GUARANTEES))
        for worker in self.workers:
            self.handle(WorkerJoined(worker))
        self.now += timedelta(seconds=2)
        self.handle(TimerFired())
        self.accelerators = sum(each.accelerators for each in self.workers)
        self.tasks = 0
        self._fill()

    def handle(self, event: Event) -> tuple[Action, ...]:
        """Handle an event and store the job records that it changes."""
        actions = self.partition.handle(event, self.now)
        for action in actions:
            if isinstance(action, WriteJob):
                self.records[action.job.job_id] = action.job
        return actions

    def create_job(self, shape: Shape, **changes: object) -> Job:
        """Return a new job without submitting it."""
        self._jobs += 1
        fields: dict[str, object] = {
            'workspace': f'team{self._jobs % WORKSPACES}',
            'kind': 'train',
            'cores_per_accelerator': 0.5,
            'memory_mb_per_accelerator': 512,
            **changes,
        }
        spec = JobSpec(shape=shape, **fields)  # type: ignore[arg-type]
        return Job(f'job{self._jobs}', spec, self.now)

    def confirm_orders(self, actions: Iterable[Action]) -> None:
        """Report the members of all prepare orders as prepared and started."""
        orders = [
            action for action in actions if isinstance(action, PrepareMember)
        ]
        for order in orders:
            member_key = (order.job_id, order.attempt, order.worker_id)
            worker_members = self.members.setdefault(order.worker_id, {})
            worker_members[order.job_id] = (order.attempt, order.member)
            self.handle(MemberPrepared(*member_key))
        for order in orders:
            member_key = (order.job_id, order.attempt, order.worker_id)
            self.handle(MemberStarted(*member_key))
        self.tasks += len(orders)

    def confirm_stop(self, job_id: str) -> None:
        """Report all members of a job as stopped."""
        job = self.records[job_id]
        for member in job.members:
            self.members.get(member.worker_id, {}).pop(job_id, None)
            self.handle(MemberStopped(job_id, job.attempt, member.worker_id))

    def report(self, worker_id: str, fence: int) -> WorkerReported:
        """Return the report of the guard of a worker."""
        return WorkerReported(
            worker_id,
            tuple(
                MemberReport(
                    job_id, attempt, MemberState.running, member.accelerators
                )
                for job_id, (attempt, member) in self.members.get(
                    worker_id, {}
                ).items()
            ),
            fence,
        )

    def _fill(self) -> None:
        used = 0
        limit = min(
            self.accelerators * (1 - FREE_SHARE), self.accelerators - 10
        )
        while used < limit:
            size = self.random.choice((1, 1, 2, 2, 4))
            job = self.create_job(Shape(size, Proximity.rack))
            self.confirm_orders(self.handle(JobSubmitted(job)))
            used += size
        while self.tasks < TASKS_PER_WORKER * len(self.workers):
            job = self.create_job(Shape(0))
            self.confirm_orders(self.handle(JobSubmitted(job)))


def measure(workers: int) -> SizeCosts:
    """Return the costs for a number of workers."""
    before_mb = _resident_mb()
    loaded = LoadedPartition(workers)
    gc.collect()
    memory_mb = _resident_mb() - before_mb
    shapes = (
        Shape(2, Proximity.worker),
        Shape(4, Proximity.rack),
        Shape(8, Proximity.adjacent_racks),
    )
    place_us = [_time_placements(loaded, shape) for shape in shapes]
    large_gang_size = min(LARGE_GANG, loaded.accelerators // 20)
    large_ms = _time_large_gang(loaded, large_gang_size)
    cancel_running_us = _time_cancel_running(loaded)
    report_us = _time_reports(loaded)
    cancel_waiting_us = _time_cancel_waiting(loaded)
    reservation_ms = _time_reservation(loaded)
    return SizeCosts(
        workers,
        loaded.accelerators,
        loaded.tasks,
        *place_us,
        large_gang_size,
        large_ms,
        cancel_running_us,
        cancel_waiting_us,
        report_us,
        reservation_ms,
        _time_takeover(loaded),
        memory_mb,
    )


def _time_placements(loaded: LoadedPartition, shape: Shape) -> float:
    """Time submissions; each job is cancelled again afterwards."""
    times = []
    for _ in range(ROUNDS):
        job = loaded.create_job(shape)
        start = time.perf_counter()
        loaded.handle(JobSubmitted(job))
        times.append(time.perf_counter() - start)
        if loaded.records[job.job_id].attempt:
            loaded.handle(JobCancelled(job.job_id))
            loaded.confirm_stop(job.job_id)
        else:
            loaded.handle(JobCancelled(job.job_id))
    return median(times) * MILLION


def _time_large_gang(loaded: LoadedPartition, size: int) -> float:
    """Time the placement of a large gang on adjacent racks."""
    times = []
    for _ in range(5):
        job = loaded.create_job(Shape(size, Proximity.adjacent_racks))
        start = time.perf_counter()
        loaded.handle(JobSubmitted(job))
        times.append(time.perf_counter() - start)
        if not loaded.records[job.job_id].attempt:
            raise ValueError(f'gang with {size!r} accelerators was not placed')
        loaded.handle(JobCancelled(job.job_id))
        loaded.confirm_stop(job.job_id)
    return median(times) * 1000


def _time_cancel_running(loaded: LoadedPartition) -> float:
    times = []
    running = [
        job.job_id
        for job in loaded.records.values()
        if job.members and not job.state.is_final
    ]
    for job_id in loaded.random.sample(running, min(200, len(running) // 4)):
        start = time.perf_counter()
        loaded.handle(JobCancelled(job_id))
        times.append(time.perf_counter() - start)
        loaded.confirm_stop(job_id)
    return median(times) * MILLION


def _time_reports(loaded: LoadedPartition) -> float:
    sampled = loaded.random.sample(
        loaded.workers, min(1000, len(loaded.workers))
    )
    reports = [loaded.report(worker.worker_id, 1) for worker in sampled]
    start = time.perf_counter()
    for report in reports:
        loaded.handle(report)
    return (time.perf_counter() - start) / len(reports) * MILLION


def _time_cancel_waiting(loaded: LoadedPartition) -> float:
    """Time cancellations of waiting jobs in a long queue."""
    size = min(LARGE_GANG, loaded.accelerators // 8)
    large_shape = Shape(size, Proximity.adjacent_racks)
    while True:
        gang = loaded.create_job(large_shape)
        loaded.handle(JobSubmitted(gang))
        if not loaded.records[gang.job_id].attempt:
            break
    waiting = [loaded.create_job(large_shape) for _ in range(QUEUE_LENGTH)]
    for job in waiting:
        loaded.handle(JobSubmitted(job))
    sampled = loaded.random.sample(waiting, 200)
    start = time.perf_counter()
    for job in sampled:
        loaded.handle(JobCancelled(job.job_id))
    per_job_s = (time.perf_counter() - start) / len(sampled)
    for job in waiting[1:]:
        loaded.handle(JobCancelled(job.job_id))
    return per_job_s * MILLION


def _time_reservation(loaded: LoadedPartition) -> float:
    """Time the search for a reservation, once per waiting job."""
    loaded.now += timedelta(seconds=61)
    start = time.perf_counter()
    loaded.handle(loaded.report(loaded.workers[0].worker_id, 1))
    return (time.perf_counter() - start) * 1000


def _time_takeover(loaded: LoadedPartition) -> float:
    """Time the rebuild of the state from all records and all guard reports."""
    jobs = tuple(
        job for job in loaded.records.values() if not job.state.is_final
    )
    reports = [loaded.report(worker.worker_id, 2) for worker in loaded.workers]
    successor = Partition('scale')
    setup_events: list[Event] = [
        GuaranteesChanged(GUARANTEES),
        *(WorkerJoined(worker) for worker in loaded.workers),
    ]
    start = time.perf_counter()
    for event in (*setup_events, OwnershipGained(2, jobs), *reports):
        successor.handle(event, loaded.now)
    return time.perf_counter() - start


def _worker(number: int) -> Worker:
    rack = number // WORKERS_PER_RACK
    accelerators = (
        1 if number % WORKER_CYCLE < SINGLE_ACCELERATOR_WORKERS else 2
    )
    return Worker(f'w{number}', f'r{rack}', rack, accelerators, 32, 64 * 1024)


def _resident_mb() -> float:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MILLION


def main(arguments: list[str] | None = None) -> int:
    """Measure all numbers of workers and print a table or JSON."""
    parser = argparse.ArgumentParser(prog='benchmarks.scale')
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--sizes', type=int, nargs='*', default=SIZES)
    options = parser.parse_args(arguments)
    costs = [measure(size) for size in options.sizes]
    if options.json:
        print(json.dumps([asdict(cost) for cost in costs], indent=2))
        return 0
    format_cell: Callable[[float], str] = '{:,.1f}'.format
    for name in SizeCosts.__dataclass_fields__:
        cells = ' '.join(
            f'{format_cell(getattr(cost, name)):>12}' for cost in costs
        )
        print(f'{name:20}{cells}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
