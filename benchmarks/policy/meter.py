"""Time averages of fragmentation and utilisation in one data centre."""

from collections import Counter
from collections.abc import Mapping
from datetime import datetime

from benchmarks.policy.holdings import Holdings
from benchmarks.policy.trace import Site
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker

__all__ = ('Meter',)


class Meter:
    """Averages the state of a data centre over the arrival period.

    A free accelerator is unusable if its domain (worker, rack or run of
    adjacent racks) has too few free ones for the largest waiting shape that
    the present workers could hold if they were idle.

    Parameters
    ----------
    site : Site
        Data centre.
    holdings : Holdings
        Accelerators in use.
    waiting : Counter of Shape
        Number of waiting jobs by shape, kept by the caller.
    now, until : datetime
        Beginning and end of the averaged period.
    """

    def __init__(
        self,
        site: Site,
        holdings: Holdings,
        waiting: Counter[Shape],
        now: datetime,
        until: datetime,
    ) -> None:
        """Start at ``now`` with all sums at zero."""
        self._workers = site.workers
        self._holdings = holdings
        self._waiting = waiting
        self._now = now
        self._until = until
        self._elapsed_s: float = 0
        self._fragmented_s: float = 0
        self._unusable_s: float = 0
        self._held_s: float = 0
        self._present_s: float = 0

    @property
    def fragmentation(self) -> float:
        """Time average of the share of unusable free accelerators."""
        return self._fragmented_s / max(self._elapsed_s, 1)

    @property
    def unusable(self) -> float:
        """Time average of the number of unusable free accelerators."""
        return self._unusable_s / max(self._elapsed_s, 1)

    @property
    def utilisation(self) -> float:
        """Ratio of held to present accelerator time."""
        return self._held_s / max(self._present_s, 1)

    def advance(self, now: datetime) -> None:
        """Add the state since the last call, before it changes at ``now``."""
        until = min(now, self._until)
        seconds = (until - self._now).total_seconds()
        if seconds <= 0:
            return
        self._now = until
        free = self._holdings.free
        total = sum(free.values())
        unusable = self._count_unusable(free)
        self._elapsed_s += seconds
        self._held_s += self._holdings.held * seconds
        self._present_s += self._holdings.present * seconds
        self._unusable_s += unusable * seconds
        if total:
            self._fragmented_s += unusable / total * seconds

    def _count_unusable(self, free: Mapping[str, int]) -> int:
        present = [
            worker for worker in self._workers if worker.worker_id in free
        ]
        idle = {worker.worker_id: worker.accelerators for worker in present}
        largest = max(
            (
                shape
                for shape, count in self._waiting.items()
                if count and _fits_when_idle(shape, present, idle)
            ),
            key=_size_key,
            default=None,
        )
        if largest is None:
            return 0
        return sum(
            count
            for count in _free_by_domain(largest.proximity, present, free)
            if count < largest.accelerators
        )


def _size_key(shape: Shape) -> tuple[int, int]:
    return (shape.accelerators, -_PROXIMITIES.index(shape.proximity))


_PROXIMITIES = tuple(Proximity)


def _fits_when_idle(
    shape: Shape, present: list[Worker], idle: Mapping[str, int]
) -> bool:
    sums = _free_by_domain(shape.proximity, present, idle)
    return max(sums, default=0) >= shape.accelerators


def _free_by_domain(
    proximity: Proximity, present: list[Worker], free: Mapping[str, int]
) -> list[int]:
    if proximity is Proximity.worker:
        return [free[worker.worker_id] for worker in present]
    racks: Counter[int] = Counter()
    for worker in present:
        racks[worker.rack_position] += free[worker.worker_id]
    if proximity is Proximity.rack:
        return list(racks.values())
    adjacent_sums: list[int] = []
    previous: int | None = None
    for position in sorted(racks):
        if previous is not None and position == previous + 1:
            adjacent_sums[-1] += racks[position]
        else:
            adjacent_sums.append(racks[position])
        previous = position
    return adjacent_sums
