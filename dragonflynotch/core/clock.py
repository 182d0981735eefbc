"""The clock interface that every part receives instead of reading the time."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

__all__ = ('Clock', 'ManualClock', 'SystemClock')


class Clock(ABC):
    """Source of the current time."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the current time, aware and in UTC."""


class SystemClock(Clock):
    """Wall time at construction, advanced by the monotonic clock.

    The time never steps back, so time-to-live comparisons stay valid when the
    operating system's clock is corrected.
    """

    def __init__(self) -> None:
        """Read the wall clock once."""
        self._wall = datetime.now(UTC)
        self._monotonic_s = time.monotonic()

    def now(self) -> datetime:
        """Return the start time plus the monotonic time passed since."""
        elapsed_s = time.monotonic() - self._monotonic_s
        return self._wall + timedelta(seconds=elapsed_s)


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and replays."""

    def __init__(self, start: datetime | None = None) -> None:
        """Start at ``start``, or at a fixed date."""
        self._now = start or datetime(2026, 1, 1, tzinfo=UTC)

    def now(self) -> datetime:
        """Return the time set last."""
        return self._now

    def advance(self, duration: timedelta) -> datetime:
        """Move the clock forward.

        Parameters
        ----------
        duration : timedelta
            How far to move; must not be negative.

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
