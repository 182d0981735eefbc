"""Virtual clock and event queue of the discrete-event replay."""

import heapq
from collections.abc import Callable
from datetime import datetime, timedelta
from itertools import count

from dragonflynotch.core.events import Event

__all__ = ('Agenda', 'Step')

Step = Callable[[], tuple[Event, ...]]


class Agenda:
    """Priority queue of steps, ordered by time and then by insertion."""

    def __init__(self, now: datetime) -> None:
        """Start the clock at a time with an empty queue."""
        self._now = now
        self._steps: list[tuple[datetime, int, Step]] = []
        self._sequence = count()

    @property
    def now(self) -> datetime:
        """Current virtual time, which is the time of the last step."""
        return self._now

    @property
    def next_at(self) -> datetime | None:
        """Time of the next step, or None if the queue is empty."""
        return self._steps[0][0] if self._steps else None

    def add(self, at: datetime, step: Step) -> None:
        """Schedule a step; a time in the past is replaced by now."""
        entry = (max(at, self._now), next(self._sequence), step)
        heapq.heappush(self._steps, entry)

    def add_after(self, delay: timedelta, step: Step) -> None:
        """Schedule a step after a delay."""
        self.add(self._now + delay, step)

    def run_next(self) -> tuple[Event, ...]:
        """Advance the clock to the next step and return its events."""
        at, _, step = heapq.heappop(self._steps)
        self._now = at
        return step()
