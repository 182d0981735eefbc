"""Time that an entry needs to hear of all guards."""

from datetime import datetime, timedelta

from dragonflynotch.core.clock import Clock

__all__ = ('GuardDiscovery',)

# Every live guard announces itself within this time.
_DISCOVERY_TIME = timedelta(seconds=1)


class GuardDiscovery:
    """Whether an entry has listened long enough to know all live guards.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the period; ``begin`` starts it."""
        self._clock = clock
        self._began_at: datetime | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every live guard has announced itself since ``begin``."""
        if self._began_at is None:
            return False
        return self._clock.now() - self._began_at > _DISCOVERY_TIME

    def begin(self) -> None:
        """Start the period, once announcements are received."""
        self._began_at = self._clock.now()
