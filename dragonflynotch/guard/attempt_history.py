"""Bounded record of finished and refused attempts.

It lets the guard answer a repeated attempt without running it again.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

__all__ = (
    'AttemptHistory',
    'HistoryLimits',
    'RecordedAnswer',
    'RecordedAttempt',
    'RecordedRefusal',
    'RecordedUnknown',
)

# Estimated size of an entry without its answer body.
_ENTRY_OVERHEAD_BYTES = 512


@dataclass(frozen=True, slots=True)
class HistoryLimits:
    """Age, number and total size of the attempts that are kept.

    The age exceeds the longest deadline of a request (10 min), so a refused
    attempt cannot arrive after its refusal has expired.
    """

    max_age: timedelta = timedelta(minutes=15)
    max_entries: int = 4096
    max_bytes: int = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The attempt ran and gave this answer."""

    request_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RecordedRefusal:
    """The attempt did not run and will be refused if it is repeated.

    Parameters
    ----------
    reason : str
        Why it was refused.
    is_handover_pending : bool
        Whether the handover may still arrive. Such a refusal is not evicted
        before it expires, because the late handover would run without it.
    """

    reason: str
    is_handover_pending: bool = False


@dataclass(frozen=True, slots=True)
class RecordedUnknown:
    """The attempt was sent to the minion, but its outcome is unknown."""

    reason: str


RecordedAttempt = RecordedAnswer | RecordedRefusal | RecordedUnknown


class AttemptHistory:
    """Finished and refused attempts by id, oldest first."""

    def __init__(self, limits: HistoryLimits | None = None) -> None:
        """Create an empty record with the default limits or ``limits``."""
        self._limits = limits or HistoryLimits()
        self._entries: OrderedDict[str, tuple[datetime, RecordedAttempt]] = (
            OrderedDict()
        )
        self._total_bytes = 0
        self._pending_handovers = 0
        self._incomplete_until: datetime | None = None

    def __len__(self) -> int:
        """Return the number of recorded attempts."""
        return len(self._entries)

    def is_complete(self, now: datetime) -> bool:
        """Return whether all attempts within the maximum age are recorded.

        After an early eviction, an attempt without a record may have run.
        """
        return self._incomplete_until is None or now > self._incomplete_until

    def find(self, attempt: str, now: datetime) -> RecordedAttempt | None:
        """Return the record of an attempt, or ``None`` if there is none."""
        self._remove_expired(now)
        entry = self._entries.get(attempt)
        return None if entry is None else entry[1]

    def record(
        self, attempt: str, remembered: RecordedAttempt, now: datetime
    ) -> None:
        """Record the outcome of an attempt unless one is recorded already."""
        self._remove_expired(now)
        if attempt in self._entries:
            return
        self._entries[attempt] = (now, remembered)
        self._total_bytes += _size_bytes(remembered)
        self._pending_handovers += _is_pending(remembered)
        while self._exceeds_limits():
            if not self._evict_oldest():
                return

    def can_keep_refusals(self) -> bool:
        """Return whether another refusal of a pending handover fits.

        These refusals cannot be evicted, so they may fill at most half of the
        entries.
        """
        return self._pending_handovers < self._limits.max_entries // 2

    def _evict_oldest(self) -> bool:
        for attempt, (recorded_at, remembered) in self._entries.items():
            if not _is_pending(remembered):
                self._remove(attempt)
                self._incomplete_until = recorded_at + self._limits.max_age
                return True
        return False

    def _exceeds_limits(self) -> bool:
        limits = self._limits
        return (
            len(self._entries) > limits.max_entries
            or self._total_bytes > limits.max_bytes
        )

    def _remove_expired(self, now: datetime) -> None:
        while self._entries:
            attempt, (recorded_at, _) = next(iter(self._entries.items()))
            if now - recorded_at <= self._limits.max_age:
                return
            self._remove(attempt)

    def _remove(self, attempt: str) -> None:
        _, remembered = self._entries.pop(attempt)
        self._total_bytes -= _size_bytes(remembered)
        self._pending_handovers -= _is_pending(remembered)


def _is_pending(remembered: RecordedAttempt) -> bool:
    return (
        isinstance(remembered, RecordedRefusal)
        and remembered.is_handover_pending
    )


def _size_bytes(remembered: RecordedAttempt) -> int:
    if isinstance(remembered, RecordedAnswer):
        return _ENTRY_OVERHEAD_BYTES + len(remembered.body)
    return _ENTRY_OVERHEAD_BYTES
