"""Free accelerators, indexed by worker, by rack and by run of racks."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from dragonflynotch.core.run_index import RunIndex

__all__ = ('CapacityMap', 'RackKey')

RackKey = tuple[int, str]
_Summary = tuple[int, frozenset[int]]
_EMPTY: _Summary = (0, frozenset())


class CapacityMap:
    """Number of usable accelerators of each worker, with indexes.

    Changes only mark their rack; the indexes are brought up to date before
    the next search, so a burst of changes to one rack costs one update.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._counts: dict[RackKey, dict[str, int]] = {}
        self._changed: dict[RackKey, None] = {}
        self._summaries: dict[RackKey, _Summary] = {}
        self._by_level = SortedDict()
        self._by_rack = SortedList()
        self._at_position: dict[int, dict[RackKey, None]] = {}
        self._runs = RunIndex()
        self._run_changes: dict[int, int] = {}

    def set(self, rack: RackKey, worker_id: str, usable: int) -> None:
        """Set the number of usable accelerators of a worker."""
        counts = self._counts.get(rack)
        if counts is None:
            counts = {}
            self._counts[rack] = counts
            self._at_position.setdefault(rack[0], {})[rack] = None
        if counts.get(worker_id) != usable:
            counts[worker_id] = usable
            self._changed[rack] = None

    def remove(self, rack: RackKey, worker_id: str) -> None:
        """Forget a worker."""
        if self._counts.get(rack, {}).pop(worker_id, None) is not None:
            self._changed[rack] = None

    def count(self, rack: RackKey, worker_id: str) -> int:
        """Return the number of usable accelerators of a worker."""
        return self._counts.get(rack, {}).get(worker_id, 0)

    def workers(self, rack: RackKey) -> Iterator[tuple[int, str]]:
        """Yield (usable accelerators, worker) of the workers of a rack."""
        for worker_id, usable in self._counts[rack].items():
            if usable:
                yield usable, worker_id

    def totals(self) -> list[tuple[RackKey, int]]:
        """Return the capacity of each rack in the order of the positions."""
        self._refresh()
        return sorted(
            (rack, summary[0]) for rack, summary in self._summaries.items()
        )

    def worker_ids(self, rack: RackKey) -> Iterator[str]:
        """Return the workers of a rack, with and without capacity."""
        return iter(self._counts[rack])

    def workers_with(self, needed: int) -> Iterator[tuple[int, str]]:
        """Yield workers with enough capacity, the tightest first.

        Among equals, workers of the fullest rack come first, which keeps
        empty racks whole.
        """
        self._refresh()
        for level in self._by_level.irange(max(needed, 1)):
            for _, rack in self._by_level[level]:
                for usable, worker_id in self.workers(rack):
                    if usable == level:
                        yield usable, worker_id

    def racks_with(self, needed: int) -> Iterator[RackKey]:
        """Yield racks with enough capacity, the tightest first."""
        self._refresh()
        first = self._by_rack.bisect_left((needed,))
        for _, rack in self._by_rack.islice(first):
            yield rack

    def runs_with(self, needed: int) -> Iterator[tuple[RackKey, ...]]:
        """Yield runs of consecutive racks with enough capacity."""
        self._refresh()
        for changed, change in self._run_changes.items():
            self._runs.add(changed, change)
        self._run_changes.clear()
        for positions in self._runs.runs(needed):
            yield tuple(
                rack
                for position in positions
                for rack in self._at_position[position]
            )

    def _refresh(self) -> None:
        for rack in self._changed:
            self._refresh_rack(rack)
        self._changed.clear()

    def _refresh_rack(self, rack: RackKey) -> None:
        counts = self._counts[rack].values()
        before = self._summaries.get(rack, _EMPTY)
        after = (sum(counts), frozenset(counts) - {0})
        if rack not in self._summaries:
            self._run_changes.setdefault(rack[0], 0)
        self._summaries[rack] = after
        if before == after:
            return
        self._replace_levels(rack, before, after)
        if before[0] != after[0]:
            self._by_rack.discard((before[0], rack))
            self._by_rack.add((after[0], rack))
            change = self._run_changes.get(rack[0], 0)
            self._run_changes[rack[0]] = change + after[0] - before[0]

    def _replace_levels(
        self, rack: RackKey, before: _Summary, after: _Summary
    ) -> None:
        for old in before[1]:
            entries = self._by_level[old]
            entries.remove((before[0], rack))
            if not entries:
                self._by_level.pop(old)
        for new in after[1]:
            self._by_level.setdefault(new, SortedList()).add((after[0], rack))
