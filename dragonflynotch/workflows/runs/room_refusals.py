"""Starts that minions refused for want of room."""

from collections import defaultdict
from dataclasses import dataclass

from dragonflynotch.workflows.resources import Resources

__all__ = ('RoomRefusals',)

# A refusal counts for this long, unless the room of the worker changes sooner.
# A heartbeat, which tells a changed capacity, comes every 1 to 2 s.
_REFUSAL_MS = 1000


@dataclass(frozen=True, slots=True)
class _Refusal:
    needs: Resources
    end_ms: int


class RoomRefusals:
    """Minions that have less room than the last reports show.

    A minion may shrink between two heartbeats. Until the next one, its room
    seems free, and a task that fits there best would be ordered on it and
    refused again and again, also while other workers have room.
    """

    def __init__(self) -> None:
        """Create an instance without any refusals."""
        self._refusals: dict[str, list[_Refusal]] = defaultdict(list)

    def record(self, minion_id: str, needs: Resources, now_ms: int) -> None:
        """Record that a minion refused a run for want of room."""
        self._refusals[minion_id].append(_Refusal(needs, now_ms + _REFUSAL_MS))

    def clear(self, minion_id: str) -> None:
        """Forget the refusals of a minion whose room has changed."""
        self._refusals.pop(minion_id, None)

    def refused_needs(self, now_ms: int) -> dict[str, list[Resources]]:
        """Return what minions recently refused to start, by minion."""
        refused: dict[str, list[Resources]] = {}
        for minion_id, refusals in list(self._refusals.items()):
            recent = [entry for entry in refusals if entry.end_ms > now_ms]
            if recent:
                self._refusals[minion_id] = recent
                refused[minion_id] = [entry.needs for entry in recent]
            else:
                self.clear(minion_id)
        return refused
