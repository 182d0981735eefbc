"""Lease of a minion on its own clock, which may be slow."""

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('MinionLease',)

# The clock of a minion may be 2% slow; the rest covers rounding.
_SLOW_CLOCK = 0.975
# Covers the delay between a reading and its use.
_MARGIN_MS = 250


class MinionLease:
    """Translates between this process's clock and the minion's.

    Parameters
    ----------
    clock : SteadyClock
        Clock of this process.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Start without a reading."""
        self._clock = clock
        self._minion_ms = 0
        self._received_ms: int | None = None
        self._expires_ms = clock.now_ms()

    @property
    def is_readable(self) -> bool:
        """Whether the minion's clock has been read."""
        return self._received_ms is not None

    @property
    def is_expired(self) -> bool:
        """Whether no granted lease can be valid any more."""
        return self._clock.now_ms() > self._expires_ms + _MARGIN_MS

    def observe(self, minion_ms: int) -> None:
        """Take the time of the minion's clock from an answer."""
        self._minion_ms = minion_ms
        self._received_ms = self._clock.now_ms()

    def grant(self, local_end_ms: int) -> int:
        """Return the minion time that is reached by ``local_end_ms``.

        The grant counts as given, since a call without an answer may have
        arrived. Returns 0 if the time has passed or the clock is unknown.
        """
        if self._received_ms is None:
            return 0
        span_ms = local_end_ms - self._received_ms
        if span_ms <= 0 or local_end_ms <= self._clock.now_ms():
            return 0
        self._expires_ms = max(self._expires_ms, local_end_ms)
        return self._minion_ms + int(span_ms * _SLOW_CLOCK)

    def assume_leased_until(self, local_end_ms: int) -> None:
        """Count a lease that an earlier process may have granted."""
        self._expires_ms = max(self._expires_ms, local_end_ms)
