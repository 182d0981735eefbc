"""Placement of shapes on workers."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.shapes import Proximity, Shape

__all__ = ('FragmentationAwarePlacer', 'Placer', 'Share')

# Called with a worker and its usable accelerators; returns at most that number.
WorkerLimit = Callable[[str, int], int]


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a placement on one worker."""

    worker_id: str
    accelerators: int


class Placer(ABC):
    """Chooses the workers for a shape."""

    @abstractmethod
    def place(
        self, shape: Shape, capacity: CapacityMap, limit: WorkerLimit
    ) -> tuple[Share, ...]:
        """Return the chosen shares, or an empty tuple if none fit.

        Parameters
        ----------
        shape : Shape
            Required shape; at least one accelerator.
        capacity : CapacityMap
            Usable accelerators of each worker.
        limit : callable
            Reduces the usable accelerators of a worker to the number for which
            it also has cores and memory.
        """


class FragmentationAwarePlacer(Placer):
    """Best fit over levels, as in buddy allocation.

    Chooses the worker, rack or consecutive racks with the least free capacity
    that is sufficient, and within racks the workers with the fewest free
    accelerators, so that whole workers and racks stay free for larger shapes.
    """

    def place(
        self, shape: Shape, capacity: CapacityMap, limit: WorkerLimit
    ) -> tuple[Share, ...]:
        """Return the chosen shares, or an empty tuple if none fit."""
        if shape.proximity is Proximity.worker:
            return _place_on_worker(shape.accelerators, capacity, limit)
        shares = _place_in_rack(shape.accelerators, capacity, limit)
        if shares or shape.proximity is Proximity.rack:
            return shares
        return _place_on_consecutive_racks(shape.accelerators, capacity, limit)


def _place_on_worker(
    needed: int, capacity: CapacityMap, limit: WorkerLimit
) -> tuple[Share, ...]:
    for usable, worker_id in capacity.workers_with(needed):
        if limit(worker_id, usable) >= needed:
            return (Share(worker_id, needed),)
    return ()


def _place_in_rack(
    needed: int, capacity: CapacityMap, limit: WorkerLimit
) -> tuple[Share, ...]:
    for rack in capacity.racks_with(needed):
        shares = _pack(needed, _usable_workers((rack,), capacity, limit))
        if shares:
            return shares
    return ()


def _place_on_consecutive_racks(
    needed: int, capacity: CapacityMap, limit: WorkerLimit
) -> tuple[Share, ...]:
    for racks in capacity.spans_with(needed):
        shares = _pack(needed, _usable_workers(racks, capacity, limit))
        if shares:
            return shares
    return ()


def _usable_workers(
    racks: Iterable[RackKey], capacity: CapacityMap, limit: WorkerLimit
) -> list[tuple[int, str]]:
    return [
        (limit(worker_id, usable), worker_id)
        for rack in racks
        for usable, worker_id in capacity.workers(rack)
    ]


def _pack(needed: int, workers: list[tuple[int, str]]) -> tuple[Share, ...]:
    """Take the workers with the least capacity, none of them superfluous."""
    taken: list[tuple[int, str]] = []
    excess = -needed
    for usable, worker_id in sorted(workers):
        if excess >= 0:
            break
        if usable:
            taken.append((usable, worker_id))
            excess += usable
    if excess < 0:
        return ()
    return _drop_excess(taken, excess)


def _drop_excess(
    taken: list[tuple[int, str]], excess: int
) -> tuple[Share, ...]:
    shares: list[Share] = []
    for usable, worker_id in taken:
        if usable <= excess:
            excess -= usable
        else:
            shares.append(Share(worker_id, usable))
    largest = shares.pop()
    shares.append(Share(largest.worker_id, largest.accelerators - excess))
    return tuple(shares)
