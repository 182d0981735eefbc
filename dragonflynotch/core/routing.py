"""Choice of a minion for a request, from announced membership."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random

__all__ = ('MEMBER_TTL', 'NoTarget', 'RoutingTable', 'Target')

# Below the 3 s after which a leaving target must get no new work.
MEMBER_TTL = timedelta(seconds=2.2)

_NONE: Set[str] = frozenset()
_RETRY_AFTER = timedelta(seconds=1)


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
    """No minion can take the request now."""

    reason: str
    retry_after: timedelta


class RoutingTable:
    """Live targets of all data centres.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry; its targets are preferred.
    random : Random
        Source of the two random choices.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        """Create an empty table."""
        self._data_centre = data_centre
        self._random = random
        self._targets: dict[str, Target] = {}

    def observe(self, target: Target) -> None:
        """Take over a target's latest announcement; older ones are ignored."""
        known = self._targets.get(target.guard_id)
        is_stale = (
            known is not None
            and known.incarnation == target.incarnation
            and known.sequence >= target.sequence
        )
        if not is_stale:
            self._targets[target.guard_id] = target

    def live_targets(self, now: datetime) -> tuple[Target, ...]:
        """Return all targets within their time to live."""
        return tuple(
            target
            for target in self._targets.values()
            if now - target.heard_at <= MEMBER_TTL
        )

    def choose(
        self, now: datetime, *, excluded: Set[str] = _NONE
    ) -> Target | NoTarget:
        """Return the target for a request and count its slot as used.

        Parameters
        ----------
        now : datetime
            Current time.
        excluded : set of str
            Guards that were tried before.
        """
        candidates = [
            target
            for target in self.live_targets(now)
            if target.is_ready
            and target.free_slots > 0
            and target.guard_id not in excluded
        ]
        if not candidates:
            return NoTarget('no_minion', _RETRY_AFTER)
        chosen = self._better_of_two(self._local_first(candidates))
        self._targets[chosen.guard_id] = replace(
            chosen, free_slots=chosen.free_slots - 1
        )
        return chosen

    def _local_first(self, candidates: Iterable[Target]) -> list[Target]:
        everywhere = list(candidates)
        local = [
            target
            for target in everywhere
            if target.data_centre == self._data_centre
        ]
        return local or everywhere

    def _better_of_two(self, candidates: list[Target]) -> Target:
        sample = self._random.sample(candidates, min(2, len(candidates)))
        return max(sample, key=lambda target: target.free_slots)
