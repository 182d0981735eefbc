"""Guarantees in force, their places and who uses them."""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime, timedelta

from dragonflynotch.core.actions import ReportGuarantee
from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.guarantees import (
    Place,
    WorkerCapacity,
    find_place,
    place_jointly,
)
from dragonflynotch.core.inventory import WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState

__all__ = ('GuaranteeBook', 'PlacedGuarantee')

_SEARCH_INTERVAL = timedelta(seconds=1)
_LARGE_SITE = 32


class PlacedGuarantee:
    """A guarantee with its place.

    Parameters
    ----------
    number : int
        Identifier within the partition.
    guarantee : Guarantee
        What is guaranteed.
    """

    def __init__(self, number: int, guarantee: Guarantee) -> None:
        """Start without a place."""
        self.number = number
        self.guarantee = guarantee
        self.place: Place | None = None
        self.is_reported_honoured: bool | None = None
        self._used: Counter[str] = Counter()

    @property
    def idle(self) -> dict[str, int]:
        """Guaranteed accelerators by worker that the owner does not use."""
        return {
            share.worker_id: share.accelerators - self._used[share.worker_id]
            for share in self.place or ()
        }

    @property
    def description(self) -> str:
        """The guarantee in a few words."""
        shape = self.guarantee.shape
        return (
            f'{shape.accelerators} accelerators ({shape.proximity.value}) '
            f'of workspace {self.guarantee.workspace}'
        )

    @property
    def is_unused(self) -> bool:
        """Whether the owner uses none of it."""
        return not self._used.total()

    def use(self, shares: Sequence[Share]) -> None:
        """Note that the owner uses accelerators of the place."""
        for share in shares:
            self._used[share.worker_id] += share.accelerators

    def end_use(self, shares: Sequence[Share]) -> None:
        """Note that the owner no longer uses accelerators of the place."""
        for share in shares:
            self._used[share.worker_id] -= share.accelerators

    def forget_use(self) -> None:
        """Start again without use, after the place has changed."""
        self._used.clear()


