"""Interface of the policies in the benchmark."""

from abc import ABC, abstractmethod
from datetime import datetime

from dragonflynotch.core.actions import Action
from dragonflynotch.core.events import Event

__all__ = ('Scheduler',)


class Scheduler(ABC):
    """Schedules the jobs of one data centre, event by event."""

    @property
    @abstractmethod
    def next_deadline(self) -> datetime | None:
        """When to deliver ``TimerFired``, or None."""

    @abstractmethod
    def handle(self, event: Event, now: datetime) -> tuple[Action, ...]:
        """Return the actions that answer an event.

        Parameters
        ----------
        event : Event
            What happened.
        now : datetime
            When it happened; never earlier than in the previous call.

        Returns
        -------
        tuple of Action
            Actions in the order in which they are carried out.
        """
