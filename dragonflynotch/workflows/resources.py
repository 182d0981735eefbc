"""Amounts of processor time, memory and accelerators."""

from dataclasses import dataclass

__all__ = ('Resources',)


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of the resources of a worker or a task.

    Parameters
    ----------
    millicores : int
        Processor time, in thousandths of a core.
    memory_mb : int
        Memory, in megabytes.
    accelerators : int
        Number of accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Return the difference, which may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> 'Resources':
        """Return ``count`` times these resources."""
        return Resources(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def without_deficits(self) -> 'Resources':
        """Return these resources with 0 in place of negative amounts."""
        return Resources(
            max(0, self.millicores),
            max(0, self.memory_mb),
            max(0, self.accelerators),
        )

    def covers(self, other: 'Resources') -> bool:
        """Return whether ``other`` fits into these resources."""
        return (
            self.millicores >= other.millicores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def fit_count(self, other: 'Resources') -> int:
        """Return how many times ``other`` fits into these resources.

        Nothing fits where any amount is negative, even if ``other`` does not
        need that resource.
        """
        if not self.covers(other):
            return 0
        counts = [
            available // needed
            for available, needed in (
                (self.millicores, other.millicores),
                (self.memory_mb, other.memory_mb),
                (self.accelerators, other.accelerators),
            )
            if needed > 0
        ]
        return min(counts, default=_UNBOUNDED_COUNT)

    def dominant_share_of(self, total: 'Resources') -> float:
        """Return the largest share of any resource in ``total``."""
        return max(
            used / whole if whole > 0 else float(used > 0)
            for used, whole in (
                (self.millicores, total.millicores),
                (self.memory_mb, total.memory_mb),
                (self.accelerators, total.accelerators),
            )
        )


# Result of ``fit_count`` for a task that needs no resources.
_UNBOUNDED_COUNT = 1_000_000
