"""The task lease of a guard and its fence checks."""

from datetime import datetime, timedelta

__all__ = ('TaskLease',)


class TaskLease:
    """Permission of the partition owner for the members to run.

    Parameters
    ----------
    duration : timedelta
        Duration, from the send time of the acknowledged announcement.
    """

    def __init__(self, duration: timedelta) -> None:
        """Start without a lease and with fence 0."""
        self._duration = duration
        self._expires_at: datetime | None = None
        self._fence = 0
        self._highest_fence = 0

    @property
    def highest_fence(self) -> int:
        """Highest fence seen in acknowledgements, orders or at the worker."""
        return self._highest_fence

    @property
    def expires_at(self) -> datetime | None:
        """End of the lease; ``None`` before the first renewal."""
        return self._expires_at

    def is_valid_for(self, fence: int, now: datetime) -> bool:
        """Return whether the lease is valid and granted under ``fence``."""
        if self._expires_at is None or now >= self._expires_at:
            return False
        return fence == self._fence == self._highest_fence

    def observe_fence(self, fence: int) -> bool:
        """Record a fence and return whether no higher one was seen."""
        if fence < self._highest_fence:
            return False
        self._highest_fence = fence
        return True

    def renew(self, sent_at: datetime, fence: int) -> bool:
        """Renew the lease for an announcement that the owner acknowledged.

        Parameters
        ----------
        sent_at : datetime
            Send time of the announcement.
        fence : int
            Fence in the acknowledgement; 0 if the entry owns no partition.

        Returns
        -------
        bool
            Whether the acknowledgement came from the current owner.
        """
        if fence <= 0 or not self.observe_fence(fence):
            return False
        self._fence = fence
        self._extend_to(sent_at + self._duration)
        return True

    def restore(self, expires_at: datetime, fence: int) -> None:
        """Restore the lease that the worker still has after a guard restart."""
        self.observe_fence(fence)
        self._extend_to(expires_at)

    def _extend_to(self, expires_at: datetime) -> None:
        if self._expires_at is None or expires_at > self._expires_at:
            self._expires_at = expires_at
