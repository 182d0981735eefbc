"""Random samples of the members of a data centre.

The cost of a sample does not depend on the number of members.
"""

from collections.abc import Iterator
from random import Random

__all__ = ('MemberSampler',)


class MemberSampler:
    """Identifiers of members by data centre, for random sampling."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._ids: dict[str, list[str]] = {}
        self._positions: dict[tuple[str, str], int] = {}

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Data centres to which a member was added."""
        return tuple(self._ids)

    def add(self, data_centre: str, member_id: str) -> None:
        """Add a member, if it is not known yet."""
        key = (data_centre, member_id)
        if key in self._positions:
            return
        ids = self._ids.setdefault(data_centre, [])
        self._positions[key] = len(ids)
        ids.append(member_id)

    def discard(self, data_centre: str, member_id: str) -> None:
        """Remove a member, if it is known."""
        position = self._positions.pop((data_centre, member_id), None)
        if position is None:
            return
        ids = self._ids[data_centre]
        last = ids.pop()
        if last != member_id:
            ids[position] = last
            self._positions[(data_centre, last)] = position

    def sample(
        self, data_centre: str, random: Random, max_draws: int
    ) -> Iterator[str]:
        """Yield distinct random members from at most ``max_draws`` draws."""
        ids = self._ids.get(data_centre, [])
        if len(ids) <= max_draws:
            yield from random.sample(ids, len(ids))
            return
        drawn: set[int] = set()
        for _ in range(max_draws):
            position = random.randrange(len(ids))
            if position not in drawn:
                drawn.add(position)
                yield ids[position]
