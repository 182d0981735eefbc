"""Job classes of the two generated workloads.

The share of a class is its part of the offered accelerator time; the number
of arrivals is derived from it.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from dragonflynotch.core.jobs import PriorityClass
from dragonflynotch.core.shapes import Proximity, Shape

__all__ = ('CLASSES', 'JobClass')


@dataclass(frozen=True, slots=True)
class JobClass:
    """Distributions from which the jobs of one class are drawn.

    Parameters
    ----------
    name : str
        Name of the class.
    workspaces : tuple of str
        Workspaces that submit jobs of the class.
    share : float
        Share of the offered accelerator time.
    shapes : tuple of Shape
        Shapes, drawn with equal probability; a repeated shape is drawn more
        often.
    hours : tuple of (float, float)
        Periods of the day during which jobs arrive, as start and end hours.
    minutes : tuple of (float, float)
        Median run time in minutes and sigma of its log-normal distribution.
    priority : PriorityClass
        Scheduling class.
    due_after_hours : float or None
        Deadline in hours after the arrival.
    due_at_hour : float or None
        Deadline in hours after the midnight that precedes the arrival; a
        value above 24 lies on the following day.
    is_checkpointable : bool
        Whether the jobs can be checkpointed.
    """

    name: str
    workspaces: tuple[str, ...]
    share: float
    shapes: tuple[Shape, ...]
    hours: tuple[tuple[float, float], ...]
    minutes: tuple[float, float]
    priority: PriorityClass = PriorityClass.normal
    due_after_hours: float | None = None
    due_at_hour: float | None = None
    is_checkpointable: bool = True


def _worker_shapes(*counts: int) -> tuple[Shape, ...]:
    return tuple(Shape(count, Proximity.worker) for count in counts)


def _rack_shapes(*counts: int) -> tuple[Shape, ...]:
    return tuple(Shape(count, Proximity.rack) for count in counts)


_ALL_DAY: Final = ((0, 24),)
_ACROSS_RACKS: Final = Shape(32, Proximity.adjacent_racks)

_TAVUA: Final = (
    JobClass(
        'resort',
        ('resorts',),
        share=0.08,
        shapes=_worker_shapes(2, 4),
        hours=((5, 22),),
        minutes=(8, 0.6),
        priority=PriorityClass.urgent,
        due_after_hours=1,
        is_checkpointable=False,
    ),
    JobClass(
        'checklist',
        ('kitchens', 'head-office'),
        share=0.12,
        shapes=_worker_shapes(1, 1, 2, 4),
        hours=((5, 7), (13, 15), (21, 23)),
        minutes=(5, 0.6),
        due_after_hours=2,
        is_checkpointable=False,
    ),
    JobClass(
        'audit',
        ('inspectorate',),
        share=0.2,
        shapes=_worker_shapes(4, 8),
        hours=((7, 16),),
        minutes=(25, 0.6),
        due_after_hours=3,
    ),
    JobClass(
        'photo',
        ('head-office', 'kitchens'),
        share=0.4,
        shapes=(*_worker_shapes(4, 8), *_rack_shapes(12, 16)),
        hours=_ALL_DAY,
        minutes=(70, 0.8),
        priority=PriorityClass.batch,
        due_at_hour=32,
    ),
    JobClass(
        'retraining',
        ('head-office',),
        share=0.2,
        shapes=(*_rack_shapes(24), _ACROSS_RACKS),
        hours=_ALL_DAY,
        minutes=(60, 0.6),
        priority=PriorityClass.batch,
    ),
)

_RAVI: Final = (
    JobClass(
        'dispatch',
        ('dispatch',),
        share=0.05,
        shapes=_worker_shapes(1, 2),
        hours=((6, 18),),
        minutes=(6, 0.6),
        priority=PriorityClass.urgent,
        due_after_hours=0.5,
        is_checkpointable=False,
    ),
    JobClass(
        'quote',
        ('planning-north', 'planning-south'),
        share=0.08,
        shapes=_worker_shapes(1, 2, 4),
        hours=((7, 17),),
        minutes=(10, 0.8),
        due_after_hours=4,
        is_checkpointable=False,
    ),
    JobClass(
        'recut',
        ('planning-north', 'planning-south'),
        share=0.35,
        shapes=(*_worker_shapes(8), *_rack_shapes(12, 16)),
        hours=((7, 12),),
        minutes=(60, 0.7),
        due_at_hour=30,
    ),
    JobClass(
        'overnight',
        ('overnight',),
        share=0.3,
        shapes=(*_worker_shapes(4, 8), *_rack_shapes(12)),
        hours=((14, 24),),
        minutes=(60, 0.8),
        priority=PriorityClass.batch,
        due_at_hour=34,
    ),
    JobClass(
        'overnight-large',
        ('overnight', 'planning-north'),
        share=0.22,
        shapes=(*_rack_shapes(20, 24), _ACROSS_RACKS),
        hours=((0, 2), (14, 24)),
        minutes=(80, 0.6),
        priority=PriorityClass.batch,
        due_at_hour=34,
    ),
)

CLASSES: Final[Mapping[str, tuple[JobClass, ...]]] = MappingProxyType(
    {
        'tavua': _TAVUA,
        'ravi': _RAVI,
    }
)
