"""Limits on requests: quotas, retry budget, bounded priority queue."""

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
_IN_FLIGHT_RETRY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A workspace used up its quota.

    Parameters
    ----------
    reason : str
        ``'rate_exceeded'`` or ``'too_many_in_flight'``.
    retry_after : timedelta
        When the quota allows the next request.
    """

    reason: str
    retry_after: timedelta


class TokenBucket:
    """Sustained rate with bursts.

    Parameters
    ----------
    rate : float
        Tokens a second; must be positive.
    burst : int
        Tokens that can be saved up; at least 1.
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
        """Rate and burst."""
        return (self._rate, self._burst)

    def take(self, now: datetime) -> timedelta:
        """Take a token.

        Returns
        -------
        timedelta
            Zero if a token was taken, else the time until the next one.
        """
        elapsed_s = max(0, (now - self._filled_at).total_seconds())
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        if self._tokens >= 1:
            self._tokens -= 1
            return timedelta()
        return timedelta(seconds=(1 - self._tokens) / self._rate)


class WorkspaceQuota:
    """Rate and number of requests in flight of one workspace."""

    def __init__(self, spec: WorkspaceSpec, now: datetime) -> None:
        """Start with nothing in flight and a full bucket."""
        self._in_flight = 0
        self._bucket = TokenBucket(spec.requests_per_second, spec.burst, now)

    @property
    def in_flight(self) -> int:
        """Requests admitted and not released."""
        return self._in_flight

    def admit(self, spec: WorkspaceSpec, now: datetime) -> OverQuota | None:
        """Admit a request under the present limits of the workspace.

        Parameters
        ----------
        spec : WorkspaceSpec
            Limits in force; a change of the rate starts a new bucket.
        now : datetime
            Current time.

        Returns
        -------
        OverQuota or None
            The refusal, or ``None`` if the request is admitted and must be
            released later.
        """
        if self._bucket.limits != (spec.requests_per_second, spec.burst):
            self._bucket = TokenBucket(
                spec.requests_per_second, spec.burst, now
            )
        if self._in_flight >= spec.max_in_flight:
            return OverQuota('too_many_in_flight', _IN_FLIGHT_RETRY)
        wait = self._bucket.take(now)
        if wait:
            return OverQuota('rate_exceeded', wait)
        self._in_flight += 1
        return None

    def release(self) -> None:
        """Count an admitted request as finished."""
        self._in_flight -= 1


class RetryBudget:
    """Limits retries to a share of the recent requests.

    Parameters
    ----------
    share : float
        Largest share of retries among the requests of the window.
    minimum_per_second : float
        Retries that are allowed at any load.
    window : timedelta
        How long requests and retries count.
    """

    def __init__(
        self,
        share: float = 0.1,
        minimum_per_second: float = 3,
        window: timedelta = _RETRY_WINDOW,
    ) -> None:
        """Start without recent requests."""
        self._share = share
        self._minimum = minimum_per_second * window.total_seconds()
        self._window = window
        self._requests = _RecentCount(window)
        self._retries = _RecentCount(window)

    def record_request(self, now: datetime) -> None:
        """Count a first attempt."""
        self._requests.add(now)

    def take(self, now: datetime) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        limit = max(self._minimum, self._share * self._requests.total(now))
        if self._retries.total(now) + 1 > limit:
            return False
        self._retries.add(now)
        return True


class _RecentCount:
    """Number of events in a sliding window, kept by the second."""

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._seconds: deque[tuple[datetime, int]] = deque()
        self._total = 0

    def add(self, now: datetime) -> None:
        """Count one event."""
        self._expire(now)
        self._total += 1
        if self._seconds and now - self._seconds[-1][0] < _ONE_SECOND:
            start, count = self._seconds.pop()
            self._seconds.append((start, count + 1))
        else:
            self._seconds.append((now, 1))

    def total(self, now: datetime) -> int:
        """Return the number of events in the window."""
        self._expire(now)
        return self._total

    def _expire(self, now: datetime) -> None:
        while self._seconds and now - self._seconds[0][0] > self._window:
            self._total -= self._seconds.popleft()[1]


class BoundedPriorityQueue(Generic[ItemT]):
    """Waiting items by priority, then by arrival.

    Parameters
    ----------
    limit : int
        Largest number of waiting items.
    """

    _min_retry = timedelta(milliseconds=500)
    _max_retry = timedelta(seconds=30)
    _departures_kept = 64

    def __init__(self, limit: int) -> None:
        """Create an empty queue."""
        self._limit = limit
        self._items: SortedDict[tuple[int, int], ItemT] = SortedDict()
        self._departures: deque[datetime] = deque(maxlen=self._departures_kept)

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._items)

    def __iter__(self) -> Iterator[tuple[tuple[int, int], ItemT]]:
        """Iterate over a copy in order of service."""
        return iter(tuple(self._items.items()))

    def push(self, key: tuple[int, int], item: ItemT) -> ItemT | None:
        """Add an item.

        Parameters
        ----------
        key : tuple of (int, int)
            Priority (lower is served first) and number of arrival.
        item : object
            The item.

        Returns
        -------
        object or None
            The item refused because the queue is full: the newest one of the
            least important class, which may be ``item`` itself.
        """
        self._items[key] = item
        if len(self._items) <= self._limit:
            return None
        refused: ItemT = self._items.popitem(-1)[1]
        return refused

    def remove(
        self, key: tuple[int, int], served_at: datetime | None = None
    ) -> None:
        """Remove an item; ``served_at`` feeds the estimate of the wait."""
        removed = self._items.pop(key, None)
        if removed is not None and served_at is not None:
            self._departures.append(served_at)

    def retry_after(self, now: datetime) -> timedelta:
        """Return when a refused item may find room, from recent service."""
        if not self._departures:
            return _ONE_SECOND
        span = max(now - self._departures[0], timedelta(milliseconds=1))
        wait = span / len(self._departures) * max(1, len(self._items))
        return min(max(wait, self._min_retry), self._max_retry)
