"""The virtual clock of a replay: what happens next, in order of time."""

import heapq
from collections.abc import Callable
from datetime import datetime, timedelta
from itertools import count

from dragonflynotch.core.events import Event

__all__ = ('Agenda', 'Step')

Step = Callable[[], tuple[Event, ...]]


class Agenda:
    """Steps ordered by time, then by the order in which they were added."""

    def __init__(self, now: datetime) -> None:
        """Start at a time, without steps."""
        self._now = now
        self._steps: list[tuple[datetime, int, Step]] = []
        self._order = count()

    @property
    def now(self) -> datetime:
        """Time of the last step."""
        return self._now

    @property
    def next_at(self) -> datetime | None:
        """Time of the next step, or None."""
        return self._steps[0][0] if self._steps else None

    def add(self, at: datetime, step: Step) -> None:
        """Plan a step; a time in the past means now."""
        entry = (max(at, self._now), next(self._order), step)
        heapq.heappush(self._steps, entry)

    def add_after(self, delay: timedelta, step: Step) -> None:
        """Plan a step after a delay."""
        self.add(self._now + delay, step)

    def run_next(self) -> tuple[Event, ...]:
        """Move to the next step and return the events it produces."""
        at, _, step = heapq.heappop(self._steps)
        self._now = at
        return step()
