"""When the worker of a draining minion leaves, by the minion's heartbeats."""

from dragonflynotch.control.clocks import SteadyClock, StoreClock
from dragonflynotch.control.minions import Heartbeat

__all__ = ('DepartureNotice',)

# Heartbeats arrive with varying delays, which must not rewrite the report.
_TOLERANCE_MS = 250
# A single late heartbeat must not seem to extend the notice.
_MIN_EXTENSION_MS = 1000


class DepartureNotice:
    """Earliest time at which the worker leaves.

    A heartbeat that arrives late makes the worker seem to leave later, so the
    earliest time is kept unless a heartbeat clearly extends the notice. Once
    the notice has passed, its end is kept for as long as the minion drains.

    Parameters
    ----------
    clock : SteadyClock
        Clock of this process.
    store_clock : StoreClock
        Bounds on the time of the store.
    """

    def __init__(self, clock: SteadyClock, store_clock: StoreClock) -> None:
        """Create a notice for a worker that stays."""
        self._clock = clock
        self._store_clock = store_clock
        self._leaves_local_ms: int | None = None

    @property
    def has_passed(self) -> bool:
        """Whether the worker may have left; ``False`` if that is not known."""
        if self._leaves_local_ms is None:
            return False
        return self._clock.now_ms() >= self._leaves_local_ms

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Update the time from a heartbeat that was just received.

        A draining minion without a readable remaining time keeps the time of
        its earlier heartbeats, if there is one.

        Returns
        -------
        bool
            Whether the change is large enough to be reported at once.
        """
        previous_ms = self._leaves_local_ms
        if not heartbeat.is_draining:
            self._leaves_local_ms = None
            return previous_ms is not None
        if heartbeat.remaining_ms is None:
            return False
        leaves_ms = self._clock.now_ms() + heartbeat.remaining_ms
        if previous_ms is None:
            self._leaves_local_ms = leaves_ms
            return True
        is_extended = (
            heartbeat.remaining_ms > 0
            and leaves_ms > previous_ms + _MIN_EXTENSION_MS
        )
        if is_extended or leaves_ms < previous_ms:
            self._leaves_local_ms = leaves_ms
        return is_extended or leaves_ms < previous_ms - _TOLERANCE_MS

    def leaves_at_ms(self) -> int | None:
        """Return the store time at which the worker leaves at the earliest.

        Returns ``None`` if it stays, or if that is not known.
        """
        if self._leaves_local_ms is None or not self._store_clock.is_known:
            return None
        remaining_ms = self._leaves_local_ms - self._clock.now_ms()
        return self._store_clock.earliest_ms() + remaining_ms
