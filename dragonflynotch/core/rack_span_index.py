"""Index of the capacity of spans of consecutive racks."""

from collections.abc import Iterator

from sortedcontainers import SortedList

__all__ = ('RackSpanIndex',)

# Level and first position.
Window = tuple[int, int]


class RackSpanIndex:
    """Sums of capacity over windows of rack positions.

    Windows of level ``n`` have ``2**n`` positions and start at each multiple
    of ``2**(n - 1)``, so each position belongs to two windows of a level and
    each span of at most ``2**(n - 1) + 1`` positions lies inside one window.
    An update therefore costs O(log racks), and a search does not scan all
    racks.
    """

    def __init__(self) -> None:
        """Start without racks."""
        self._capacity: dict[int, int] = {}
        self._sums: dict[Window, int] = {}
        self._levels: list[SortedList] = [SortedList()]
        self._lowest = 0
        self._highest = 0

    def add(self, position: int, change: int) -> None:
        """Add to the capacity at a rack position."""
        self._include(position)
        self._capacity[position] += change
        for level in self._window_levels():
            for window in _windows_of(position, level):
                self._add_to_window(window, change)

    def spans(self, needed: int) -> Iterator[tuple[int, ...]]:
        """Yield short spans of consecutive positions with enough capacity.

        Parameters
        ----------
        needed : int
            Minimum capacity of a span.
        """
        for level in self._window_levels():
            first = self._levels[level].bisect_left((needed,))
            for _, start in self._levels[level].islice(first):
                span = self._shortest_span(start, 1 << level, needed)
                if span:
                    yield span

    def _window_levels(self) -> range:
        return range(1, len(self._levels))

    def _include(self, position: int) -> None:
        if position in self._capacity:
            return
        if not self._capacity:
            self._lowest = position
            self._highest = position
        self._capacity[position] = 0
        self._lowest = min(self._lowest, position)
        self._highest = max(self._highest, position)
        extent = self._highest - self._lowest + 1
        while extent > 1 and 1 << (len(self._levels) - 1) < 2 * extent:
            self._append_level()

    def _append_level(self) -> None:
        level = len(self._levels)
        self._levels.append(SortedList())
        for position, capacity in self._capacity.items():
            for window in _windows_of(position, level):
                self._add_to_window(window, capacity)

    def _add_to_window(self, window: Window, change: int) -> None:
        level, start = window
        before = self._sums.get(window)
        if before is not None:
            if not change:
                return
            self._levels[level].remove((before, start))
        after = (before or 0) + change
        self._sums[window] = after
        self._levels[level].add((after, start))

    def _shortest_span(
        self, start: int, length: int, needed: int
    ) -> tuple[int, ...]:
        """Return the shortest sufficient span in a window.

        Among spans of equal length, the one with the least capacity is chosen.
        """
        best: tuple[int, int, int] | None = None
        total = 0
        first = start
        for position in range(start, start + length):
            capacity = self._capacity.get(position)
            if capacity is None:
                total = 0
                first = position + 1
                continue
            total += capacity
            while total - self._capacity.get(first, 0) >= needed:
                total -= self._capacity[first]
                first += 1
            if total >= needed:
                found = (position - first, total, first)
                best = min(best or found, found)
        if best is None:
            return ()
        return tuple(range(best[2], best[2] + best[0] + 1))


def _windows_of(position: int, level: int) -> tuple[Window, Window]:
    step = 1 << (level - 1)
    last = position // step * step
    return (level, last), (level, last - step)
