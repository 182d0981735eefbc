"""Delay between attempts through peers, none of which has succeeded."""

from random import Random

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('RelayBackoff',)

# After a failure no attempt is made for a random share of a time that doubles
# up to the maximum.
_MIN_DELAY_MS = 500
_MAX_DELAY_MS = 8000


class RelayBackoff:
    """Limits the attempts while all fail.

    Parameters
    ----------
    clock : SteadyClock
        Measures the delay.
    random : random.Random
        Spreads the attempts of several processes.
    """

    def __init__(self, clock: SteadyClock, random: Random) -> None:
        """Start without a delay."""
        self._clock = clock
        self._random = random
        self._delay_ms = 0
        self._allowed_ms = clock.now_ms()

    @property
    def is_over(self) -> bool:
        """Whether an attempt may be made."""
        return self._clock.now_ms() >= self._allowed_ms

    def record_success(self) -> None:
        """Start with the shortest delay after the next failure."""
        self._delay_ms = 0

    def record_failure(self) -> None:
        """Delay the next attempt."""
        self._delay_ms = min(
            max(_MIN_DELAY_MS, 2 * self._delay_ms), _MAX_DELAY_MS
        )
        self._allowed_ms = self._clock.now_ms() + int(
            self._delay_ms * self._random.uniform(0.5, 1)
        )
