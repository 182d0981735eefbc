"""Limits on requests: workspace quotas, retry budget and bounded queue."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Generic, TypeVar

from sortedcontainers import SortedDict

from dragonflynotch.core.workspaces import WorkspaceSpec

__all__ = (
    'BoundedPriorityQueue',
    'OverQuota',
    'RetryBudget',
    'TokenBucket',
    'WorkspaceQuota',
)

ItemT = TypeVar('ItemT')

_ONE_SECOND = timedelta(seconds=1)
_RETRY_WINDOW = timedelta(seconds=10)
_IN_FLIGHT_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class OverQuota:
    """Refusal of a request because its workspace used up its quota.

    Parameters
    ----------
    reason : str
        ``'rate_exceeded'`` or ``'too_many_in_flight'``.
    retry_after : timedelta
        How long to wait before the next request.
    """

    reason: str
    retry_after: timedelta


class TokenBucket:
    """Token bucket that limits a sustained rate and allows bursts.

    Parameters
    ----------
    rate : float
        Tokens added per second; must be positive.
    burst : int
        Capacity of the bucket in tokens; at least 1.
    now : datetime
        Current time; the bucket starts full.
    """

    def __init__(self, rate: float, burst: int, now: datetime) -> None:
        """Start with a full bucket."""
        if rate <= 0 or burst < 1:
            raise ValueError(
                f'rate must be positive and burst at least 1: {rate}, {burst}'
            )
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = now

    @property
    def limits(self) -> tuple[float, int]:
        """Rate and burst of the bucket."""
        return (self._rate, self._burst)

    def take(self, now: datetime) -> timedelta:
        """Take a token, if there is one.

        Returns
        -------
        timedelta
            Zero if a token was taken, otherwise the time until the next one.
        """
        elapsed_s = max(0, (now - self._filled_at).total_seconds())
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        if self._tokens >= 1:
            self._tokens -= 1
            return timedelta()
        return timedelta(seconds=(1 - self._tokens) / self._rate)


class WorkspaceQuota:
    """Limits the rate and the requests in flight of one workspace."""

    def __init__(self, spec: WorkspaceSpec, now: datetime) -> None:
        """Start with no requests in flight and a full bucket."""
        self._in_flight = 0
        self._bucket = TokenBucket(spec.requests_per_second, spec.burst, now)

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and not yet released."""
        return self._in_flight

    def admit(self, spec: WorkspaceSpec, now: datetime) -> OverQuota | None:
        """Admit a request under the current limits of the workspace.

        Parameters
        ----------
        spec : WorkspaceSpec
            Limits in force. A change of the rate or the burst starts a new,
            full bucket.
        now : datetime
            Current time.

        Returns
        -------
        OverQuota or None
            The refusal, or ``None`` if the request is admitted. Each admitted
            request must be released.
        """
        if self._bucket.limits != (spec.requests_per_second, spec.burst):
            self._bucket = TokenBucket(
                spec.requests_per_second, spec.burst, now
            )
        if self._in_flight >= spec.max_in_flight:
            return OverQuota('too_many_in_flight', _IN_FLIGHT_RETRY_AFTER)
        wait = self._bucket.take(now)
        if wait:
            return OverQuota('rate_exceeded', wait)
        self._in_flight += 1
        return None

    def release(self) -> None:
        """Release an admitted request that has finished."""
        self._in_flight -= 1


class RetryBudget:
    """Limits retries to a share of the recent requests.

    Parameters
    ----------
    share : float
        Largest allowed ratio of retries to first attempts in the window.
    minimum_per_second : float
        Rate of retries that is allowed at any load.
    window : timedelta
        Length of the sliding window in which attempts are counted.
    """

    def __init__(
        self,
        share: float = 0.1,
        minimum_per_second: float = 3,
        window: timedelta = _RETRY_WINDOW,
    ) -> None:
        """Start without recent requests."""
        self._share = share
        self._min_retries = minimum_per_second * window.total_seconds()
        self._window = window
        self._requests = _SlidingWindowCount(window)
        self._retries = _SlidingWindowCount(window)

    def record_request(self, now: datetime) -> None:
        """Count a first attempt."""
        self._requests.add(now)

    def take(self, now: datetime) -> bool:
        """Count a retry if it is allowed, and return whether it is."""
        limit = max(self._min_retries, self._share * self._requests.total(now))
        if self._retries.total(now) + 1 > limit:
            return False
        self._retries.add(now)
        return True


class _SlidingWindowCount:
    """Counts the events in a sliding window, in buckets of one second."""

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._buckets: deque[tuple[datetime, int]] = deque()
        self._total = 0

    def add(self, now: datetime) -> None:
        """Count one event."""
        self._expire(now)
        self._total += 1
        if self._buckets and now - self._buckets[-1][0] < _ONE_SECOND:
            start, count = self._buckets.pop()
            self._buckets.append((start, count + 1))
        else:
            self._buckets.append((now, 1))

    def total(self, now: datetime) -> int:
        """Return the number of events in the window."""
        self._expire(now)
        return self._total

    def _expire(self, now: datetime) -> None:
        while self._buckets and now - self._buckets[0][0] > self._window:
            self._total -= self._buckets.popleft()[1]


class BoundedPriorityQueue(Generic[ItemT]):
    """Waiting items in the order of their priority, then of their arrival.

    Parameters
    ----------
    limit : int
        Largest number of waiting items.
    """

    _min_retry_after = timedelta(milliseconds=500)
    _max_retry_after = timedelta(seconds=30)
    _served_at_kept = 64

    def __init__(self, limit: int) -> None:
        """Create an empty queue."""
        self._limit = limit
        self._items: SortedDict[tuple[int, int], ItemT] = SortedDict()
        self._served_at: deque[datetime] = deque(maxlen=self._served_at_kept)

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._items)

    def __iter__(self) -> Iterator[tuple[tuple[int, int], ItemT]]:
        """Iterate over a copy of the queue, in the order of service."""
        return iter(tuple(self._items.items()))

    def push(self, key: tuple[int, int], item: ItemT) -> ItemT | None:
        """Add an item.

        Parameters
        ----------
        key : tuple of (int, int)
            Priority, the lowest number being served first, and sequence number
            of the arrival.
        item : object
            Item to add.

        Returns
        -------
        object or None
            The item that is refused if the queue is full: the newest one of the
            least important priority, which may be ``item`` itself.
        """
        self._items[key] = item
        if len(self._items) <= self._limit:
            return None
        refused: ItemT = self._items.popitem(-1)[1]
        return refused

    def remove(
        self, key: tuple[int, int], served_at: datetime | None = None
    ) -> None:
        """Remove an item, if it is waiting.

        Parameters
        ----------
        key : tuple of (int, int)
            Key under which it was added.
        served_at : datetime, optional
            When the item was served, for the estimate of ``retry_after``;
            ``None`` if it left the queue unserved.
        """
        removed = self._items.pop(key, None)
        if removed is not None and served_at is not None:
            self._served_at.append(served_at)

    def retry_after(self, now: datetime) -> timedelta:
        """Return how long a refused caller should wait before it retries.

        The estimate is the time that the queue needs for all waiting items at
        the rate of the last items served.
        """
        if not self._served_at:
            return _ONE_SECOND
        span = max(now - self._served_at[0], timedelta(milliseconds=1))
        wait = span / len(self._served_at) * max(1, len(self._items))
        return min(max(wait, self._min_retry_after), self._max_retry_after)
