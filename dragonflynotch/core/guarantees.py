"""Admission of guarantees that must all fit on the topology together."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.placement import Placer, Share
from dragonflynotch.core.shapes import Proximity
from dragonflynotch.core.topology import Worker

__all__ = (
    'Admitted',
    'NotAdmitted',
    'Placement',
    'WorkerCapacity',
    'admit_guarantees',
    'place_jointly',
)

# Accelerators per worker that are set aside for one guarantee.
Placement = tuple[Share, ...]
_Order = Callable[[Guarantee], tuple[int, int]]
_PROXIMITY_RANK = {
    Proximity.worker: 0,
    Proximity.rack: 1,
    Proximity.adjacent_racks: 2,
}


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Number of accelerators of a worker that guarantees may occupy."""

    rack: RackKey
    worker_id: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """All guarantees fit together.

    Parameters
    ----------
    placements : tuple of Placement
        Placements in the order of the guarantees.
    """

    placements: tuple[Placement, ...] = field(repr=False)


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The guarantees do not all fit together.

    Parameters
    ----------
    first_rejected : Guarantee
        First guarantee that does not fit together with those before it.
    """

    first_rejected: Guarantee

    @property
    def reason(self) -> str:
        """Explanation for the caller, in one sentence."""
        shape = self.first_rejected.shape
        return (
            f'guarantee of workspace {self.first_rejected.workspace!r} for '
            f'{shape.accelerators} accelerators ({shape.proximity.value}) '
            f'does not fit together with the guarantees before it'
        )


def admit_guarantees(
    guarantees: Sequence[Guarantee], workers: Iterable[Worker], placer: Placer
) -> Admitted | NotAdmitted:
    """Decide whether all guarantees fit on the workers together.

    Parameters
    ----------
    guarantees : sequence of Guarantee
        All guarantees of the data centre.
    workers : iterable of Worker
        Workers of the data centre, taken as idle.
    placer : Placer
        Chooses the accelerators.

    Returns
    -------
    Admitted or NotAdmitted
        The placements in the order of the guarantees, or the first guarantee
        that does not fit.
    """
    capacities = [
        WorkerCapacity(
            (worker.rack_position, worker.rack),
            worker.worker_id,
            worker.accelerators,
        )
        for worker in workers
    ]
    placements = place_jointly(guarantees, capacities, placer)
    if placements is not None:
        return Admitted(placements)
    index = _first_that_does_not_fit(guarantees, capacities, placer)
    return NotAdmitted(guarantees[index])


def place_jointly(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
) -> tuple[Placement, ...] | None:
    """Return placements of all guarantees, or None if none were found.

    Several orders are tried, because best fit in one order may fail although
    all guarantees fit together.
    """
    for order in _ORDERS:
        placements = _place_in_order(guarantees, capacities, placer, order)
        if placements is not None:
            return placements
    return None


def _place_in_order(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
    order: _Order,
) -> tuple[Placement, ...] | None:
    capacity = CapacityMap()
    racks = {}
    for worker in capacities:
        racks[worker.worker_id] = worker.rack
        capacity.set(worker.rack, worker.worker_id, worker.accelerators)
    placements: dict[int, Placement] = {}
    ranked = [
        (order(guarantee), index, guarantee)
        for index, guarantee in enumerate(guarantees)
    ]
    for _, index, guarantee in sorted(ranked, key=_sort_key):
        placement = find_placement(guarantee, capacity, placer)
        if placement is None:
            return None
        placements[index] = placement
        for share in placement:
            rack = racks[share.worker_id]
            left = capacity.count(rack, share.worker_id) - share.accelerators
            capacity.set(rack, share.worker_id, left)
    return tuple(placements[number] for number in range(len(guarantees)))


def _sort_key(
    ranked: tuple[tuple[int, int], int, Guarantee],
) -> tuple[tuple[int, int], int]:
    return ranked[:2]


def find_placement(
    guarantee: Guarantee, capacity: CapacityMap, placer: Placer
) -> Placement | None:
    """Return a placement of one guarantee, or None."""
    if not guarantee.shape.accelerators:
        return ()
    return placer.place(guarantee.shape, capacity, _unlimited) or None


def _first_that_does_not_fit(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
) -> int:
    """Return the index of the last guarantee of the shortest failing prefix.

    The binary search takes each longer prefix to fail as well.
    """
    fitting = 0
    failing = len(guarantees)
    while failing - fitting > 1:
        middle = (fitting + failing) // 2
        if place_jointly(guarantees[:middle], capacities, placer) is None:
            failing = middle
        else:
            fitting = middle
    return failing - 1


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators


def _widest_last(guarantee: Guarantee) -> tuple[int, int]:
    shape = guarantee.shape
    return (_PROXIMITY_RANK[shape.proximity], -shape.accelerators)


def _widest_first(guarantee: Guarantee) -> tuple[int, int]:
    shape = guarantee.shape
    return (-_PROXIMITY_RANK[shape.proximity], -shape.accelerators)


def _largest_first(guarantee: Guarantee) -> tuple[int, int]:
    shape = guarantee.shape
    return (-shape.accelerators, _PROXIMITY_RANK[shape.proximity])


def _as_given(_guarantee: Guarantee) -> tuple[int, int]:
    return (0, 0)


_ORDERS: tuple[_Order, ...] = (
    _widest_last,
    _widest_first,
    _largest_first,
    _as_given,
)
