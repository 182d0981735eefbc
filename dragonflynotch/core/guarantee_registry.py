"""Guarantees in force, their placements and their use by the owners."""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime, timedelta

from dragonflynotch.core.actions import ReportGuarantee
from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.deadlines import Deadline, DeadlineKind
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.gangs import Gang
from dragonflynotch.core.guarantees import (
    Placement,
    WorkerCapacity,
    find_placement,
    place_jointly,
)
from dragonflynotch.core.inventory import WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.placement import Share
from dragonflynotch.core.state import PartitionState

__all__ = ('GuaranteeRegistry', 'PlacedGuarantee')

_SEARCH_INTERVAL = timedelta(seconds=1)
_LARGE_SITE_WORKERS = 32


class PlacedGuarantee:
    """A guarantee with its placement and its use.

    Parameters
    ----------
    guarantee_id : int
        Identifier within the partition.
    guarantee : Guarantee
        Workspace and shape of the guarantee.
    """

    def __init__(self, guarantee_id: int, guarantee: Guarantee) -> None:
        """Create a guarantee that has no placement."""
        self.guarantee_id = guarantee_id
        self.guarantee = guarantee
        self.placement: Placement | None = None
        self.is_reported_honoured: bool | None = None
        self._used: Counter[str] = Counter()

    @property
    def unused_by_worker(self) -> dict[str, int]:
        """Guaranteed accelerators by worker that the workspace does not use."""
        return {
            share.worker_id: share.accelerators - self._used[share.worker_id]
            for share in self.placement or ()
        }

    @property
    def description(self) -> str:
        """Size, proximity and workspace of the guarantee as text."""
        shape = self.guarantee.shape
        return (
            f'{shape.accelerators} accelerators ({shape.proximity.value}) '
            f'of workspace {self.guarantee.workspace}'
        )

    @property
    def is_unused(self) -> bool:
        """Whether the workspace uses none of the guarantee."""
        return not self._used.total()

    def begin_use(self, shares: Sequence[Share]) -> None:
        """Count accelerators that the workspace starts to use."""
        for share in shares:
            self._used[share.worker_id] += share.accelerators

    def end_use(self, shares: Sequence[Share]) -> None:
        """Subtract accelerators that the workspace no longer uses."""
        for share in shares:
            self._used[share.worker_id] -= share.accelerators

    def clear_use(self) -> None:
        """Reset the use after a change of the placement."""
        self._used.clear()


