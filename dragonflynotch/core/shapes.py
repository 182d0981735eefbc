"""Shapes: how many accelerators a gang needs and how close they must be."""

from dataclasses import dataclass
from enum import Enum

__all__ = ('Proximity', 'Shape')


class Proximity(Enum):
    """How close the accelerators of a gang must be."""

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
        ``worker``: all on one worker; ``rack``: on workers of one rack;
        ``adjacent_racks``: on a run of consecutive racks of one data centre.

    Examples
    --------
    >>> Shape(8, Proximity.worker).accelerators
    8
    """

    accelerators: int
    proximity: Proximity = Proximity.rack

    def __post_init__(self) -> None:
        """Reject impossible sizes."""
        if self.accelerators < 0:
            raise ValueError(
                f'accelerators must not be negative: {self.accelerators!r}'
            )
