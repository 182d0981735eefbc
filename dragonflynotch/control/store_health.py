"""Whether the store responds to this process."""

from dragonflynotch.control.clocks import SteadyClock

__all__ = ('StoreHealth',)

# A single failed call can be a connection that the store closed while idle.
_MIN_FAILURES = 2
# A healthy store responds to an entry at least this often, as every candidate
# reads the lease. A slow store responds later, but its calls do not fail.
_MIN_SILENCE_MS = 500


class StoreHealth:
    """Judges from the calls to the store whether it can be reached.

    Other processes may reach the store while this one does not.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Start with a store that can be reached."""
        self._clock = clock
        self._failures = 0
        self._responded_ms = clock.now_ms()

    @property
    def is_reachable(self) -> bool:
        """Whether the store has responded recently or no calls have failed."""
        silent_ms = self._clock.now_ms() - self._responded_ms
        return self._failures < _MIN_FAILURES or silent_ms < _MIN_SILENCE_MS

    def record_response(self) -> None:
        """Record a response of the store."""
        self._failures = 0
        self._responded_ms = self._clock.now_ms()

    def record_failure(self) -> None:
        """Record a call that the store refused or did not answer."""
        self._failures += 1
