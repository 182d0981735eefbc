"""Monotonic clocks of this process and bounds on the time of the store."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

__all__ = (
    'BootClock',
    'Deadline',
    'ManualSteadyClock',
    'SteadyClock',
    'StoreClock',
)

_NS_PER_MS = 1_000_000
# Two clocks whose rates differ by 0.1% drift 10 ms apart in this time.
_MAX_READING_AGE_MS = 10_000


class SteadyClock(ABC):
    """Clock that never goes back."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start."""


class BootClock(SteadyClock):
    """Clock that also counts the time for which the machine is suspended.

    ``time.monotonic`` does not count it, so a lease would seem valid for too
    long.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the machine started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


class ManualSteadyClock(SteadyClock):
    """Clock for tests that only moves when it is advanced."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at ``start_ms``."""
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current time of the clock."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward."""
        self._now_ms += duration_ms


class Deadline:
    """End of the time that a caller gives to a call.

    Parameters
    ----------
    clock : SteadyClock
        Measures the time since the start of the call, which is now.
    limit : timedelta
        Time from the start of the call to the deadline.
    """

    def __init__(self, clock: SteadyClock, limit: timedelta) -> None:
        """Start the call."""
        self._clock = clock
        self._limit = limit
        self._started_ms = clock.now_ms()

    @property
    def elapsed(self) -> timedelta:
        """Time since the start of the call."""
        return timedelta(milliseconds=self._clock.now_ms() - self._started_ms)

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; 0 if it has passed."""
        return max(timedelta(), self._limit - self.elapsed).total_seconds()

    @property
    def has_passed(self) -> bool:
        """Whether the deadline has passed."""
        return self.elapsed >= self._limit


@dataclass(frozen=True, slots=True)
class _Offset:
    """Offset of the store clock from the local clock, with its local time."""

    ms: int
    local_ms: int


class StoreClock:
    """Bounds on the monotonic time of the store.

    Each response of the store contains its time, read between the sending of
    the request and the receipt of the response. Each bound is taken from the
    recent response that gives the tightest one: a response that the store held
    back gives only a loose upper bound.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create the clock without a reading of the store's time."""
        self._clock = clock
        self._earliest: _Offset | None = None
        self._latest: _Offset | None = None
        self._responded_ms: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store has responded yet."""
        return self._responded_ms is not None

    @property
    def age_ms(self) -> int:
        """Milliseconds since the last response of the store."""
        return self._clock.now_ms() - (self._responded_ms or 0)

    @property
    def is_fresh(self) -> bool:
        """Whether the last response is recent enough to pass the bounds on."""
        return self.is_known and self.age_ms <= _MAX_READING_AGE_MS

    def observe(self, store_ms: int, sent_ms: int) -> None:
        """Update the bounds from the response to a request.

        Parameters
        ----------
        store_ms : int
            Time of the store in the response.
        sent_ms : int
            Local time at which the request was sent.
        """
        self.observe_bounds(store_ms, store_ms, sent_ms)

    def observe_bounds(
        self, earliest_ms: int, latest_ms: int, sent_ms: int
    ) -> None:
        """Update the bounds from those that another process has.

        Parameters
        ----------
        earliest_ms, latest_ms : int
            Bounds on the time of the store at some moment after ``sent_ms``.
        sent_ms : int
            Local time at which that process was asked.
        """
        now_ms = self._clock.now_ms()
        self._responded_ms = now_ms
        earliest = _Offset(earliest_ms - now_ms, now_ms)
        latest = _Offset(latest_ms - sent_ms, now_ms)
        if self._is_outdated(self._earliest) or (
            self._earliest is not None and earliest.ms >= self._earliest.ms
        ):
            self._earliest = earliest
        if self._is_outdated(self._latest) or (
            self._latest is not None and latest.ms <= self._latest.ms
        ):
            self._latest = latest

    def earliest_ms(self) -> int:
        """Return a lower bound on the time of the store."""
        if self._earliest is None:
            return 0
        return self._clock.now_ms() + self._earliest.ms

    def latest_ms(self) -> int:
        """Return an upper bound on the time of the store."""
        if self._latest is None:
            return 0
        return self._clock.now_ms() + self._latest.ms

    def _is_outdated(self, offset: _Offset | None) -> bool:
        # Clocks drift apart, so a bound is replaced when it is too old.
        return (
            offset is None
            or self._clock.now_ms() - offset.local_ms > _MAX_READING_AGE_MS
        )
