"""Writes of this entry whose outcome is unknown."""

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.control.rows import RowName

__all__ = ('UnsettledWrites',)

# The store may carry out a write some seconds after it lost the response.
_RETENTION_MS = 60_000
_MAX_WRITES = 10_000


class UnsettledWrites:
    """Remembers writes without a response until their outcome is known.

    A repeated call must not be refused as not accepted while an earlier write
    of the same row may still be carried out.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create an empty record."""
        self._clock = clock
        # Time of the last write, by row, the oldest first.
        self._written_ms: dict[RowName, int] = {}

    def add(self, name: RowName) -> None:
        """Record a write without a response."""
        self._written_ms.pop(name, None)
        if len(self._written_ms) >= _MAX_WRITES:
            del self._written_ms[next(iter(self._written_ms))]
        self._written_ms[name] = self._clock.now_ms()

    def remove(self, name: RowName) -> None:
        """Record that the store has answered for the row."""
        self._written_ms.pop(name, None)

    def contains(self, name: RowName) -> bool:
        """Return whether a write of the row may still be carried out."""
        written_ms = self._written_ms.get(name)
        if written_ms is None:
            return False
        return self._clock.now_ms() - written_ms < _RETENTION_MS
