"""Live guards that an entry knows, and their changes for other entries.

Guards announce themselves at a fixed interval. An entry sends the changes to
other entries in digests.
"""

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

LOCAL_MEMBER_TTL = timedelta(seconds=2.2)
# Longer, because a digest arrives up to 0.4 s after the announcements that it
# reports.
REMOTE_MEMBER_TTL = timedelta(seconds=2.6)


@dataclass(frozen=True, slots=True)
class MinionInfo:
    """A minion, as its guard last announced it."""

    minion_id: str
    slots: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class GuardInfo:
    """A guard, as it last announced itself.

    Parameters
    ----------
    guard_id : str
        Unique name of the guard.
    incarnation : int
        Random number that the guard draws each time its process starts.
    sequence : int
        Sequence number of the announcement within the incarnation.
    data_centre : str
        Data centre of the guard.
    address : tuple of (str, int)
        Address of the guard's HTTP interface.
    is_ready : bool
        Whether the guard accepts new work.
    minion : MinionInfo or None
        Minion that the guard hands requests over to.
    worker : Worker or None
        Worker on which the guard runs tasks.
    free_accelerators : int
        Accelerators of the worker that no task holds.
    schema_versions : tuple of int
        Schema versions of configuration records that the guard can read.
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
        """Return whether at most the sequence and the time differ."""
        same_announcement = replace(
            other, sequence=self.sequence, heard_at=self.heard_at
        )
        return self == same_announcement


@dataclass(frozen=True, slots=True)
class MembershipDelta:
    """Changes of a membership between two versions.

    Parameters
    ----------
    version : int
        Version after the changes.
    base : int
        Version before the changes; 0 if the delta lists all members.
    changed : tuple of GuardInfo
        Guards that are new or changed.
    left : tuple of str
        Ids of the guards that are no longer members.
    oldest_age : timedelta
        Largest age of the last announcement of any member.
    """

    version: int
    base: int
    changed: tuple[GuardInfo, ...]
    left: tuple[str, ...]
    oldest_age: timedelta


class Membership:
    """Set of live guards, with a version that each change increases.

    Parameters
    ----------
    time_to_live : timedelta
        How long a guard stays a member after its last announcement.
    """

    def __init__(self, time_to_live: timedelta = LOCAL_MEMBER_TTL) -> None:
        """Start without members."""
        self._time_to_live = time_to_live
        self._guards: dict[str, GuardInfo] = {}
        # Version of the last change of each guard, oldest change first. Guards
        # that left are kept, so that a delta can list them.
        self._last_change_versions: OrderedDict[str, int] = OrderedDict()
        self._version = 0

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def observe(self, guard: GuardInfo) -> bool:
        """Record an announcement, unless a newer one is known.

        Returns
        -------
        bool
            Whether the guard is new, or announced something else than before.
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
        """Remove guards whose time to live has passed, and return them."""
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
        """Return the changes after version ``base``.

        The cost is proportional to the number of changes, except that of
        ``oldest_age``, for which all members are visited.
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
        self._last_change_versions[guard_id] = self._version
        self._last_change_versions.move_to_end(guard_id)

    def _ids_changed_after(self, base: int) -> Iterator[str]:
        for guard_id in reversed(self._last_change_versions):
            if self._last_change_versions[guard_id] <= base:
                return
            yield guard_id
