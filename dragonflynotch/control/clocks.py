"""Steady time of this process and bounds on the time of the store."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ('BootClock', 'ManualSteadyClock', 'SteadyClock', 'StoreClock')

_NS_PER_MS = 1_000_000
# Two clocks that differ by 0.1% are 10 ms apart after this time.
_LONGEST_READING_MS = 10_000


class SteadyClock(ABC):
    """Time that never steps back."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start."""


class BootClock(SteadyClock):
    """Clock that also counts the time while the machine is suspended.

    ``time.monotonic`` stops then, and a lease would seem valid for too long.
    """

    def now_ms(self) -> int:
        """Return milliseconds since the machine started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


class ManualSteadyClock(SteadyClock):
    """Clock that moves only when told to, for tests."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at ``start_ms``."""
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time set last."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward."""
        self._now_ms += duration_ms


@dataclass(frozen=True, slots=True)
class _Offset:
    """Time of the store less that of this process, at a local time."""

    ms: int
    local_ms: int


class StoreClock:
    """Bounds on the steady time of the store.

    Each answer of the store carries its time, read between the sending of the
    request and the receipt of the answer. The tightest readings of the last
    while are kept for each bound: the answer to a request that waited says
    little about the latest time.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create the clock without a reading."""
        self._clock = clock
        self._earliest: _Offset | None = None
        self._latest: _Offset | None = None
        self._received_ms: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store has answered yet."""
        return self._received_ms is not None

    @property
    def age_ms(self) -> int:
        """Time since the last answer of the store."""
        return self._clock.now_ms() - (self._received_ms or 0)

    def observe(self, store_ms: int, sent_ms: int) -> None:
        """Take a reading from an answer to a request sent at ``sent_ms``."""
        now_ms = self._clock.now_ms()
        self._received_ms = now_ms
        earliest = _Offset(store_ms - now_ms, now_ms)
        latest = _Offset(store_ms - sent_ms, now_ms)
        if self._is_old(self._earliest) or (
            self._earliest is not None and earliest.ms >= self._earliest.ms
        ):
            self._earliest = earliest
        if self._is_old(self._latest) or (
            self._latest is not None and latest.ms <= self._latest.ms
        ):
            self._latest = latest

    def earliest_ms(self) -> int:
        """Return a time that the store has certainly reached."""
        if self._earliest is None:
            return 0
        return self._clock.now_ms() + self._earliest.ms

    def latest_ms(self) -> int:
        """Return a time that the store has certainly not passed."""
        if self._latest is None:
            return 0
        return self._clock.now_ms() + self._latest.ms

    def _is_old(self, offset: _Offset | None) -> bool:
        # Clocks drift apart, so old readings are given up.
        return (
            offset is None
            or self._clock.now_ms() - offset.local_ms > _LONGEST_READING_MS
        )
