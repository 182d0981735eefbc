"""Choice of workers for the tasks of a step."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import repeat

from dragonflynotch.workflows.progress import Step, Task
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.workers import Worker

__all__ = (
    'Demand',
    'Reservation',
    'StepRoom',
    'WorkerPool',
    'fit_gang',
    'fits_one_rack',
    'place_gang',
    'place_task',
)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Resources reserved for a step that cannot start yet.

    Parameters
    ----------
    start_ms : int
        Expected start of the step. Until then, runs that end earlier may
        use the resources.
    resources : mapping
        Reserved resources by minion.
    """

    start_ms: int
    resources: Mapping[str, Resources]


@dataclass(slots=True)
class Demand:
    """Placement requirements of a step.

    Parameters
    ----------
    expected_ms : int
        Estimated run time of a task.
    may_leave_data_rack : bool
        Whether the tasks may run on other racks than that of their data.
    may_span_racks : bool
        Whether the gang may be spread over racks.
    """

    step: Step
    service: str
    expected_ms: int
    may_leave_data_rack: bool = False
    may_span_racks: bool = False


@dataclass(frozen=True, slots=True)
class StepRoom:
    """How many tasks of a step fit on its candidate workers.

    Parameters
    ----------
    workers : int
        Number of candidates.
    fit_total : int
        Tasks that would fit if the candidates were empty.
    fit_free : int
        Tasks that fit into the free resources, reserved ones included.
    fit_unreserved : int
        Tasks that fit into the resources that the step may use.
    oldest_report_ms : int
        Age of the oldest report that this is based on.
    """

    workers: int
    fit_total: int
    fit_free: int
    fit_unreserved: int
    oldest_report_ms: int


@dataclass(slots=True)
class WorkerPool:
    """Workers that may get new runs, with their free resources.

    Built anew for each round of decisions and updated as tasks are placed.

    Parameters
    ----------
    workers : dict
        Workers by minion.
    free : dict
        Resources by minion that no order holds; reservations are not
        subtracted. Also holds minions that are excluded from ``workers``.
    now_ms : int
        Store time of the round.
    failed_job_counts : mapping
        Recently failed jobs by minion; a lower count is preferred.
    reservations : list of Reservation
        Resources kept for steps that come earlier in the round.
    """

    workers: dict[str, Worker]
    free: dict[str, Resources]
    now_ms: int
    failed_job_counts: Mapping[str, int] = field(default_factory=dict)
    reservations: list[Reservation] = field(default_factory=list)

    def candidates(self, demand: Demand) -> list[Worker]:
        """Return the workers that the tasks of the step may run on."""
        spec = demand.step.spec
        return [
            worker
            for worker in self.workers.values()
            if worker.report.service == demand.service
            and (not spec.constraint or spec.constraint in worker.report.labels)
            and (
                not spec.data_rack
                or demand.may_leave_data_rack
                or worker.report.rack == spec.data_rack
            )
        ]

    def available(self, worker: Worker, demand: Demand) -> Resources:
        """Return the free resources of a worker without reserved ones.

        A reservation counts if a task of the step, started now, would still
        run when the reservation begins.
        """
        free = self.free[worker.minion_id]
        end_ms = self.now_ms + demand.expected_ms
        for reservation in self.reservations:
            reserved = reservation.resources.get(worker.minion_id)
            if reserved is not None and end_ms > reservation.start_ms:
                free -= reserved
        return free

    def room_for(self, demand: Demand) -> StepRoom:
        """Return how many tasks of the step fit on its candidates."""
        spec = demand.step.spec
        limit = spec.max_per_worker or len(demand.step.tasks)
        candidates = self.candidates(demand)

        def count(resources: Iterable[Resources]) -> int:
            return sum(
                min(limit, amount.fit_count(spec.needs)) for amount in resources
            )

        return StepRoom(
            workers=len(candidates),
            fit_total=count(worker.report.resources for worker in candidates),
            fit_free=count(
                self.free[worker.minion_id] for worker in candidates
            ),
            fit_unreserved=count(
                self.available(worker, demand) for worker in candidates
            ),
            oldest_report_ms=max(
                (self.now_ms - worker.reported_ms for worker in candidates),
                default=0,
            ),
        )

    def allocate(self, worker: Worker, needs: Resources) -> None:
        """Take resources of a worker for a run."""
        self.free[worker.minion_id] -= needs


