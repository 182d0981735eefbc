"""Joint admission of guarantees as shapes on a topology."""

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
    'Place',
    'WorkerCapacity',
    'admit_guarantees',
    'place_jointly',
)

Place = tuple[Share, ...]
_Order = Callable[[Guarantee], tuple[int, int]]
_PROXIMITY_RANK = {
    Proximity.worker: 0,
    Proximity.rack: 1,
    Proximity.adjacent_racks: 2,
}


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Accelerators of a worker that guarantees may use."""

    rack: RackKey
    worker_id: str
    accelerators: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """All guarantees can be honoured at the same time."""

    places: tuple[Place, ...] = field(repr=False)


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The guarantees cannot all be honoured at the same time.

    Parameters
    ----------
    first : Guarantee
        The first one that does not fit beside those before it.
    """

    first: Guarantee

    @property
    def reason(self) -> str:
        """The refusal in one sentence."""
        shape = self.first.shape
        return (
            f'guarantee of workspace {self.first.workspace!r} for '
            f'{shape.accelerators} accelerators ({shape.proximity.value}) '
            f'does not fit beside the guarantees before it'
        )


def admit_guarantees(
    guarantees: Sequence[Guarantee], workers: Iterable[Worker], placer: Placer
) -> Admitted | NotAdmitted:
    """Decide whether guarantees fit on workers at the same time.

    Parameters
    ----------
    guarantees : sequence of Guarantee
        All guarantees of the data centre.
    workers : iterable of Worker
        The present topology.
    placer : Placer
        Chooses the places.

    Returns
    -------
    Admitted or NotAdmitted
        The places in the order of the guarantees, or the first guarantee that
        does not fit.
    """
    capacities = [
        WorkerCapacity(
            (worker.rack_position, worker.rack),
            worker.worker_id,
            worker.accelerators,
        )
        for worker in workers
    ]
    places = place_jointly(guarantees, capacities, placer)
    if places is not None:
        return Admitted(places)
    first = _first_that_does_not_fit(guarantees, capacities, placer)
    return NotAdmitted(guarantees[first])


def place_jointly(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
) -> tuple[Place, ...] | None:
    """Return places for all guarantees, or None.

    Several orders are tried because best fit in one order may fail although
    all guarantees fit together.
    """
    for order in _ORDERS:
        places = _place_in_order(guarantees, capacities, placer, order)
        if places is not None:
            return places
    return None


def _place_in_order(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
    order: _Order,
) -> tuple[Place, ...] | None:
    capacity = CapacityMap()
    racks = {}
    for worker in capacities:
        racks[worker.worker_id] = worker.rack
        capacity.set(worker.rack, worker.worker_id, worker.accelerators)
    places: dict[int, Place] = {}
    ranked = [
        (order(guarantee), index, guarantee)
        for index, guarantee in enumerate(guarantees)
    ]
    for _, index, guarantee in sorted(ranked, key=_rank):
        place = find_place(guarantee, capacity, placer)
        if place is None:
            return None
        places[index] = place
        for share in place:
            rack = racks[share.worker_id]
            left = capacity.count(rack, share.worker_id) - share.accelerators
            capacity.set(rack, share.worker_id, left)
    return tuple(places[number] for number in range(len(guarantees)))


def _rank(
    ranked: tuple[tuple[int, int], int, Guarantee],
) -> tuple[tuple[int, int], int]:
    return ranked[:2]


def find_place(
    guarantee: Guarantee, capacity: CapacityMap, placer: Placer
) -> Place | None:
    """Return a place for one guarantee, or None."""
    if not guarantee.shape.accelerators:
        return ()
    return placer.place(guarantee.shape, capacity, _unlimited) or None


def _first_that_does_not_fit(
    guarantees: Sequence[Guarantee],
    capacities: Sequence[WorkerCapacity],
    placer: Placer,
) -> int:
    """Search for the shortest prefix that does not fit."""
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
