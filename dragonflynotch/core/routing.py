"""Choice of a minion for a request, among those that guards announce."""

from collections.abc import Set
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random

from dragonflynotch.core.ejection import EjectionPolicy, OutlierEjector
from dragonflynotch.core.member_sampler import MemberSampler
from dragonflynotch.core.renewals import Renewals

__all__ = (
    'LOCAL_MEMBER_TTL',
    'REMOTE_MEMBER_TTL',
    'NoTarget',
    'RoutingTable',
    'Target',
)

# Both are below 3 s, the time after which a target that leaves must not receive
# new requests. Announcements of remote members arrive later, in digests.
LOCAL_MEMBER_TTL = timedelta(seconds=2.2)
REMOTE_MEMBER_TTL = timedelta(seconds=2.6)

_MAX_SAMPLED_MEMBERS = 12
# If no sampled member has a free slot, a table of up to this size is scanned.
_MAX_SCANNED_MEMBERS = 512
_NO_GUARDS: Set[str] = frozenset()
_RETRY_AFTER = timedelta(seconds=1)
# Silent members are kept for as long as guards remember requests, so that a
# claim can still be resolved at their last address.
_SILENT_MEMBER_RETENTION = timedelta(minutes=15)
_PRUNE_INTERVAL = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Target:
    """A minion and its guard, as the guard last announced them."""

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
        ``'no_minion'`` if no member is ready, ``'no_free_slot'`` if no ready
        member has a free slot.
    retry_after : timedelta
        How long to wait before trying again.
    """

    reason: str
    retry_after: timedelta


@dataclass(slots=True)
class _Member:
    target: Target
    own_in_flight: int = 0
    own_in_flight_at_announcement: int = 0

    @property
    def free_slots(self) -> int:
        # The announced number already accounts for the requests of this entry
        # that were in flight then. It is corrected for those that started or
        # finished since.
        added = self.own_in_flight - self.own_in_flight_at_announcement
        remaining = self.target.free_slots - added
        return min(remaining, self.target.slots - self.own_in_flight)


class RoutingTable:
    """Targets of all data centres, one for each guard.

    A request goes to the one with more free slots of two random targets. The
    guards in the table are called its members.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry; its targets are preferred.
    random : Random
        Source of randomness for the choice of targets.
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
        self._member_sampler = MemberSampler()
        self._renewals = Renewals()
        self._replaced_incarnations: dict[str, set[int]] = {}
        self._ejector = OutlierEjector(ejection)
        self._pruned_at: datetime | None = None

    @property
    def renewals(self) -> Renewals:
        """When other entries last listed a member in their digests."""
        return self._renewals

    def observe(self, target: Target) -> None:
        """Record an announcement of a target, unless a newer one is known."""
        guard_id = target.guard_id
        member = self._members.get(guard_id)
        if target.incarnation in self._replaced_incarnations.get(guard_id, ()):
            return
        if member is None:
            self._members[guard_id] = _Member(target)
        elif member.target.incarnation != target.incarnation:
            replaced = self._replaced_incarnations.setdefault(guard_id, set())
            replaced.add(member.target.incarnation)
            self._ejector.forget(guard_id)
            self._members[guard_id] = _Member(target)
        elif target.sequence > member.target.sequence:
            member.target = target
            member.own_in_flight_at_announcement = member.own_in_flight
        elif target.sequence == member.target.sequence:
            # The target is unchanged; a digest only reports that it was heard
            # from more recently.
            heard_at = max(member.target.heard_at, target.heard_at)
            member.target = replace(member.target, heard_at=heard_at)
        self._member_sampler.add(target.data_centre, guard_id)
        self._prune(target.heard_at)

    def live_targets(self, now: datetime) -> tuple[Target, ...]:
        """Return all targets whose time to live has not passed."""
        return tuple(
            member.target
            for member in self._members.values()
            if self._is_fresh(member, now)
        )

    def known_target(self, guard_id: str) -> Target | None:
        """Return the last announcement of a guard, however old it is."""
        member = self._members.get(guard_id)
        return None if member is None else member.target

    def is_replaced(self, guard_id: str, incarnation: int) -> bool:
        """Return whether a guard has announced another incarnation since."""
        return incarnation in self._replaced_incarnations.get(guard_id, ())

    def is_live(self, target: Target, now: datetime) -> bool:
        """Return whether this incarnation is current and not expired."""
        member = self._find_current(target)
        return member is not None and self._is_fresh(member, now)

    def choose(
        self,
        now: datetime,
        *,
        excluded: Set[str] = _NO_GUARDS,
        is_idempotent: bool = False,
    ) -> Target | NoTarget:
        """Choose a target for a request and count one of its slots as used.

        Parameters
        ----------
        now : datetime
            Current time.
        excluded : set of str
            Guards that must not be chosen, such as those already tried.
        is_idempotent : bool
            Whether the request may run more than once. Only such requests are
            sent to ejected members as probes.
        """
        if is_idempotent:
            probe = self._probe_target(excluded, now)
            if probe is not None:
                return self._take_slot(probe)
        sampled = self._sample(self._data_centre, excluded, now)
        if sampled:
            return self._take_slot(self._better_of_two(sampled))
        if len(self._members) <= _MAX_SCANNED_MEMBERS:
            return self._choose_from_all_members(excluded, now)
        return self._choose_from_samples(excluded, now)

    def release(self, target: Target) -> None:
        """Count a slot that ``choose`` took as free again."""
        member = self._find_current(target)
        if member is not None and member.own_in_flight > 0:
            member.own_in_flight -= 1

    def record_refusal(self, target: Target, *, is_full: bool) -> None:
        """Exclude a guard that refused a request until its next announcement.

        Parameters
        ----------
        target : Target
            The target that refused.
        is_full : bool
            Whether it refused for lack of a free slot; otherwise it counts as
            not ready.
        """
        member = self._find_current(target)
        if member is None:
            return
        if is_full:
            member.own_in_flight_at_announcement = member.own_in_flight
            member.target = replace(member.target, free_slots=0)
        else:
            member.target = replace(member.target, is_ready=False)

    def record_success(self, target: Target, sent_at: datetime) -> None:
        """Record a complete answer to a request that was sent at a time."""
        if self._find_current(target) is not None:
            self._ejector.record_success(target.guard_id, sent_at)

    def record_failure(
        self, target: Target, sent_at: datetime, now: datetime
    ) -> bool:
        """Record a failure and return whether the target is now ejected."""
        if self._find_current(target) is None:
            return False
        members = {live.guard_id for live in self.live_targets(now)}
        return self._ejector.record_failure(
            target.guard_id, sent_at, now, members
        )

    def is_ejected(self, guard_id: str) -> bool:
        """Return whether a member receives no requests except probes."""
        return self._ejector.is_ejected(guard_id)

    def _find_current(self, target: Target) -> _Member | None:
        member = self._members.get(target.guard_id)
        if member is None or member.target.incarnation != target.incarnation:
            return None
        return member

    def _is_fresh(self, member: _Member, now: datetime) -> bool:
        target = member.target
        if target.data_centre == self._data_centre:
            return now - target.heard_at <= LOCAL_MEMBER_TTL
        if now - target.heard_at <= REMOTE_MEMBER_TTL:
            return True
        return self._renewals.is_fresh(target.guard_id, now, REMOTE_MEMBER_TTL)

    def _is_eligible(
        self, member: _Member, excluded: Set[str], now: datetime
    ) -> bool:
        target = member.target
        is_permitted = target.is_ready and target.guard_id not in excluded
        return is_permitted and self._is_fresh(member, now)

    def _is_not_ejected(self, member: _Member) -> bool:
        return not self._ejector.is_ejected(member.target.guard_id)

    def _sample(
        self, data_centre: str, excluded: Set[str], now: datetime
    ) -> list[_Member]:
        """Return up to two random members with a free slot.

        A sample is taken because visiting all of 17,000 members takes 11 ms.
        """
        found: list[_Member] = []
        for guard_id in self._member_sampler.sample(
            data_centre, self._random, _MAX_SAMPLED_MEMBERS
        ):
            member = self._members[guard_id]
            if (
                self._is_eligible(member, excluded, now)
                and self._is_not_ejected(member)
                and member.free_slots > 0
            ):
                found.append(member)
            if len(found) == 2:
                break
        return found

    def _choose_from_samples(
        self, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        for data_centre in self._member_sampler.data_centres:
            sampled = self._sample(data_centre, excluded, now)
            if sampled:
                return self._take_slot(self._better_of_two(sampled))
        return NoTarget('no_free_slot', _RETRY_AFTER)

    def _choose_from_all_members(
        self, excluded: Set[str], now: datetime
    ) -> Target | NoTarget:
        usable = [
            member
            for member in self._members.values()
            if self._is_eligible(member, excluded, now)
            and self._is_not_ejected(member)
        ]
        if not usable:
            return NoTarget('no_minion', _RETRY_AFTER)
        free = [member for member in usable if member.free_slots > 0]
        if not free:
            return NoTarget('no_free_slot', _RETRY_AFTER)
        return self._take_slot(self._better_of_two(self._local_first(free)))

    def _probe_target(
        self, excluded: Set[str], now: datetime
    ) -> _Member | None:
        for guard_id in self._ejector.ejected:
            member = self._members.get(guard_id)
            if (
                member is not None
                and self._is_eligible(member, excluded, now)
                and member.free_slots > 0
                and self._ejector.may_probe(guard_id, now)
            ):
                self._ejector.start_probe(guard_id, now)
                return member
        return None

    def _take_slot(self, member: _Member) -> Target:
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

    def _prune(self, now: datetime) -> None:
        if self._pruned_at and now - self._pruned_at < _PRUNE_INTERVAL:
            return
        self._pruned_at = now
        for guard_id, member in tuple(self._members.items()):
            is_silent = now - member.target.heard_at > _SILENT_MEMBER_RETENTION
            if is_silent and not self._is_fresh(member, now):
                self._members.pop(guard_id)
                self._member_sampler.discard(
                    member.target.data_centre, guard_id
                )
                self._replaced_incarnations.pop(guard_id, None)
                self._ejector.forget(guard_id)
