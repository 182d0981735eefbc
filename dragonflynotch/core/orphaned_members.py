"""Orphaned members: reported by a guard, but of no current attempt."""

from dragonflynotch.core.actions import StopMember
from dragonflynotch.core.events import MemberReport, MemberState
from dragonflynotch.core.inventory import Allocation, AllocationKind
from dragonflynotch.core.state import PartitionState

__all__ = ('OrphanedMembers',)

_MemberKey = tuple[str, int, str]
_ALIVE_STATES = frozenset((MemberState.prepared, MemberState.running))


class OrphanedMembers:
    """Stops orphaned members and holds their accelerators until they ended.

    Members are orphaned if an earlier owner could not write its records, or if
    a stop order was lost.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Start without orphaned members."""
        self._state = state
        self._held: dict[_MemberKey, Allocation] = {}

    def __bool__(self) -> bool:
        """Whether there are orphaned members."""
        return bool(self._held)

    def clear(self) -> None:
        """Forget all orphaned members after the state was reset."""
        self._held.clear()

    def observe(self, worker_id: str, members: list[MemberReport]) -> None:
        """Update the orphaned members of a worker from a report and stop them.

        Parameters
        ----------
        worker_id : str
            Worker whose guard sent the report.
        members : list of MemberReport
            Members of the report that belong to no current attempt.
        """
        listed = {
            (member.job_id, member.attempt, worker_id): member
            for member in members
            if member.state in _ALIVE_STATES
        }
        for key in tuple(self._held):
            if key[2] == worker_id and key not in listed:
                self.release(key)
        for key, member in listed.items():
            if key not in self._held:
                self._hold(key, member)
            self._state.emit(StopMember(*key, self._state.fence))

    def release(self, key: _MemberKey) -> None:
        """Release the accelerators of an orphaned member, if it is known."""
        allocation = self._held.pop(key, None)
        if allocation is not None:
            self._state.inventory.release(allocation)
            self._state.capacity_changed()

    def remove_worker(self, worker_id: str) -> None:
        """Forget the orphaned members of a worker that left the inventory."""
        for key in tuple(self._held):
            if key[2] == worker_id:
                self._held.pop(key)

    def _hold(self, key: _MemberKey, member: MemberReport) -> None:
        worker = self._state.inventory.find(key[2])
        if worker is None:
            return
        idle = tuple(
            index
            for index in member.accelerators
            if not worker.busy_mask >> index & 1
        )
        allocation = Allocation(key[2], idle, 0, 0, AllocationKind.firm)
        self._held[key] = allocation
        self._state.inventory.hold(allocation)
