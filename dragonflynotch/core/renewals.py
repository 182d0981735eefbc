"""Freshness of the members that other entries list in their digests."""

from datetime import datetime, timedelta

__all__ = ('Renewals',)


class Renewals:
    """Times at which entries last renewed the members that they list.

    An entry renews all its members at once, so the cost of a digest without
    changes does not depend on the number of members.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._listed_by: dict[str, set[str]] = {}
        self._renewed_at: dict[str, datetime] = {}

    def list_member(self, entry_id: str, member_id: str) -> None:
        """Record that an entry lists a member."""
        self._listed_by.setdefault(member_id, set()).add(entry_id)

    def unlist_member(self, entry_id: str, member_id: str) -> None:
        """Record that an entry no longer lists a member."""
        entry_ids = self._listed_by.get(member_id, set())
        entry_ids.discard(entry_id)
        if not entry_ids:
            self._listed_by.pop(member_id, None)

    def renew(self, entry_id: str, renewed_at: datetime) -> None:
        """Renew all members that an entry lists."""
        self._renewed_at[entry_id] = renewed_at

    def is_fresh(
        self, member_id: str, now: datetime, time_to_live: timedelta
    ) -> bool:
        """Return whether an entry renewed the member within the TTL."""
        return any(
            now - self._renewed_at[entry_id] <= time_to_live
            for entry_id in self._listed_by.get(member_id, ())
            if entry_id in self._renewed_at
        )
