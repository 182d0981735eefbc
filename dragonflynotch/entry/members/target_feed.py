"""Updates the routing table with local and remote guards."""

from collections.abc import Callable
from datetime import datetime

from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.entry.peers.remote_entries import RemoteGuardObserver

__all__ = ('TargetFeed',)


class TargetFeed(RemoteGuardObserver):
    """Adds guards with a minion to the routing table as targets.

    Guards of this data centre announce themselves to this entry, so the lists
    of them from other entries are ignored.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    routing : RoutingTable
        Receives the targets.
    notify : callable
        Called when a target changed, so that waiting requests can be sent.
    """

    def __init__(
        self,
        data_centre: str,
        routing: RoutingTable,
        notify: Callable[[], None],
    ) -> None:
        """Update ``routing``."""
        self._data_centre = data_centre
        self._routing = routing
        self._notify = notify

    def observe(self, guard: GuardInfo) -> None:
        """Add or update the target of a guard, if it has a minion."""
        if guard.minion is None:
            return
        self._routing.observe(
            Target(
                guard_id=guard.guard_id,
                incarnation=guard.incarnation,
                sequence=guard.sequence,
                data_centre=guard.data_centre,
                address=guard.address,
                minion_id=guard.minion.minion_id,
                slots=guard.minion.slots,
                free_slots=guard.minion.free_slots,
                is_ready=guard.is_ready,
                heard_at=guard.heard_at,
            )
        )
        self._notify()

    def guard_listed(self, entry_id: str, guard: GuardInfo) -> None:
        """Handle a guard that another entry added or changed."""
        if guard.data_centre != self._data_centre:
            self.observe(guard)
            self._routing.renewals.list_member(entry_id, guard.guard_id)

    def guard_unlisted(self, entry_id: str, guard: GuardInfo) -> None:
        """Handle a guard that another entry no longer lists."""
        self._routing.renewals.unlist_member(entry_id, guard.guard_id)

    def guards_renewed(self, entry_id: str, heard_at: datetime) -> None:
        """Count all guards that an entry lists as heard at ``heard_at``."""
        self._routing.renewals.renew(entry_id, heard_at)