class GuaranteeRegistry:
    """Places the guarantees of a data centre and tracks their use.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Create a registry without guarantees."""
        self._state = state
        self._placed: dict[int, PlacedGuarantee] = {}
        self._next_id = 1
        self._searched_at = datetime.min.replace(tzinfo=UTC)

    def __getitem__(self, guarantee_id: int) -> PlacedGuarantee:
        """Return a guarantee by its identifier."""
        return self._placed[guarantee_id]

    def __iter__(self) -> Iterator[PlacedGuarantee]:
        """Iterate over all guarantees in the order of the configuration."""
        return iter(self._placed.values())

    def find(self, guarantee_id: int | None) -> PlacedGuarantee | None:
        """Return a guarantee by its identifier, or None if it was removed."""
        return None if guarantee_id is None else self._placed.get(guarantee_id)

    def of_workspace(self, workspace: str) -> list[PlacedGuarantee]:
        """Return the placed guarantees of a workspace, smallest first."""
        own = [
            placed
            for placed in self._placed.values()
            if placed.guarantee.workspace == workspace and placed.placement
        ]
        return sorted(own, key=_by_size)

    def gang_ended(self, gang: Gang, _job: Job) -> None:
        """End the use of a guarantee by a gang that has ended."""
        placed = self.find(gang.guarantee_id)
        if placed is not None:
            placed.end_use(
                [
                    Share(worker_id, len(member.allocation.accelerators))
                    for worker_id, member in gang.members.items()
                ]
            )

    def reset_placements(self) -> None:
        """Place all guarantees anew after a reset of the inventory."""
        for placed in self._placed.values():
            placed.placement = None
            placed.clear_use()
        self.place_unplaced(ignores_interval=True)

    def replace(self, guarantees: Sequence[Guarantee]) -> set[int]:
        """Replace the guarantees; unchanged ones keep their placement.

        Returns
        -------
        set of int
            Identifiers of the guarantees that were removed, and of those
            that were moved to make room.
        """
        kept: dict[int, PlacedGuarantee] = {}
        unmatched = dict(self._placed)
        for guarantee in guarantees:
            placed = _pop_equal(unmatched, guarantee)
            if placed is None:
                placed = PlacedGuarantee(self._next_id, guarantee)
                self._next_id += 1
            kept[placed.guarantee_id] = placed
        for removed in unmatched.values():
            self._remove_placement(removed)
        self._placed = kept
        return set(unmatched) | self.place_unplaced(ignores_interval=True)

    def worker_unavailable(self, worker_id: str) -> set[int]:
        """Move the guarantees that are placed on a worker.

        Returns
        -------
        set of int
            Identifiers of the guarantees whose placement was removed.
        """
        moved = set()
        for placed in self._placed.values():
            shares = placed.placement or ()
            if any(share.worker_id == worker_id for share in shares):
                self._remove_placement(placed)
                moved.add(placed.guarantee_id)
        return moved | self.place_unplaced(ignores_interval=True)

    def place_unplaced(self, *, ignores_interval: bool = False) -> set[int]:
        """Place the guarantees that have no placement, and report changes.

        Parameters
        ----------
        ignores_interval : bool
            Search even if the last search was less than the search interval
            ago.

        Returns
        -------
        set of int
            Identifiers of the guarantees that were moved to make room.
        """
        unplaced = [
            placed
            for placed in self._placed.values()
            if placed.placement is None
        ]
        if not unplaced or (
            not ignores_interval and self._is_search_deferred()
        ):
            return set()
        moved: set[int] = set()
        if not self._place_without_moving(unplaced):
            moved = self._place_all()
        self._report_changes()
        return moved

    def _is_search_deferred(self) -> bool:
        """Whether a large site was searched within the search interval.

        If so, a timer is set for the end of the interval. At the start of a
        site thousands of workers join one by one, and each search visits all
        workers.
        """
        state = self._state
        due = self._searched_at + _SEARCH_INTERVAL
        is_large = len(state.inventory) > _LARGE_SITE_WORKERS
        if is_large and state.now < due:
            state.timers.set(Deadline(DeadlineKind.guarantees), due)
            return True
        self._searched_at = state.now
        return False

    def _place_without_moving(self, unplaced: list[PlacedGuarantee]) -> bool:
        """Place guarantees without moving others; True if all fit.

        The first try leaves the accelerators of firm gangs out, because these
        gangs cannot be stopped for the owner of a guarantee.
        """
        for excludes_firm in (True, False):
            still_unplaced = [
                placed for placed in unplaced if placed.placement is None
            ]
            placements = place_jointly(
                [placed.guarantee for placed in still_unplaced],
                self._capacities(
                    excludes_firm=excludes_firm, excludes_guaranteed=True
                ),
                self._state.placer,
            )
            if placements is not None:
                for placed, placement in zip(
                    still_unplaced, placements, strict=True
                ):
                    self._set_placement(placed, placement)
                return True
        return False

    def _place_all(self) -> set[int]:
        """Place all guarantees anew, or the unplaced ones one by one.

        Returns the identifiers of the guarantees that were moved.
        """
        all_guarantees = list(self._placed.values())
        placements = place_jointly(
            [placed.guarantee for placed in all_guarantees],
            self._capacities(excludes_firm=False, excludes_guaranteed=False),
            self._state.placer,
        )
        if placements is None:
            self._place_one_by_one(all_guarantees)
            return set()
        moved = set()
        changed = [
            (placed, placement)
            for placed, placement in zip(
                all_guarantees, placements, strict=True
            )
            if placed.placement != placement
        ]
        for placed, _ in changed:
            if placed.placement is not None:
                self._remove_placement(placed)
                moved.add(placed.guarantee_id)
        for placed, placement in changed:
            self._set_placement(placed, placement)
        return moved

    def _place_one_by_one(self, all_guarantees: list[PlacedGuarantee]) -> None:
        capacity = CapacityMap()
        racks = {}
        for worker in self._capacities(
            excludes_firm=False, excludes_guaranteed=True
        ):
            racks[worker.worker_id] = worker.rack
            capacity.set(worker.rack, worker.worker_id, worker.accelerators)
        for placed in all_guarantees:
            if placed.placement is not None:
                continue
            placement = find_placement(
                placed.guarantee, capacity, self._state.placer
            )
            if placement is not None:
                self._set_placement(placed, placement)
            for share in placement or ():
                rack = racks[share.worker_id]
                left = capacity.count(rack, share.worker_id)
                left -= share.accelerators
                capacity.set(rack, share.worker_id, left)

    def _capacities(
        self, *, excludes_firm: bool, excludes_guaranteed: bool
    ) -> list[WorkerCapacity]:
        return [
            WorkerCapacity(
                worker.rack,
                worker.worker.worker_id,
                _capacity_for_guarantees(
                    worker, excludes_firm, excludes_guaranteed
                ),
            )
            for worker in self._state.inventory
        ]

    def _set_placement(
        self, placed: PlacedGuarantee, placement: Placement
    ) -> None:
        placed.placement = placement
        self._change_guaranteed(placed, placement, 1)

    def _remove_placement(self, placed: PlacedGuarantee) -> None:
        placement = placed.placement or ()
        placed.placement = None
        placed.clear_use()
        self._change_guaranteed(placed, placement, -1)

    def _change_guaranteed(
        self, placed: PlacedGuarantee, placement: Placement, sign: int
    ) -> None:
        is_urgent = placed.guarantee.is_urgent
        for share in placement:
            worker = self._state.inventory.find(share.worker_id)
            if worker is not None:
                worker.guaranteed += sign * share.accelerators
                if is_urgent:
                    worker.urgent_guaranteed += sign * share.accelerators
                self._state.inventory.refresh(worker)
        self._state.capacity_changed()

    def _report_changes(self) -> None:
        for placed in self._placed.values():
            is_honoured = placed.placement is not None
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
    worker: WorkerState, excludes_firm: bool, excludes_guaranteed: bool
) -> int:
    if worker.lost_at is not None or worker.is_quarantined:
        return 0
    capacity = worker.worker.accelerators
    if excludes_guaranteed:
        capacity -= worker.guaranteed
    if excludes_firm:
        capacity -= worker.firm.accelerators
    return max(0, capacity)


def _pop_equal(
    candidates: dict[int, PlacedGuarantee], guarantee: Guarantee
) -> PlacedGuarantee | None:
    for guarantee_id, placed in candidates.items():
        if placed.guarantee == guarantee:
            return candidates.pop(guarantee_id)
    return None


def _by_size(placed: PlacedGuarantee) -> tuple[int, int]:
    return (placed.guarantee.shape.accelerators, placed.guarantee_id)
