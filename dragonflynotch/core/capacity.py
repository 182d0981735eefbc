"""Usable accelerators, indexed by worker, rack and span of racks."""

from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from dragonflynotch.core.rack_span_index import RackSpanIndex

__all__ = ('CapacityMap', 'RackKey')

# Position of the rack in the data centre, and its name.
RackKey = tuple[int, str]
# Total of a rack, and the distinct non-zero counts of its workers.
_Summary = tuple[int, frozenset[int]]
_EMPTY: _Summary = (0, frozenset())


class CapacityMap:
    """Number of usable accelerators of each worker, with indexes.

    A change only marks its rack. The indexes are updated before the next
    search, so that many changes to one rack cost one update.
    """

    def __init__(self) -> None:
        """Create an empty map."""
        self._usable_by_worker: dict[RackKey, dict[str, int]] = {}
        self._changed_racks: dict[RackKey, None] = {}
        self._summaries: dict[RackKey, _Summary] = {}
        self._racks_by_usable = SortedDict()
        self._racks_by_total = SortedList()
        self._racks_at: dict[int, dict[RackKey, None]] = {}
        self._span_index = RackSpanIndex()
        self._span_changes: dict[int, int] = {}

    def set(self, rack: RackKey, worker_id: str, usable: int) -> None:
        """Set the number of usable accelerators of a worker."""
        counts = self._usable_by_worker.get(rack)
        if counts is None:
            counts = {}
            self._usable_by_worker[rack] = counts
            self._racks_at.setdefault(rack[0], {})[rack] = None
        if counts.get(worker_id) != usable:
            counts[worker_id] = usable
            self._changed_racks[rack] = None

    def remove(self, rack: RackKey, worker_id: str) -> None:
        """Remove a worker."""
        if (
            self._usable_by_worker.get(rack, {}).pop(worker_id, None)
            is not None
        ):
            self._changed_racks[rack] = None

    def count(self, rack: RackKey, worker_id: str) -> int:
        """Return the number of usable accelerators of a worker."""
        return self._usable_by_worker.get(rack, {}).get(worker_id, 0)

    def workers(self, rack: RackKey) -> Iterator[tuple[int, str]]:
        """Yield (usable accelerators, worker) of the rack's usable workers."""
        for worker_id, usable in self._usable_by_worker[rack].items():
            if usable:
                yield usable, worker_id

    def totals(self) -> list[tuple[RackKey, int]]:
        """Return the capacity of each rack, in the order of rack positions."""
        self._refresh()
        return sorted(
            (rack, summary[0]) for rack, summary in self._summaries.items()
        )

    def worker_ids(self, rack: RackKey) -> Iterator[str]:
        """Yield all workers of a rack, including those without capacity."""
        return iter(self._usable_by_worker[rack])

    def workers_with(self, needed: int) -> Iterator[tuple[int, str]]:
        """Yield workers with enough capacity, least capacity first.

        Among equals, workers of the rack with the least capacity come first,
        which leaves empty racks for larger shapes.
        """
        self._refresh()
        for count in self._racks_by_usable.irange(max(needed, 1)):
            for _, rack in self._racks_by_usable[count]:
                for usable, worker_id in self.workers(rack):
                    if usable == count:
                        yield usable, worker_id

    def racks_with(self, needed: int) -> Iterator[RackKey]:
        """Yield racks with enough capacity, least capacity first."""
        self._refresh()
        first = self._racks_by_total.bisect_left((needed,))
        for _, rack in self._racks_by_total.islice(first):
            yield rack

    def spans_with(self, needed: int) -> Iterator[tuple[RackKey, ...]]:
        """Yield spans of consecutive racks with enough capacity."""
        self._refresh()
        for changed, change in self._span_changes.items():
            self._span_index.add(changed, change)
        self._span_changes.clear()
        for positions in self._span_index.spans(needed):
            yield tuple(
                rack
                for position in positions
                for rack in self._racks_at[position]
            )

    def _refresh(self) -> None:
        for rack in self._changed_racks:
            self._refresh_rack(rack)
        self._changed_racks.clear()

    def _refresh_rack(self, rack: RackKey) -> None:
        counts = self._usable_by_worker[rack].values()
        before = self._summaries.get(rack, _EMPTY)
        after = (sum(counts), frozenset(counts) - {0})
        if rack not in self._summaries:
            self._span_changes.setdefault(rack[0], 0)
        self._summaries[rack] = after
        if before == after:
            return
        self._update_racks_by_usable(rack, before, after)
        if before[0] != after[0]:
            self._racks_by_total.discard((before[0], rack))
            self._racks_by_total.add((after[0], rack))
            change = self._span_changes.get(rack[0], 0)
            self._span_changes[rack[0]] = change + after[0] - before[0]

    def _update_racks_by_usable(
        self, rack: RackKey, before: _Summary, after: _Summary
    ) -> None:
        for old in before[1]:
            entries = self._racks_by_usable[old]
            entries.remove((before[0], rack))
            if not entries:
                self._racks_by_usable.pop(old)
        for new in after[1]:
            self._racks_by_usable.setdefault(new, SortedList()).add(
                (after[0], rack)
            )
