"""Random samples of the members of a data centre at constant cost."""

from collections.abc import Iterator
from random import Random

__all__ = ('MemberIds',)


class MemberIds:
    """Ids of members by data centre, in lists that can be sampled."""

    def __init__(self) -> None:
        """Start without members."""
        self._lists: dict[str, list[str]] = {}
        self._positions: dict[tuple[str, str], int] = {}

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Data centres with members."""
        return tuple(self._lists)

    def add(self, data_centre: str, member_id: str) -> None:
        """Add a member, unless it is known."""
        key = (data_centre, member_id)
        if key in self._positions:
            return
        ids = self._lists.setdefault(data_centre, [])
        self._positions[key] = len(ids)
        ids.append(member_id)

    def discard(self, data_centre: str, member_id: str) -> None:
        """Remove a member, if it is known."""
        position = self._positions.pop((data_centre, member_id), None)
        if position is None:
            return
        ids = self._lists[data_centre]
        last = ids.pop()
        if last != member_id:
            ids[position] = last
            self._positions[(data_centre, last)] = position

    def sample(
        self, data_centre: str, random: Random, tries: int
    ) -> Iterator[str]:
        """Yield distinct random members, at most ``tries`` of them."""
        ids = self._lists.get(data_centre, [])
        if len(ids) <= tries:
            yield from random.sample(ids, len(ids))
            return
        seen: set[int] = set()
        for _ in range(tries):
            position = random.randrange(len(ids))
            if position not in seen:
                seen.add(position)
                yield ids[position]
