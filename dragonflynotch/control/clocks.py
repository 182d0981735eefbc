"""Steady time of this process and bounds on the time of the store."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ('BootClock', 'ManualSteadyClock', 'SteadyClock', 'StoreClock')

_NS_PER_MS = 1_000_000


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
class _Reading:
    store_ms: int
    sent_ms: int
    received_ms: int


class StoreClock:
    """Bounds on the steady time of the store.

    Each answer of the store carries its time, read between the sending of the
    request and the receipt of the answer.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create the clock without a reading."""
        self._clock = clock
        self._reading: _Reading | None = None

    @property
    def is_known(self) -> bool:
        """Whether the store has answered yet."""
        return self._reading is not None

    @property
    def age_ms(self) -> int:
        """Time since the last answer of the store."""
        if self._reading is None:
            return self._clock.now_ms()
        return self._clock.now_ms() - self._reading.received_ms

    def observe(self, store_ms: int, sent_ms: int) -> None:
        """Take a reading from an answer to a request sent at ``sent_ms``."""
        reading = _Reading(store_ms, sent_ms, self._clock.now_ms())
        current = self._reading
        if current is None or reading.store_ms >= current.store_ms:
            self._reading = reading

    def earliest_ms(self) -> int:
        """Return a time that the store has certainly reached."""
        if self._reading is None:
            return 0
        return self._reading.store_ms + (
            self._clock.now_ms() - self._reading.received_ms
        )

    def latest_ms(self) -> int:
        """Return a time that the store has certainly not passed."""
        if self._reading is None:
            return 0
        return self._reading.store_ms + (
            self._clock.now_ms() - self._reading.sent_ms
        )
