"""Members that guards hold although no current attempt expects them."""

from dragonflynotch.core.actions import StopMember
from dragonflynotch.core.events import MemberReport, MemberState
from dragonflynotch.core.inventory import Allocation, Use
from dragonflynotch.core.state import PartitionState

__all__ = ('Strays',)

_StrayKey = tuple[str, int, str]
_ALIVE = frozenset((MemberState.prepared, MemberState.running))


class Strays:
    """Stops unexpected members and keeps their accelerators until then.

    Such members are left over from an earlier owner that could not write its
    records, or from a stop order that was lost.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    """

    def __init__(self, state: PartitionState) -> None:
        """Start without strays."""
        self._state = state
        self._held: dict[_StrayKey, Allocation] = {}

    def __bool__(self) -> bool:
        """Whether there are strays."""
        return bool(self._held)

    def clear(self) -> None:
        """Forget all strays, after the state was reset."""
        self._held.clear()

    def observe(self, worker_id: str, members: list[MemberReport]) -> None:
        """Compare the unexpected members of a report with those known."""
        listed = {
            (member.job_id, member.attempt, worker_id): member
            for member in members
            if member.state in _ALIVE
        }
        for key in tuple(self._held):
            if key[2] == worker_id and key not in listed:
                self.ended(key)
        for key, member in listed.items():
            if key not in self._held:
                self._hold(key, member)
            self._state.emit(StopMember(*key, self._state.fence))

    def ended(self, key: _StrayKey) -> None:
        """Release what a stray held, if there is one."""
        allocation = self._held.pop(key, None)
        if allocation is not None:
            self._state.inventory.release(allocation)
            self._state.capacity_changed()

    def worker_removed(self, worker_id: str) -> None:
        """Forget the strays of a worker that was removed with its use."""
        for key in tuple(self._held):
            if key[2] == worker_id:
                self._held.pop(key)

    def _hold(self, key: _StrayKey, member: MemberReport) -> None:
        worker = self._state.inventory.find(key[2])
        if worker is None:
            return
        idle = tuple(
            index
            for index in member.accelerators
            if not worker.busy >> index & 1
        )
        allocation = Allocation(key[2], idle, 0, 0, Use.firm)
        self._held[key] = allocation
        self._state.inventory.hold(allocation)
