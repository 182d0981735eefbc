"""Memory of finished and refused attempts."""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

__all__ = (
    'AttemptMemory',
    'MemoryLimits',
    'RememberedAnswer',
    'RememberedAttempt',
    'RememberedRefusal',
    'RememberedUnknown',
)

# Rough size of an entry without its answer.
_ENTRY_BYTES = 512


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """How long and how much is remembered.

    The time exceeds the longest deadline of a request (10 min), so an attempt
    that is refused here cannot arrive after the refusal was forgotten.
    """

    max_age: timedelta = timedelta(minutes=15)
    max_entries: int = 4096
    max_bytes: int = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RememberedAnswer:
    """The attempt ran and this is its answer."""

    request_id: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RememberedRefusal:
    """The attempt did not run and stays refused.

    Parameters
    ----------
    reason : str
        Why it was refused.
    is_handover_pending : bool
        Whether the handover may still arrive. Such a refusal is never evicted
        before its time, else the late handover would run.
    """

    reason: str
    is_handover_pending: bool = False


@dataclass(frozen=True, slots=True)
class RememberedUnknown:
    """The minion got the attempt; its outcome is not known."""

    reason: str


RememberedAttempt = RememberedAnswer | RememberedRefusal | RememberedUnknown


class AttemptMemory:
    """Attempts by id, oldest first."""

    def __init__(self, limits: MemoryLimits | None = None) -> None:
        """Start empty."""
        self._limits = limits or MemoryLimits()
        self._entries: OrderedDict[str, tuple[datetime, RememberedAttempt]] = (
            OrderedDict()
        )
        self._bytes = 0
        self._pending = 0
        self._incomplete_until: datetime | None = None

    def __len__(self) -> int:
        """Return the number of remembered attempts."""
        return len(self._entries)

    def is_complete(self, now: datetime) -> bool:
        """Return whether no attempt was evicted before its time.

        While this is false, an attempt that is not found may have run.
        """
        return self._incomplete_until is None or now > self._incomplete_until

    def find(self, attempt: str, now: datetime) -> RememberedAttempt | None:
        """Return what is remembered of an attempt."""
        self._expire(now)
        found = self._entries.get(attempt)
        return None if found is None else found[1]

    def record(
        self, attempt: str, remembered: RememberedAttempt, now: datetime
    ) -> None:
        """Remember an attempt; the first record of an attempt stays."""
        self._expire(now)
        if attempt in self._entries:
            return
        self._entries[attempt] = (now, remembered)
        self._bytes += _size(remembered)
        self._pending += _is_pending(remembered)
        while self._is_over():
            if not self._evict():
                return

    def can_keep_refusals(self) -> bool:
        """Return whether another refusal of a pending handover fits."""
        return self._pending < self._limits.max_entries // 2

    def _evict(self) -> bool:
        for attempt, (recorded_at, remembered) in self._entries.items():
            if not _is_pending(remembered):
                self._drop(attempt)
                self._incomplete_until = recorded_at + self._limits.max_age
                return True
        return False

    def _is_over(self) -> bool:
        limits = self._limits
        return (
            len(self._entries) > limits.max_entries
            or self._bytes > limits.max_bytes
        )

    def _expire(self, now: datetime) -> None:
        while self._entries:
            attempt, (recorded_at, _) = next(iter(self._entries.items()))
            if now - recorded_at <= self._limits.max_age:
                return
            self._drop(attempt)

    def _drop(self, attempt: str) -> None:
        _, remembered = self._entries.pop(attempt)
        self._bytes -= _size(remembered)
        self._pending -= _is_pending(remembered)


def _is_pending(remembered: RememberedAttempt) -> bool:
    return (
        isinstance(remembered, RememberedRefusal)
        and remembered.is_handover_pending
    )


def _size(remembered: RememberedAttempt) -> int:
    if isinstance(remembered, RememberedAnswer):
        return _ENTRY_BYTES + len(remembered.body)
    return _ENTRY_BYTES
