"""Pending deadlines of a partition, in the order of their time."""

from collections.abc import Hashable, Iterator
from datetime import datetime
from heapq import heappop, heappush
from itertools import count

__all__ = ('Timers',)


class Timers:
    """Deadlines by key; setting a key again replaces its deadline."""

    def __init__(self) -> None:
        """Start without deadlines."""
        self._deadlines: dict[Hashable, tuple[datetime, int]] = {}
        self._heap: list[tuple[datetime, int, Hashable]] = []
        self._sequence = count()

    @property
    def next_deadline(self) -> datetime | None:
        """The earliest deadline, or None."""
        self._drop_outdated()
        return self._heap[0][0] if self._heap else None

    def set(self, key: Hashable, deadline: datetime) -> None:
        """Set or replace the deadline of a key."""
        sequence_number = next(self._sequence)
        self._deadlines[key] = (deadline, sequence_number)
        heappush(self._heap, (deadline, sequence_number, key))

    def cancel(self, key: Hashable) -> None:
        """Remove the deadline of a key, if it has one."""
        self._deadlines.pop(key, None)

    def pop_due(self, now: datetime) -> Iterator[Hashable]:
        """Remove and yield the keys of reached deadlines, earliest first."""
        while True:
            deadline = self.next_deadline
            if deadline is None or deadline > now:
                return
            key = heappop(self._heap)[2]
            self._deadlines.pop(key)
            yield key

    def _drop_outdated(self) -> None:
        heap = self._heap
        while heap and self._deadlines.get(heap[0][2]) != heap[0][:2]:
            heappop(heap)
