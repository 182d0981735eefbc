"""Conversion of lease ends to the clock of a minion, which may be slow."""

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('MinionLease',)

# A minion's clock may run 2% slow; the remaining 0.5% covers rounding.
_MIN_CLOCK_RATE = 0.975
# Covers the delay between a clock reading and its use.
_EXPIRY_MARGIN_MS = 250


class MinionLease:
    """Lease granted to a minion, in terms of its clock and the local clock.

    Parameters
    ----------
    clock : SteadyClock
        Clock of this process.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create a lease without a reading of the minion's clock."""
        self._clock = clock
        self._minion_ms = 0
        self._read_at_ms: int | None = None
        self._last_end_ms = clock.now_ms()

    @property
    def has_reading(self) -> bool:
        """Whether the minion's clock has been read."""
        return self._read_at_ms is not None

    @property
    def is_expired(self) -> bool:
        """Whether every granted lease has certainly expired."""
        return self._clock.now_ms() > self.expired_at_ms

    @property
    def expired_at_ms(self) -> int:
        """Local time after which every granted lease has expired."""
        return self._last_end_ms + _EXPIRY_MARGIN_MS

    def observe(self, minion_ms: int) -> None:
        """Record the time of the minion's clock from a response."""
        self._minion_ms = minion_ms
        self._read_at_ms = self._clock.now_ms()

    def grant(self, local_end_ms: int) -> int:
        """Return the end of a lease on the minion's clock.

        Even if it is slow, the minion's clock reaches the returned time no
        later than the local clock reaches ``local_end_ms``. The lease counts
        as granted from this call on, since the minion may receive it even if
        its response is lost. Returns 0 if ``local_end_ms`` has passed or the
        minion's clock has not been read.
        """
        if self._read_at_ms is None:
            return 0
        duration_ms = local_end_ms - self._read_at_ms
        if duration_ms <= 0 or local_end_ms <= self._clock.now_ms():
            return 0
        self._last_end_ms = max(self._last_end_ms, local_end_ms)
        return self._minion_ms + int(duration_ms * _MIN_CLOCK_RATE)

    def assume_granted_until(self, local_end_ms: int) -> None:
        """Account for a lease that an earlier process may have granted."""
        self._last_end_ms = max(self._last_end_ms, local_end_ms)
