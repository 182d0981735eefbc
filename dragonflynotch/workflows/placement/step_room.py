"""Where tasks of a waiting step would fit, and why they may not start there.

Only computed for log entries, since it checks each worker.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from dragonflynotch.workflows.jobs import StepId
from dragonflynotch.workflows.placement.avoidance import avoided_by_task
from dragonflynotch.workflows.placement.best_fit import avoided_starts
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    Reservation,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.placement.workers import Allocation, Worker
from dragonflynotch.workflows.resources import Resources

__all__ = ('RoomHolder', 'StepRoom', 'find_room')

# Most steps, and most late runs of each, that are named.
_MAX_NAMED = 3


class _Restriction(StrEnum):
    """Why a step may not use a worker that suits it."""

    excluded = 'excluded'
    off_rack = 'off_rack'
    avoided = 'avoided'
    reserved = 'reserved'
    kept_apart = 'kept_apart'


@dataclass(frozen=True, slots=True)
class RoomHolder:
    """A step with reservations that keep another step from starting.

    Parameters
    ----------
    job, step : str, int
        The step that the room is reserved for.
    starts_in_ms : int
        Time until its first reservation begins.
    late_runs : int
        Runs that it waits for and that have exceeded their estimate.
    late_tasks : list of str
        Tasks of some of these runs.
    """

    job: str
    step: int
    starts_in_ms: int
    late_runs: int
    late_tasks: list[str]


@dataclass(frozen=True, slots=True)
class StepRoom:
    """How many tasks of a step fit on its workers.

    ``fit_kept_apart`` and, unless all waiting tasks avoid the same workers,
    ``fit_avoided`` are part of ``fit_unreserved``.

    Parameters
    ----------
    wanted : int
        Tasks that have to fit for the step to start.
    workers : int
        Number of candidates.
    fit_empty : int
        Tasks that would fit if all workers that suit the step were empty and
        none of them was excluded, avoided or on another rack.
    fit_total : int
        Tasks that would fit if the candidates were empty.
    fit_free : int
        Tasks that fit into the free resources, reserved ones included.
    fit_unreserved : int
        Tasks that fit into the resources that the step may use.
    fit_now : int
        Tasks that fit there on workers that the first waiting task neither
        avoids nor is kept apart from.
    fit_reserved : int
        Tasks that fit into reserved resources, also on the workers that are
        counted in the following figures.
    fit_avoided : int
        Tasks that would fit on workers that the first waiting task avoids.
    fit_kept_apart : int
        Tasks that would fit on workers without use for now, since runs have
        just started there and a task is suspected.
    excluded_workers, fit_excluded : int
        Workers that are excluded because jobs failed on them, and the tasks
        that would fit there.
    fit_off_rack : int
        Tasks that would fit on other racks than that of their data.
    oldest_report_ms : int
        Age of the oldest report of a candidate.
    reserved_by : list of RoomHolder
        Steps that hold reserved room, if ``fit_free`` exceeds
        ``fit_unreserved``; not more than three.
    """

    wanted: int
    workers: int
    fit_empty: int
    fit_total: int
    fit_free: int
    fit_unreserved: int
    fit_now: int
    fit_reserved: int
    fit_avoided: int
    fit_kept_apart: int
    excluded_workers: int
    fit_excluded: int
    fit_off_rack: int
    oldest_report_ms: int
    reserved_by: list[RoomHolder]


def find_room(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
) -> StepRoom:
    """Return how many tasks of a step fit, as of its turn in the round."""
    search = _RoomSearch(pool, demand)
    candidates = pool.candidates(demand)
    fit_free = search.fit_free(candidates)
    fit_unreserved = search.fit_unreserved(candidates)
    restricted = search.fit_by_restriction()
    return StepRoom(
        wanted=demand.step.start_count,
        workers=len(candidates),
        fit_empty=search.fit_empty(search.suitable_workers()),
        fit_total=search.fit_empty(candidates),
        fit_free=fit_free,
        fit_unreserved=fit_unreserved,
        fit_now=restricted[None],
        fit_reserved=restricted[_Restriction.reserved],
        fit_avoided=restricted[_Restriction.avoided],
        fit_kept_apart=restricted[_Restriction.kept_apart],
        excluded_workers=sum(map(demand.suits, pool.excluded.values())),
        fit_excluded=restricted[_Restriction.excluded],
        fit_off_rack=restricted[_Restriction.off_rack],
        oldest_report_ms=max(
            (pool.now_ms - worker.reported_ms for worker in candidates),
            default=0,
        ),
        reserved_by=(
            _room_holders(pool, demand, allocations)
            if fit_free > fit_unreserved
            else []
        ),
    )


class _RoomSearch:
    """Counts what fits on the workers of a pool."""

    def __init__(self, pool: WorkerPool, demand: Demand) -> None:
        self._pool = pool
        self._demand = demand
        step = demand.step
        self._needs = step.spec.needs
        self._limit = step.spec.max_per_worker or len(step.tasks)
        self._step_tasks_by_minion = count_step_tasks(step)
        waiting = step.waiting_tasks
        # For a step that is no gang, the restrictions of the first waiting task
        # count; those of other tasks may differ.
        first = waiting if step.spec.is_gang else waiting[:1]
        self._kept_apart = avoided_starts(pool, demand, first)
        self._avoided = demand.avoided_minions
        if not step.spec.is_gang and waiting:
            self._avoided |= avoided_by_task(
                pool, step, demand.service, waiting[0]
            )

    def suitable_workers(self) -> Iterator[Worker]:
        """Iterate over the workers that the step might use at some time."""
        demand = replace(self._demand, may_leave_data_rack=True)
        for workers in (self._pool.workers, self._pool.excluded):
            yield from filter(demand.suits, workers.values())

    def fit_empty(self, workers: Iterable[Worker]) -> int:
        return sum(
            min(self._limit, worker.report.resources.fit_count(self._needs))
            for worker in workers
        )

    def fit_free(self, workers: Iterable[Worker]) -> int:
        return sum(
            self._count(worker, self._pool.free[worker.minion_id])
            for worker in workers
        )

    def fit_unreserved(self, workers: Iterable[Worker]) -> int:
        return sum(
            self._count(worker, self._pool.available(worker, self._demand))
            for worker in workers
        )

    def fit_by_restriction(self) -> Counter[_Restriction | None]:
        """Count the tasks that fit, by restriction or ``None``."""
        counts: Counter[_Restriction | None] = Counter()
        for worker in self.suitable_workers():
            unreserved = self.fit_unreserved([worker])
            counts[self._restriction(worker)] += unreserved
            counts[_Restriction.reserved] += (
                self.fit_free([worker]) - unreserved
            )
        return counts

    def _restriction(self, worker: Worker) -> _Restriction | None:
        minion_id = worker.minion_id
        if minion_id in self._pool.excluded:
            return _Restriction.excluded
        if not self._demand.suits(worker):
            return _Restriction.off_rack
        if minion_id in self._avoided:
            return _Restriction.avoided
        if minion_id in self._kept_apart:
            return _Restriction.kept_apart
        return None

    def _count(self, worker: Worker, resources: Resources) -> int:
        limit = self._limit
        if self._demand.step.spec.max_per_worker:
            limit -= self._step_tasks_by_minion[worker.minion_id]
        return max(0, min(limit, resources.fit_count(self._needs)))


def _room_holders(
    pool: WorkerPool,
    demand: Demand,
    allocations: Mapping[str, Sequence[Allocation]],
) -> list[RoomHolder]:
    """Return the steps whose reservations begin before a task would end."""
    candidates = {worker.minion_id for worker in pool.candidates(demand)}
    end_ms = pool.now_ms + demand.expected_ms
    found: dict[StepId, list[Reservation]] = {}
    for reservation in pool.reservations:
        if reservation.start_ms < end_ms and not candidates.isdisjoint(
            reservation.resources
        ):
            found.setdefault(reservation.step_id, []).append(reservation)
    return [
        _room_holder(pool, step_id, reservations, allocations)
        for step_id, reservations in list(found.items())[:_MAX_NAMED]
    ]


def _room_holder(
    pool: WorkerPool,
    step_id: StepId,
    reservations: Sequence[Reservation],
    allocations: Mapping[str, Sequence[Allocation]],
) -> RoomHolder:
    late_tasks = {
        task
        for reservation in reservations
        for task in _late_tasks(reservation, allocations)
    }
    start_ms = min(reservation.start_ms for reservation in reservations)
    return RoomHolder(
        step_id.job_id,
        step_id.step,
        start_ms - pool.now_ms,
        len(late_tasks),
        sorted(late_tasks)[:_MAX_NAMED],
    )


def _late_tasks(
    reservation: Reservation, allocations: Mapping[str, Sequence[Allocation]]
) -> Iterator[str]:
    """Iterate over the late ones of the tasks that a reservation waits for."""
    for minion_id in reservation.resources:
        for run in allocations.get(minion_id, ()):
            is_awaited = run.expected_end_ms <= reservation.start_ms
            if is_awaited and run.is_past_estimate:
                yield str(run.task_id)
