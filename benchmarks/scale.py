"""Cost of the partition's decisions against the number of workers.

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
# 3 of 17 workers have one accelerator, the others two: 31,000 on 17,000.
CYCLE = 17
SINGLES_IN_CYCLE = 3
FREE_SHARE = 0.08
LARGE_GANG = 1024
QUEUE_LENGTH = 10_000
ROUNDS = 300
START = datetime(2026, 1, 1, tzinfo=UTC)
MILLION = 1_000_000
TEAMS = 82
GUARANTEES = tuple(
    Guarantee(f'team{team}', Shape(4, Proximity.rack)) for team in range(TEAMS)
)


@dataclass(frozen=True, slots=True)
class Row:
    """Costs at one size; times in microseconds unless named otherwise."""

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


class Site:
    """A partition under load, with guards that confirm at once."""

    def __init__(self, workers: int) -> None:
        """Create the workers and fill them with tasks."""
        self.random = Random(workers)
        self.workers = [_worker(number) for number in range(workers)]
        self.partition = Partition('scale')
        self.records: dict[str, Job] = {}
        self.members: dict[str, dict[str, tuple[int, Member]]] = {}
        self.now = START
        self._jobs = 0
        self.send(OwnershipGained(1, ()))
        self.send(GuaranteesChanged(GUARANTEES))
        for worker in self.workers:
            self.send(WorkerJoined(worker))
        self.now += timedelta(seconds=2)
        self.send(TimerFired())
        self.accelerators = sum(entry.accelerators for entry in self.workers)
        self.tasks = 0
        self._fill()

    def send(self, event: Event) -> tuple[Action, ...]:
        """Handle an event and keep the records that result."""
        actions = self.partition.handle(event, self.now)
        for action in actions:
            if isinstance(action, WriteJob):
                self.records[action.job.job_id] = action.job
        return actions

    def submit(self, shape: Shape, **changes: object) -> Job:
        """Return a new job, not submitted yet."""
        self._jobs += 1
        fields: dict[str, object] = {
            'workspace': f'team{self._jobs % TEAMS}',
            'kind': 'train',
            'cores_per_accelerator': 0.5,
            'memory_mb_per_accelerator': 512,
            **changes,
        }
        spec = JobSpec(shape=shape, **fields)  # type: ignore[arg-type]
        return Job(f'job{self._jobs}', spec, self.now)

    def confirm(self, actions: Iterable[Action]) -> None:
        """Answer all prepare orders as prepared and started."""
        orders = [
            entry for entry in actions if isinstance(entry, PrepareMember)
        ]
        for order in orders:
            key = (order.job_id, order.attempt, order.worker_id)
            held = self.members.setdefault(order.worker_id, {})
            held[order.job_id] = (order.attempt, order.member)
            self.send(MemberPrepared(*key))
        for order in orders:
            key = (order.job_id, order.attempt, order.worker_id)
            self.send(MemberStarted(*key))
        self.tasks += len(orders)

    def stop(self, job_id: str) -> None:
        """Confirm the stop of a gang."""
        job = self.records[job_id]
        for member in job.members:
            self.members.get(member.worker_id, {}).pop(job_id, None)
            self.send(MemberStopped(job_id, job.attempt, member.worker_id))

    def report(self, worker_id: str, fence: int) -> WorkerReported:
        """Return the report of a guard."""
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
            job = self.submit(Shape(size, Proximity.rack))
            self.confirm(self.send(JobSubmitted(job)))
            used += size
        while self.tasks < TASKS_PER_WORKER * len(self.workers):
            job = self.submit(Shape(0))
            self.confirm(self.send(JobSubmitted(job)))


def measure(workers: int) -> Row:
    """Return the costs at one size."""
    before_mb = _resident_mb()
    site = Site(workers)
    gc.collect()
    memory_mb = _resident_mb() - before_mb
    shapes = (
        Shape(2, Proximity.worker),
        Shape(4, Proximity.rack),
        Shape(8, Proximity.adjacent_racks),
    )
    place_us = [_time_placements(site, shape) for shape in shapes]
    large = min(LARGE_GANG, site.accelerators // 20)
    large_ms = _time_large_gang(site, large)
    cancel_running_us = _time_cancel_running(site)
    report_us = _time_reports(site)
    cancel_waiting_us = _time_cancel_waiting(site)
    reservation_ms = _time_reservation(site)
    return Row(
        workers,
        site.accelerators,
        site.tasks,
        *place_us,
        large,
        large_ms,
        cancel_running_us,
        cancel_waiting_us,
        report_us,
        reservation_ms,
        _time_takeover(site),
        memory_mb,
    )


def _time_placements(site: Site, shape: Shape) -> float:
    """Time submissions that are placed at once, each undone afterwards."""
    times = []
    for _ in range(ROUNDS):
        job = site.submit(shape)
        start = time.perf_counter()
        site.send(JobSubmitted(job))
        times.append(time.perf_counter() - start)
        if site.records[job.job_id].attempt:
            site.send(JobCancelled(job.job_id))
            site.stop(job.job_id)
        else:
            site.send(JobCancelled(job.job_id))
    return median(times) * MILLION


def _time_large_gang(site: Site, size: int) -> float:
    """Time the decision on a large gang over adjacent racks."""
    times = []
    for _ in range(5):
        job = site.submit(Shape(size, Proximity.adjacent_racks))
        start = time.perf_counter()
        site.send(JobSubmitted(job))
        times.append(time.perf_counter() - start)
        if not site.records[job.job_id].attempt:
            raise ValueError(f'gang of {size!r} was not placed')
        site.send(JobCancelled(job.job_id))
        site.stop(job.job_id)
    return median(times) * 1000


def _time_cancel_running(site: Site) -> float:
    times = []
    running = [
        job.job_id
        for job in site.records.values()
        if job.members and not job.state.is_final
    ]
    for job_id in site.random.sample(running, min(200, len(running) // 4)):
        start = time.perf_counter()
        site.send(JobCancelled(job_id))
        times.append(time.perf_counter() - start)
        site.stop(job_id)
    return median(times) * MILLION


def _time_reports(site: Site) -> float:
    chosen = site.random.sample(site.workers, min(1000, len(site.workers)))
    reports = [site.report(worker.worker_id, 1) for worker in chosen]
    start = time.perf_counter()
    for report in reports:
        site.send(report)
    return (time.perf_counter() - start) / len(reports) * MILLION


def _time_cancel_waiting(site: Site) -> float:
    """Time cancellations beside a long queue."""
    size = min(LARGE_GANG, site.accelerators // 8)
    large = Shape(size, Proximity.adjacent_racks)
    while True:
        first = site.submit(large)
        site.send(JobSubmitted(first))
        if not site.records[first.job_id].attempt:
            break
    waiting = [site.submit(large) for _ in range(QUEUE_LENGTH)]
    for job in waiting:
        site.send(JobSubmitted(job))
    chosen = site.random.sample(waiting, 200)
    start = time.perf_counter()
    for job in chosen:
        site.send(JobCancelled(job.job_id))
    per_job = (time.perf_counter() - start) / len(chosen)
    for job in waiting[1:]:
        site.send(JobCancelled(job.job_id))
    return per_job * MILLION


def _time_reservation(site: Site) -> float:
    """Time the search for a reservation, once per waiting job."""
    site.now += timedelta(seconds=61)
    start = time.perf_counter()
    site.send(site.report(site.workers[0].worker_id, 1))
    return (time.perf_counter() - start) * 1000


def _time_takeover(site: Site) -> float:
    """Time the rebuild from all records and the reports of all guards."""
    jobs = tuple(job for job in site.records.values() if not job.state.is_final)
    reports = [site.report(worker.worker_id, 2) for worker in site.workers]
    heir = Partition('scale')
    joined: list[Event] = [
        GuaranteesChanged(GUARANTEES),
        *(WorkerJoined(worker) for worker in site.workers),
    ]
    start = time.perf_counter()
    for event in (*joined, OwnershipGained(2, jobs), *reports):
        heir.handle(event, site.now)
    return time.perf_counter() - start


def _worker(number: int) -> Worker:
    rack = number // WORKERS_PER_RACK
    accelerators = 1 if number % CYCLE < SINGLES_IN_CYCLE else 2
    return Worker(f'w{number}', f'r{rack}', rack, accelerators, 32, 64 * 1024)


def _resident_mb() -> float:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MILLION


def main(arguments: list[str] | None = None) -> int:
    """Measure all sizes and print a table or JSON."""
    parser = argparse.ArgumentParser(prog='benchmarks.scale')
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--sizes', type=int, nargs='*', default=SIZES)
    options = parser.parse_args(arguments)
    rows = [measure(size) for size in options.sizes]
    if options.json:
        print(json.dumps([asdict(row) for row in rows], indent=2))
        return 0
    show: Callable[[float], str] = '{:,.1f}'.format
    for name in Row.__dataclass_fields__:
        cells = ' '.join(f'{show(getattr(row, name)):>12}' for row in rows)
        print(f'{name:20}{cells}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