def place_task(
    pool: WorkerPool,
    demand: Demand,
    task: Task,
    step_tasks_by_minion: Counter[str],
) -> Worker | None:
    """Return the best worker for one task, or ``None`` if it fits on none.

    Parameters
    ----------
    step_tasks_by_minion : Counter
        Number of active tasks of the step by minion.
    """
    spec = demand.step.spec
    fitting = [
        (worker, pool.available(worker, demand))
        for worker in pool.candidates(demand)
        if not (
            spec.max_per_worker
            and step_tasks_by_minion[worker.minion_id] >= spec.max_per_worker
        )
    ]
    fitting = [
        (worker, free) for worker, free in fitting if free.covers(spec.needs)
    ]
    if not fitting:
        return None
    worker, _ = min(
        fitting,
        key=lambda pair: (
            pair[0].minion_id in task.avoided_minions,
            pool.failed_job_counts.get(pair[0].minion_id, 0),
            _leftover_share(pair[0], pair[1], spec.needs),
            pair[0].minion_id,
        ),
    )
    return worker


def place_gang(pool: WorkerPool, demand: Demand) -> list[Worker] | None:
    """Return a worker for each member of a gang, or ``None``.

    The result is ``None`` if not all members fit.
    """
    available = {
        worker.minion_id: pool.available(worker, demand)
        for worker in pool.candidates(demand)
    }
    return fit_gang(pool, demand, available)


def fits_one_rack(pool: WorkerPool, step: Step, service: str) -> bool:
    """Return whether all tasks would fit on one rack if it were empty."""
    demand = Demand(step, service, 0)
    capacity = {
        worker.minion_id: worker.report.resources
        for worker in pool.candidates(demand)
    }
    workers = [pool.workers[minion_id] for minion_id in capacity]
    return bool(
        _racks_that_fit(workers, capacity, step.spec.needs, len(step.tasks))
    )


def fit_gang(
    pool: WorkerPool, demand: Demand, available: Mapping[str, Resources]
) -> list[Worker] | None:
    """Return a worker for each member of a gang, or ``None``.

    A gang that wants one rack is spread over several only if it fits on none
    and the demand allows it.

    Parameters
    ----------
    available : mapping
        Resources that the gang may use, by minion.
    """
    spec = demand.step.spec
    count = len(demand.step.tasks)
    avoided_minions: set[str] = set()
    for task in demand.step.tasks:
        avoided_minions |= task.avoided_minions
    workers = [pool.workers[minion_id] for minion_id in available]
    if spec.wants_one_rack:
        for rack in _racks_that_fit(workers, available, spec.needs, count):
            found = _assign_workers(
                rack, available, demand, avoided_minions, pool.failed_job_counts
            )
            if found is not None:
                return found
        if not demand.may_span_racks:
            return None
    return _assign_workers(
        workers, available, demand, avoided_minions, pool.failed_job_counts
    )


def _racks_that_fit(
    workers: Iterable[Worker],
    available: Mapping[str, Resources],
    needs: Resources,
    count: int,
) -> list[list[Worker]]:
    """Return the racks that the gang fits on, the fullest first."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.report.rack].append(worker)
    fits = []
    for name, members in racks.items():
        total = sum(
            available[member.minion_id].fit_count(needs) for member in members
        )
        if total >= count:
            fits.append((total, name))
    return [racks[rack] for _, rack in sorted(fits)]


def _assign_workers(
    workers: Sequence[Worker],
    available: Mapping[str, Resources],
    demand: Demand,
    avoided_minions: set[str],
    failed_job_counts: Mapping[str, int],
) -> list[Worker] | None:
    spec = demand.step.spec
    count = len(demand.step.tasks)
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.minion_id in avoided_minions,
            failed_job_counts.get(worker.minion_id, 0),
            _leftover_share(worker, available[worker.minion_id], spec.needs),
            worker.minion_id,
        ),
    )
    chosen: list[Worker] = []
    for worker in ordered:
        fitting = available[worker.minion_id].fit_count(spec.needs)
        if spec.max_per_worker:
            fitting = min(fitting, spec.max_per_worker)
        chosen.extend(repeat(worker, min(fitting, count - len(chosen))))
        if len(chosen) == count:
            return chosen
    return None


def _leftover_share(worker: Worker, free: Resources, needs: Resources) -> float:
    """Return the share of the worker that would stay free.

    Choosing the worker with the smallest share is best-fit packing.
    """
    return (free - needs).dominant_share_of(worker.report.resources)
