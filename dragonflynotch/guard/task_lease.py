"""The task lease of a guard and the fences that it has seen."""

from datetime import datetime, timedelta

__all__ = ('TaskLease',)


class TaskLease:
    """Right of the guard to let its members compute.

    Parameters
    ----------
    duration : timedelta
        Length, counted from the send time of an acknowledged announcement.
    """

    def __init__(self, duration: timedelta) -> None:
        """Start without a lease and without a fence."""
        self._duration = duration
        self._until: datetime | None = None
        self._fence = 0
        self._highest_fence = 0

    @property
    def highest_fence(self) -> int:
        """Highest fence seen in acknowledgements, orders or at the worker."""
        return self._highest_fence

    @property
    def until(self) -> datetime | None:
        """End of the lease; ``None`` before the first one."""
        return self._until

    def is_held_under(self, fence: int, now: datetime) -> bool:
        """Whether the owner with ``fence`` renewed the lease recently."""
        if self._until is None or now >= self._until:
            return False
        return fence == self._fence == self._highest_fence

    def note_fence(self, fence: int) -> bool:
        """Record a fence and return whether it may still give orders."""
        if fence < self._highest_fence:
            return False
        self._highest_fence = fence
        return True

    def renew(self, sent_at: datetime, fence: int) -> bool:
        """Renew by an acknowledgement of an announcement sent at ``sent_at``.

        Returns
        -------
        bool
            Whether the acknowledgement came from the current owner.
        """
        if fence <= 0 or not self.note_fence(fence):
            return False
        self._fence = fence
        self._extend(sent_at + self._duration)
        return True

    def adopt(self, until: datetime, fence: int) -> None:
        """Take over the lease that the worker still runs under."""
        self.note_fence(fence)
        self._extend(until)

    def _extend(self, until: datetime) -> None:
        if self._until is None or until > self._until:
            self._until = until
