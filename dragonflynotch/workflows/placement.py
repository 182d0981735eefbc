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
    'Room',
    'fit_gang',
    'fits_a_rack',
    'place_gang',
    'place_task',
)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room kept for a step that cannot start yet.

    Parameters
    ----------
    from_ms : int
        When the step is expected to start; shorter runs may use the room.
    room : mapping
        Resources by minion.
    """

    from_ms: int
    room: Mapping[str, Resources]


@dataclass(slots=True)
class Demand:
    """What a step asks of a worker.

    Parameters
    ----------
    expected_ms : int
        Expected run time of a task.
    may_leave_data : bool
        Whether racks other than that of the data will do.
    may_span_racks : bool
        Whether the gang may be spread over racks.
    """

    step: Step
    service: str
    expected_ms: int
    may_leave_data: bool = False
    may_span_racks: bool = False


@dataclass(slots=True)
class Room:
    """Workers with their free resources during one round of decisions."""

    workers: dict[str, Worker]
    free: dict[str, Resources]
    now_ms: int
    suspicion: Mapping[str, int] = field(default_factory=dict)
    reservations: list[Reservation] = field(default_factory=list)

    def candidates(self, demand: Demand) -> list[Worker]:
        """Return the workers that the step may use."""
        spec = demand.step.spec
        return [
            worker
            for worker in self.workers.values()
            if worker.report.service == demand.service
            and (not spec.constraint or spec.constraint in worker.report.labels)
            and (
                not spec.data_rack
                or demand.may_leave_data
                or worker.report.rack == spec.data_rack
            )
        ]

    def usable(self, worker: Worker, demand: Demand) -> Resources:
        """Return the free resources less what is reserved for others."""
        free = self.free[worker.minion_id]
        end_ms = self.now_ms + demand.expected_ms
        for reservation in self.reservations:
            reserved = reservation.room.get(worker.minion_id)
            if reserved is not None and end_ms > reservation.from_ms:
                free -= reserved
        return free

    def take(self, worker: Worker, needs: Resources) -> None:
        """Use resources of a worker."""
        self.free[worker.minion_id] -= needs


def place_task(
    room: Room, demand: Demand, task: Task, on_step: Counter[str]
) -> Worker | None:
    """Return the worker for one task, or ``None``.

    Parameters
    ----------
    on_step : Counter
        Tasks of the step by minion.
    """
    spec = demand.step.spec
    fitting = [
        (worker, room.usable(worker, demand))
        for worker in room.candidates(demand)
        if not (
            spec.max_per_worker
            and on_step[worker.minion_id] >= spec.max_per_worker
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
            pair[0].minion_id in task.avoided,
            room.suspicion.get(pair[0].minion_id, 0),
            _leftover(pair[0], pair[1], spec.needs),
            pair[0].minion_id,
        ),
    )
    return worker


def place_gang(room: Room, demand: Demand) -> list[Worker] | None:
    """Return a worker for each member, or ``None`` if not all fit."""
    usable = {
        worker.minion_id: room.usable(worker, demand)
        for worker in room.candidates(demand)
    }
    return fit_gang(room, demand, usable)


def fits_a_rack(room: Room, step: Step, service: str) -> bool:
    """Return whether an empty rack would hold the gang."""
    demand = Demand(step, service, 0)
    capacity = {
        worker.minion_id: worker.report.resources
        for worker in room.candidates(demand)
    }
    workers = [room.workers[minion_id] for minion_id in capacity]
    return bool(
        _racks_by_fit(workers, capacity, step.spec.needs, len(step.tasks))
    )


def fit_gang(
    room: Room, demand: Demand, usable: Mapping[str, Resources]
) -> list[Worker] | None:
    """Return workers with the given free resources for all members.

    One rack is preferred where the gang is much slower on several.
    """
    spec = demand.step.spec
    count = len(demand.step.tasks)
    avoided: set[str] = set()
    for task in demand.step.tasks:
        avoided |= task.avoided
    workers = [room.workers[minion_id] for minion_id in usable]
    if spec.wants_one_rack:
        for rack in _racks_by_fit(workers, usable, spec.needs, count):
            found = _fill(rack, usable, demand, avoided, room.suspicion)
            if found is not None:
                return found
        if not demand.may_span_racks:
            return None
    return _fill(workers, usable, demand, avoided, room.suspicion)


def _racks_by_fit(
    workers: Iterable[Worker],
    usable: Mapping[str, Resources],
    needs: Resources,
    count: int,
) -> list[list[Worker]]:
    """Return the racks that hold the gang, the tightest first."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        racks[worker.report.rack].append(worker)
    fits = []
    for name, members in racks.items():
        total = sum(
            usable[member.minion_id].count_of(needs) for member in members
        )
        if total >= count:
            fits.append((total, name))
    return [racks[rack] for _, rack in sorted(fits)]


def _fill(
    workers: Sequence[Worker],
    usable: Mapping[str, Resources],
    demand: Demand,
    avoided: set[str],
    suspicion: Mapping[str, int],
) -> list[Worker] | None:
    spec = demand.step.spec
    count = len(demand.step.tasks)
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.minion_id in avoided,
            suspicion.get(worker.minion_id, 0),
            _leftover(worker, usable[worker.minion_id], spec.needs),
            worker.minion_id,
        ),
    )
    chosen: list[Worker] = []
    for worker in ordered:
        fitting = usable[worker.minion_id].count_of(spec.needs)
        if spec.max_per_worker:
            fitting = min(fitting, spec.max_per_worker)
        chosen.extend(repeat(worker, min(fitting, count - len(chosen))))
        if len(chosen) == count:
            return chosen
    return None


def _leftover(worker: Worker, free: Resources, needs: Resources) -> float:
    """Return the share of the worker that stays free; least fits best."""
    return (free - needs).share_of(worker.report.resources)
