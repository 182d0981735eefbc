"""Guards that an entry knows, and the changes to tell other entries."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from dragonflynotch.core.topology import Worker

__all__ = (
    'GuardInfo',
    'Membership',
    'MembershipDelta',
    'MinionInfo',
)

LOCAL_TTL = timedelta(seconds=2.2)
# A digest is up to 0.4 s younger than the announcement that it reports.
REMOTE_TTL = timedelta(seconds=2.6)


@dataclass(frozen=True, slots=True)
class MinionInfo:
    """A minion as its guard announced it."""

    minion_id: str
    slots: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class GuardInfo:
    """A guard as it announced itself last.

    Parameters
    ----------
    guard_id : str
        Unique name.
    incarnation : int
        Random number drawn at the start of the guard.
    sequence : int
        Number of the announcement in this incarnation.
    data_centre : str
        Data centre of the guard.
    address : tuple of (str, int)
        Address of the guard's HTTP interface.
    is_ready : bool
        Whether the guard takes new work.
    minion : MinionInfo or None
        The minion beside the guard.
    worker : Worker or None
        The worker beside the guard.
    free_accelerators : int
        Accelerators of the worker that no task holds.
    schema_versions : tuple of int
        Record versions that the guard reads.
    heard_at : datetime
        When the announcement was received.
    """

    guard_id: str
    incarnation: int
    sequence: int
    data_centre: str
    address: tuple[str, int]
    is_ready: bool
    minion: MinionInfo | None
    worker: Worker | None
    free_accelerators: int
    schema_versions: tuple[int, ...]
    heard_at: datetime

    def is_newer_than(self, other: 'GuardInfo') -> bool:
        """Return whether this announcement replaces ``other``."""
        if self.incarnation != other.incarnation:
            return self.heard_at >= other.heard_at
        return self.sequence > other.sequence

    def has_same_content(self, other: 'GuardInfo') -> bool:
        """Return whether only the sequence and the time differ."""
        renewed = replace(other, sequence=self.sequence, heard_at=self.heard_at)
        return self == renewed


@dataclass(frozen=True, slots=True)
class MembershipDelta:
    """What changed in a membership since a version.

    Parameters
    ----------
    version : int
        Version that the delta leads to.
    base : int
        Version that it starts from; 0 for a full membership.
    changed : tuple of GuardInfo
        Guards that are new or changed.
    left : tuple of str
        Guards that are gone.
    oldest_age : timedelta
        Time since the announcement that is longest ago.
    """

    version: int
    base: int
    changed: tuple[GuardInfo, ...]
    left: tuple[str, ...]
    oldest_age: timedelta


class Membership:
    """Live guards with a version that counts their changes.

    Parameters
    ----------
    time_to_live : timedelta
        How long a guard stays a member after its last announcement.
    """

    def __init__(self, time_to_live: timedelta = LOCAL_TTL) -> None:
        """Start without members."""
        self._time_to_live = time_to_live
        self._guards: dict[str, GuardInfo] = {}
        # Version of the last change of each guard, oldest change first. Guards
        # that left stay in it, so that a delta can name them.
        self._changed_at: OrderedDict[str, int] = OrderedDict()
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def observe(self, guard: GuardInfo) -> bool:
        """Take over an announcement unless a newer one is known.

        Returns
        -------
        bool
            Whether the guard is new or its content changed.
        """
        known = self._guards.get(guard.guard_id)
        if known is not None and not guard.is_newer_than(known):
            return False
        self._guards[guard.guard_id] = guard
        if known is not None and guard.has_same_content(known):
            return False
        self._record_change(guard.guard_id)
        return True

    def expire(self, now: datetime) -> tuple[GuardInfo, ...]:
        """Remove and return the guards whose time to live has passed."""
        expired = tuple(
            guard
            for guard in self._guards.values()
            if now - guard.heard_at > self._time_to_live
        )
        for guard in expired:
            self.remove(guard.guard_id)
        return expired

    def remove(self, guard_id: str) -> None:
        """Remove a guard, if it is a member."""
        if self._guards.pop(guard_id, None) is not None:
            self._record_change(guard_id)

    def get(self, guard_id: str) -> GuardInfo | None:
        """Return a member, or ``None``."""
        return self._guards.get(guard_id)

    def guards(self) -> tuple[GuardInfo, ...]:
        """Return all members."""
        return tuple(self._guards.values())

    def delta(self, base: int, now: datetime) -> MembershipDelta:
        """Return what changed after version ``base``.

        The cost is proportional to the number of changes, except for the
        oldest age.
        """
        changed_ids = list(self._ids_changed_after(base))
        return MembershipDelta(
            version=self._version,
            base=base,
            changed=tuple(
                self._guards[guard_id]
                for guard_id in changed_ids
                if guard_id in self._guards
            ),
            left=tuple(
                guard_id
                for guard_id in changed_ids
                if guard_id not in self._guards
            ),
            oldest_age=max(
                (now - guard.heard_at for guard in self._guards.values()),
                default=timedelta(),
            ),
        )

    def _record_change(self, guard_id: str) -> None:
        self._version += 1
        self._changed_at[guard_id] = self._version
        self._changed_at.move_to_end(guard_id)

    def _ids_changed_after(self, base: int) -> Iterator[str]:
        for guard_id in reversed(self._changed_at):
            if self._changed_at[guard_id] <= base:
                return
            yield guard_id
