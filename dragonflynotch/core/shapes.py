"""Shapes: the number of accelerators of a gang and their proximity."""

from dataclasses import dataclass
from enum import Enum

__all__ = ('Proximity', 'Shape')


class Proximity(Enum):
    """Domain that must contain all accelerators of a gang."""

    worker = 'worker'
    rack = 'rack'
    adjacent_racks = 'adjacent_racks'


@dataclass(frozen=True, slots=True)
class Shape:
    """A number of accelerators and their proximity.

    Parameters
    ----------
    accelerators : int
        Number of accelerators; 0 for jobs that need only cores and memory.
    proximity : Proximity
        ``worker``: all on one worker; ``rack``: all in one rack;
        ``adjacent_racks``: all in consecutive racks of one data centre.

    Examples
    --------
    >>> Shape(8, Proximity.worker).accelerators
    8
    """

    accelerators: int
    proximity: Proximity = Proximity.rack

    def __post_init__(self) -> None:
        """Reject a negative number of accelerators."""
        if self.accelerators < 0:
            raise ValueError(
                f'accelerators must be 0 or more, got {self.accelerators!r}'
            )
