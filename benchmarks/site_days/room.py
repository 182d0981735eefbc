"""Amounts of a worker's resources, and the shares of them that are used."""

from dataclasses import dataclass

__all__ = ('Room', 'Use')


@dataclass(frozen=True, slots=True)
class Room:
    """Resources: millicores, MB of memory and accelerators."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Room') -> 'Room':
        """Return the sum."""
        return Room(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Room') -> 'Room':
        """Return the difference."""
        return Room(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fit_count(self, needs: 'Room') -> int:
        """Return how many tasks with these needs fit."""
        pairs = (
            (self.millicores, needs.millicores),
            (self.memory_mb, needs.memory_mb),
            (self.accelerators, needs.accelerators),
        )
        return max(
            0, min((free // need for free, need in pairs if need), default=0)
        )


@dataclass(frozen=True, slots=True)
class Use:
    """Shares of the workers' resources that runs hold, from 0 to 1."""

    cores: float = 1
    memory: float = 1
    accelerators: float = 1

    @property
    def most(self) -> float:
        """Share of the resource that is used most."""
        return max(self.cores, self.memory, self.accelerators)

    @classmethod
    def of(cls, free: Room, total: Room) -> 'Use':
        """Return the shares of a total that are not free."""
        return cls(
            1 - free.millicores / total.millicores,
            1 - free.memory_mb / total.memory_mb,
            1 - free.accelerators / total.accelerators
            if total.accelerators
            else 0,
        )
