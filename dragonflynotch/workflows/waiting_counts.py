"""How many jobs wait for the start of their first task."""

from dataclasses import dataclass, field

__all__ = ('WaitingCounts',)


@dataclass(frozen=True, slots=True)
class WaitingCounts:
    """Accepted jobs without a started task.

    Parameters
    ----------
    counted_ms : int
        Store time at which they were counted.
    by_queue : dict of str to int
        Number of jobs by queue; queues without such jobs are left out.
    """

    counted_ms: int
    by_queue: dict[str, int] = field(default_factory=dict)
