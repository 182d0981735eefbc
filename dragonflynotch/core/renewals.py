"""Freshness of members that other entries list in their digests."""

from datetime import datetime, timedelta

__all__ = ('Renewals',)


class Renewals:
    """When the entries that list a member last renewed it.

    An entry renews all its members at once, so the cost of a digest without
    changes does not depend on their number.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._sources: dict[str, set[str]] = {}
        self._renewed_at: dict[str, datetime] = {}

    def list_member(self, source: str, member_id: str) -> None:
        """Note that an entry lists a member."""
        self._sources.setdefault(member_id, set()).add(source)

    def unlist_member(self, source: str, member_id: str) -> None:
        """Note that an entry lists a member no more."""
        sources = self._sources.get(member_id, set())
        sources.discard(source)
        if not sources:
            self._sources.pop(member_id, None)

    def renew(self, source: str, heard_at: datetime) -> None:
        """Count all members listed by an entry as heard at a time."""
        self._renewed_at[source] = heard_at

    def is_fresh(
        self, member_id: str, now: datetime, time_to_live: timedelta
    ) -> bool:
        """Return whether an entry that lists the member renewed it lately."""
        return any(
            now - self._renewed_at[source] <= time_to_live
            for source in self._sources.get(member_id, ())
            if source in self._renewed_at
        )