class GuaranteeBook:
    """Guarantees of the data centre.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Start without guarantees."""
        self._state = state
        self._placed: dict[int, PlacedGuarantee] = {}
        self._next_number = 1
        self._searched_at = datetime.min.replace(tzinfo=UTC)

    def __getitem__(self, number: int) -> PlacedGuarantee:
        """Return a guarantee by its identifier."""
        return self._placed[number]

    def __iter__(self) -> Iterator[PlacedGuarantee]:
        """Iterate over all guarantees in their order."""
        return iter(self._placed.values())

    def find(self, number: int | None) -> PlacedGuarantee | None:
        """Return a guarantee by its identifier, or None if it is gone."""
        return None if number is None else self._placed.get(number)

    def of_workspace(self, workspace: str) -> list[PlacedGuarantee]:
        """Return the placed guarantees of a workspace, the smallest first."""
        own = [
            placed
            for placed in self._placed.values()
            if placed.guarantee.workspace == workspace and placed.place
        ]
        return sorted(own, key=_size)

    def gang_ended(self, gang: Gang, _job: Job) -> None:
        """Give back what a gang used of its guarantee."""
        placed = self.find(gang.guarantee)
        if placed is not None:
            placed.end_use(
                [
                    Share(worker_id, len(member.allocation.accelerators))
                    for worker_id, member in gang.members.items()
                ]
            )

    def start_again(self) -> None:
        """Place all guarantees again, after the inventory was reset."""
        for placed in self._placed.values():
            placed.place = None
            placed.forget_use()
        self.place_missing(is_urgent=True)

    def replace(self, guarantees: Sequence[Guarantee]) -> set[int]:
        """Put a set of guarantees in force; unchanged ones keep their place.

        Returns
        -------
        set of int
            Guarantees that were removed or have lost their place.
        """
        kept: dict[int, PlacedGuarantee] = {}
        before = dict(self._placed)
        for guarantee in guarantees:
            placed = _pop_equal(before, guarantee)
            if placed is None:
                placed = PlacedGuarantee(self._next_number, guarantee)
                self._next_number += 1
            kept[placed.number] = placed
        for removed in before.values():
            self._unplace(removed)
        self._placed = kept
        return set(before) | self.place_missing(is_urgent=True)

    def worker_gone(self, worker_id: str) -> set[int]:
        """Take back the places that include a worker and place them again.

        Returns
        -------
        set of int
            Guarantees that have lost their place.
        """
        moved = set()
        for placed in self._placed.values():
            shares = placed.place or ()
            if any(share.worker_id == worker_id for share in shares):
                self._unplace(placed)
                moved.add(placed.number)
        return moved | self.place_missing(is_urgent=True)

    def place_missing(self, *, is_urgent: bool = False) -> set[int]:
        """Find places for all guarantees that have none, and report changes.

        Parameters
        ----------
        is_urgent : bool
            Search also if a search was made a moment ago.

        Returns
        -------
        set of int
            Guarantees that were moved to make room.
        """
        missing = [
            placed for placed in self._placed.values() if placed.place is None
        ]
        if not missing or (not is_urgent and self._is_too_early()):
            return set()
        moved: set[int] = set()
        if not self._place_beside(missing):
            moved = self._place_all_again()
        self._report_changes()
        return moved

    def _is_too_early(self) -> bool:
        """Whether a large site was searched in vain a moment ago.

        At a start thousands of workers join one by one, and a search visits
        all of them.
        """
        state = self._state
        due = self._searched_at + _SEARCH_INTERVAL
        is_large = len(state.inventory) > _LARGE_SITE
        if is_large and state.now < due:
            state.timers.set(Deadline(DeadlineKind.guarantees), due)
            return True
        self._searched_at = state.now
        return False

    def _place_beside(self, missing: list[PlacedGuarantee]) -> bool:
        """Place guarantees without moving others; True if all fit."""
        for spares_firm in (True, False):
            open_ones = [placed for placed in missing if placed.place is None]
            places = place_jointly(
                [placed.guarantee for placed in open_ones],
                self._capacities(spares_firm=spares_firm, beside=True),
                self._state.placer,
            )
            if places is not None:
                for placed, place in zip(open_ones, places, strict=True):
                    self._settle(placed, place)
                return True
        return False

    def _place_all_again(self) -> set[int]:
        """Place all guarantees anew, or as many as fit beside the others."""
        everything = list(self._placed.values())
        places = place_jointly(
            [placed.guarantee for placed in everything],
            self._capacities(spares_firm=False, beside=False),
            self._state.placer,
        )
        if places is None:
            self._place_singly(everything)
            return set()
        moved = set()
        changed = [
            (placed, place)
            for placed, place in zip(everything, places, strict=True)
            if placed.place != place
        ]
        for placed, _ in changed:
            if placed.place is not None:
                self._unplace(placed)
                moved.add(placed.number)
        for placed, place in changed:
            self._settle(placed, place)
        return moved

    def _place_singly(self, everything: list[PlacedGuarantee]) -> None:
        capacity = CapacityMap()
        racks = {}
        for part in self._capacities(spares_firm=False, beside=True):
            racks[part.worker_id] = part.rack
            capacity.set(part.rack, part.worker_id, part.accelerators)
        for placed in everything:
            if placed.place is not None:
                continue
            place = find_place(placed.guarantee, capacity, self._state.placer)
            if place is not None:
                self._settle(placed, place)
            for share in place or ():
                rack = racks[share.worker_id]
                left = capacity.count(rack, share.worker_id)
                left -= share.accelerators
                capacity.set(rack, share.worker_id, left)

    def _capacities(
        self, *, spares_firm: bool, beside: bool
    ) -> list[WorkerCapacity]:
        return [
            WorkerCapacity(
                worker.rack,
                worker.worker.worker_id,
                _capacity_for_guarantees(worker, spares_firm, beside),
            )
            for worker in self._state.inventory
        ]

    def _settle(self, placed: PlacedGuarantee, place: Place) -> None:
        placed.place = place
        self._set_aside(placed, place, 1)

    def _unplace(self, placed: PlacedGuarantee) -> None:
        place = placed.place or ()
        placed.place = None
        placed.forget_use()
        self._set_aside(placed, place, -1)

    def _set_aside(
        self, placed: PlacedGuarantee, place: Place, sign: int
    ) -> None:
        is_urgent = placed.guarantee.is_urgent
        for share in place:
            worker = self._state.inventory.find(share.worker_id)
            if worker is not None:
                worker.guaranteed += sign * share.accelerators
                if is_urgent:
                    worker.urgent += sign * share.accelerators
                self._state.inventory.refresh(worker)
        self._state.capacity_changed()

    def _report_changes(self) -> None:
        for placed in self._placed.values():
            is_honoured = placed.place is not None
            if placed.is_reported_honoured is not is_honoured:
                placed.is_reported_honoured = is_honoured
                self._state.emit(
                    ReportGuarantee(
                        placed.guarantee.workspace,
                        placed.guarantee.shape,
                        is_honoured,
                    )
                )


def _capacity_for_guarantees(
    worker: WorkerState, spares_firm: bool, beside: bool
) -> int:
    if worker.lost_at is not None or worker.is_quarantined:
        return 0
    capacity = worker.worker.accelerators
    if beside:
        capacity -= worker.guaranteed
    if spares_firm:
        capacity -= worker.firm.accelerators
    return max(0, capacity)


def _pop_equal(
    candidates: dict[int, PlacedGuarantee], guarantee: Guarantee
) -> PlacedGuarantee | None:
    for number, placed in candidates.items():
        if placed.guarantee == guarantee:
            return candidates.pop(number)
    return None


def _size(placed: PlacedGuarantee) -> tuple[int, int]:
    return (placed.guarantee.shape.accelerators, placed.number)
