"""Ends of runs of earlier incarnations that have not been recorded."""

from collections.abc import Callable, Iterable, Iterator

from dragonflynotch.workflows.records import (
    EarlierEnd,
    Order,
    RunEnd,
    encode_row,
)

__all__ = ('EarlierEnds', 'take_fitting')

# Keeps the row of the report, which has other lists, below the 64 KiB that a
# store may allow.
_MAX_BYTES = 16_384


class EarlierEnds:
    """Ends that outlast their minion in the reports of its guard.

    A report replaces the one before it, which a leader may not have read. The
    ends in it are repeated until their orders are gone.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._ends: dict[tuple[str, str, int], EarlierEnd] = {}

    @property
    def minion_ids(self) -> set[str]:
        """Incarnations with ends that may not have been recorded."""
        return {end.minion_id for end in self._ends.values()}

    def add(self, minion_id: str, ends: Iterable[RunEnd]) -> None:
        """Add the unrecorded ends of an incarnation."""
        self.restore(EarlierEnd(minion_id, end) for end in ends)

    def restore(self, ends: Iterable[EarlierEnd]) -> None:
        """Add ends that an earlier guard process reported."""
        for earlier in ends:
            key = (earlier.minion_id, earlier.end.task, earlier.end.run)
            self._ends.setdefault(key, earlier)

    def unrecorded(
        self,
        find_order: Callable[[str, str], Order | None],
        is_loaded: Callable[[str], bool],
    ) -> list[EarlierEnd]:
        """Return the ends to report, and forget those that are recorded.

        Parameters
        ----------
        find_order : callable
            Returns the order of a minion for a task, or ``None``.
        is_loaded : callable
            Whether the orders of a minion have been read.

        Returns
        -------
        list of EarlierEnd
            The oldest first, as many as fit into a report.
        """
        self._ends = {
            key: earlier
            for key, earlier in self._ends.items()
            if not is_loaded(earlier.minion_id)
            or _is_ordered(earlier, find_order)
        }
        return list(take_fitting(self._ends.values()))


def _is_ordered(
    earlier: EarlierEnd, find_order: Callable[[str, str], Order | None]
) -> bool:
    order = find_order(earlier.minion_id, earlier.end.task)
    return order is not None and order.run == earlier.end.run


def take_fitting(ends: Iterable[EarlierEnd]) -> Iterator[EarlierEnd]:
    """Iterate over the ends that fit into a report, in order."""
    size = 0
    for earlier in ends:
        end_size = len(encode_row(earlier))
        if size + end_size <= _MAX_BYTES:
            size += end_size
            yield earlier
