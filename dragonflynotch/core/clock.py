"""Clock interface, passed to all code that needs the current time."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ('Clock', 'ManualClock', 'SystemClock')


class Clock(ABC):
    """Source of the current time."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the current time as an aware datetime in UTC."""


class SystemClock(Clock):
    """Wall-clock time at construction, advanced by the monotonic clock.

    The time never steps back, so time-to-live comparisons stay valid when the
    wall clock of the operating system is corrected.
    """

    def __init__(self) -> None:
        """Read the wall clock once."""
        self._started_at = datetime.now(UTC)
        self._monotonic_start_s = time.monotonic()

    def now(self) -> datetime:
        """Return the start time plus the monotonic time elapsed since."""
        elapsed_s = time.monotonic() - self._monotonic_start_s
        return self._started_at + timedelta(seconds=elapsed_s)


class ManualClock(Clock):
    """Clock that only advances explicitly, for tests and replays."""

    def __init__(self, start: datetime | None = None) -> None:
        """Start at ``start``, or at 2026-01-01 by default."""
        self._now = start or datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return the time that the clock was last advanced to."""
        return self._now

    def advance(self, duration: timedelta) -> datetime:
        """Advance the clock.

        Parameters
        ----------
        duration : timedelta
            How far to advance; must not be negative.

        Returns
        -------
        datetime
            The new time.

        Raises
        ------
        ValueError
            If ``duration`` is negative.
        """
        if duration < timedelta():
            raise ValueError(f'duration must not be negative: {duration!r}')
        self._now += duration
        return self._now
