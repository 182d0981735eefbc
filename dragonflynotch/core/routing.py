"""Choice of a minion for a request, from announced membership."""

from collections.abc import Set
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random

from dragonflynotch.core.ejection import EjectionPolicy, OutlierEjector
from dragonflynotch.core.member_ids import MemberIds
from dragonflynotch.core.renewals import Renewals

__all__ = (
    'MEMBER_TTL',
    'REMOTE_MEMBER_TTL',
    'NoTarget',
    'RoutingTable',
    'Target',
)

# Both are below the 3 s after which a leaving target must get no new work.
MEMBER_TTL = timedelta(seconds=2.2)
REMOTE_MEMBER_TTL = timedelta(seconds=2.6)

_SAMPLE_TRIES = 12
# Up to this size all members are visited if no sampled one has a free slot.
_SCAN_LIMIT = 512
_NONE: Set[str] = frozenset()
_RETRY_AFTER = timedelta(seconds=1)
# Silent members stay known for as long as guards remember requests, so that a
# claim can still be resolved at their last address.
_KNOWN_FOR = timedelta(minutes=15)
_FORGET_INTERVAL = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Target:
    """A minion behind its guard, as announced last."""

    guard_id: str
    incarnation: int
    sequence: int
    data_centre: str
    address: tuple[str, int]
    minion_id: str
    slots: int
    free_slots: int
    is_ready: bool
    heard_at: datetime


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No minion can take the request now.

    Parameters
    ----------
    reason : str
        ``'no_minion'`` if no member is ready, ``'no_free_slot'`` if all ready
        members are busy.
    retry_after : timedelta
        When to try again.
    """

    reason: str
    retry_after: timedelta


@dataclass(slots=True)
class _Member:
    target: Target
    own_in_flight: int = 0
    own_at_announcement: int = 0

    @property
    def free_slots(self) -> int:
        # The announced number counts requests of this entry that were in
        # flight then; those started or finished since are corrected for.
        since = self.own_in_flight - self.own_at_announcement
        announced = self.target.free_slots - since
        return min(announced, self.target.slots - self.own_in_flight)


class RoutingTable:
    """Live targets of all data centres.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry; its targets are preferred.
    random : Random
        Source of the two random choices.
    ejection : EjectionPolicy, optional
        Limits of the outlier ejection.
    """

    def __init__(
        self,
        data_centre: str,
        random: Random,
        ejection: EjectionPolicy | None = None,
    ) -> None:
        """Create an empty table."""
        self._data_centre = data_centre
        self._random = random
        self._members: dict[str, _Member] = {}
        self._ids = MemberIds()
        self._renewals = Renewals()
        self._replaced: dict[str, set[int]] = {}
        self._ejector = OutlierEjector(ejection)
        self._forgot_at: datetime | None = None

    @property
    def renewals(self) -> Renewals:
        """What the digests of other entries say of members."""
        return self._renewals

    def observe(self, target: Target) -> None:
        """Take over a target's latest announcement; older ones are ignored."""
        guard_id = target.guard_id
        member = self._members.get(guard_id)
        if target.incarnation in self._replaced.get(guard_id, ()):
            return
        if member is None:
            self._members[guard_id] = _Member(target)
        elif member.target.incarnation != target.incarnation:
            replaced = self._replaced.setdefault(guard_id, set())
            replaced.add(member.target.incarnation)
            self._ejector.forget(guard_id)
            self._members[guard_id] = _Member(target)
        elif target.sequence > member.target.sequence:
            member.target = target
            member.own_at_announcement = member.own_in_flight
        elif target.sequence == member.target.sequence:
            # A digest renews the age of a member whose state is unchanged.
            heard_at = max(member.target.heard_at, target.heard_at)
            member.target = replace(member.target, heard_at=heard_at)
        self._ids.add(target.data_centre, guard_id)
        self._forget(target.heard_at)

    def live_targets(self, now: datetime) -> tuple[Target, ...]:
        """Return all targets within their time to live."""
        return tuple(
            member.target
            for member in self._members.values()
            if self._is_fresh(member, now)
        )

    def known_target(self, guard_id: str) -> Target | None:
        """Return the latest announcement of a guard, also if it is silent."""
        member = self._members.get(guard_id)
        return None if member is None else member.target

    def is_replaced(self, guard_id: str, incarnation: int) -> bool:
        """Return whether a guard announced a later incarnation."""
        return incarnation in self._replaced.get(guard_id, ())

    def is_live(self, target: Target, now: datetime) -> bool:
        """Return whether this incarnation of a guard is within its time."""
        member = self._current(target)
        return member is not None and self._is_fresh(member, now)

    def choose(
        self,
        now: datetime,
        *,
        excluded: Set[str] = _NONE,
        is_idempotent: bool = False,
    ) -> Target | NoTarget:
        """Return the target for a request and count its slot as used.

        Parameters
        ----------
        now : datetime
            Current time.
        excluded : set of str
            Guards that were tried before.
        is_idempotent : bool
            Whether the request may serve as a probe of an ejected member.
        """
        if is_idempotent:
            probe = self._probe_target(excluded, now)
            if probe is not None:
                return self._take(probe)
        sampled = self._sample(self._data_centre, excluded, now)
        if sampled:
            return self._take(self._better_of_two(sampled))
        if len(self._members) <= _SCAN_LIMIT:
            return self._choose_from_all(excluded, now)
        return self._choose_elsewhere(excluded, now)

    def release(self, target: Target) -> None:
        """Count the slot that ``choose`` used as free again."""
        member = self._current(target)
        if member is not None and member.own_in_flight > 0:
            member.own_in_flight -= 1

    def record_refusal(self, target: Target, *, is_full: bool) -> None:
        """Send a refusing guard no more work until it announces itself.

        Parameters
        ----------
        target : Target
            The target that refused.
        is_full : bool
            Whether it only lacks a free slot; else it counts as not ready.
        """
        member = self._current(target)
        if member is None:
            return
        if is_full:
            member.own_at_announcement = member.own_in_flight
            member.target = replace(member.target, free_slots=0)
        else:
            member.target = replace(member.target, is_ready=False)

    def record_success(self, target: Target) -> None:
        """Note a whole answer of the target's minion."""
        if self._current(target) is not None:
            self._ejector.record_success(target.guard_id)

    def record_failure(self, target: Target, now: datetime) -> bool:
        """Note a failure; return whether it ejected the target."""
        if self._current(target) is None:
            return False
        members = {live.guard_id for live in self.live_targets(now)}
        return self._ejector.record_failure(target.guard_id, now, members)

    def is_ejected(self, guard_id: str) -> bool:
        """Return whether a member gets no regular requests."""
        return self._ejector.is_ejected(guard_id)

    def _current(self, target: Target) -> _Member | None:
        member = self._members.get(target.guard_id)
        if member is None or member.target.incarnation != target.incarnation:
            return None
        return member

    def _is_fresh(self, member: _Member, now: datetime) -> bool:
        target = member.target
        if target.data_centre == self._data_centre:
            return now - target.heard_at <= MEMBER_TTL
        if now - target.heard_at <= REMOTE_MEMBER_TTL:
            return True
        return self._renewals.is_fresh(target.guard_id, now, REMOTE_MEMBER_TTL)

    def _is_ready(
        self, member: _Member, excluded: Set[str], now: datetime
    ) -> bool:
        target = member.target
        is_wanted = target.is_ready and target.guard_id not in excluded
        return is_wanted and self._is_fresh(member, now)

    def _is_usable(self, member: _Member) -> bool:
        return not self._ejector.is_ejected(member.target.guard_id)

    def _sample(
        self, data_centre: str, excluded: Set[str], now: datetime
    ) -> list[_Member]:
        """Return up to two random members with a free slot.

        Visiting all members took 11 ms for 17,000 of them.
        """
        found: list[_Member] = []
        for guard_id in self._ids.sample(
            data_centre, self._random, _SAMPLE_TRIES
        ):
            member = self._members[guard_id]
            if (
                self._is_ready(member, excluded, now)
                and self._is_usable(member)
                and member.free_slots > 0
            ):
                found.append(member)
            if len(found) == 2:
                break
        return found

    def _choose_elsewhere(
        self, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        for data_centre in self._ids.data_centres:
            sampled = self._sample(data_centre, excluded, now)
            if sampled:
                return self._take(self._better_of_two(sampled))
        return NoTarget('no_free_slot', _RETRY_AFTER)

    def _choose_from_all(
        self, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        usable = [
            member
            for member in self._members.values()
            if self._is_ready(member, excluded, now) and self._is_usable(member)
        ]
        if not usable:
            return NoTarget('no_minion', _RETRY_AFTER)
        free = [member for member in usable if member.free_slots > 0]
        if not free:
            return NoTarget('no_free_slot', _RETRY_AFTER)
        return self._take(self._better_of_two(self._local_first(free)))

    def _probe_target(
        self, excluded: Set[str], now: datetime
    ) -> _Member | None:
        for guard_id in self._ejector.ejected:
            member = self._members.get(guard_id)
            if (
                member is not None
                and self._is_ready(member, excluded, now)
                and member.free_slots > 0
                and self._ejector.needs_probe(guard_id, now)
            ):
                self._ejector.start_probe(guard_id, now)
                return member
        return None

    def _take(self, member: _Member) -> Target:
        member.own_in_flight += 1
        return member.target

    def _local_first(self, candidates: list[_Member]) -> list[_Member]:
        local = [
            member
            for member in candidates
            if member.target.data_centre == self._data_centre
        ]
        return local or candidates

    def _better_of_two(self, candidates: list[_Member]) -> _Member:
        sample = self._random.sample(candidates, min(2, len(candidates)))
        return max(sample, key=lambda member: member.free_slots)

    def _forget(self, now: datetime) -> None:
        if self._forgot_at and now - self._forgot_at < _FORGET_INTERVAL:
            return
        self._forgot_at = now
        for guard_id, member in tuple(self._members.items()):
            is_old = now - member.target.heard_at > _KNOWN_FOR
            if is_old and not self._is_fresh(member, now):
                self._members.pop(guard_id)
                self._ids.discard(member.target.data_centre, guard_id)
                self._replaced.pop(guard_id, None)
                self._ejector.forget(guard_id)
