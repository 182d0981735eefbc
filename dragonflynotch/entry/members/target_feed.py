"""Feeds the routing table with local and remote guards."""

from collections.abc import Callable
from datetime import datetime

from dragonflynotch.core.membership import GuardInfo
from dragonflynotch.core.routing import RoutingTable, Target
from dragonflynotch.entry.peers.remote_entries import RemoteGuardObserver

__all__ = ('TargetFeed',)


class TargetFeed(RemoteGuardObserver):
    """Turns guards with a minion into targets.

    Guards of the own data centre are heard directly; what other entries of it
    say of them is ignored.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    routing : RoutingTable
        Receives the targets.
    notify : callable
        Called after a change that may serve a waiting request.
    """

    def __init__(
        self,
        data_centre: str,
        routing: RoutingTable,
        notify: Callable[[], None],
    ) -> None:
        """Feed ``routing``."""
        self._data_centre = data_centre
        self._routing = routing
        self._notify = notify

    def observe(self, guard: GuardInfo) -> None:
        """Take over a guard that announced itself here."""
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
        """Take over a guard that is new or changed at an entry."""
        if guard.data_centre != self._data_centre:
            self.observe(guard)
            self._routing.renewals.list_member(entry_id, guard.guard_id)

    def guard_unlisted(self, entry_id: str, guard: GuardInfo) -> None:
        """Note that an entry lists a guard no more."""
        self._routing.renewals.unlist_member(entry_id, guard.guard_id)

    def guards_renewed(self, entry_id: str, heard_at: datetime) -> None:
        """Count all guards listed by an entry as heard at a time."""
        self._routing.renewals.renew(entry_id, heard_at)
