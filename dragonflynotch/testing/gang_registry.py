"""Coordination of gang members that run on several stand-in minions.

Members make progress only while all members of their gang run.
"""

from dataclasses import dataclass, field

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.workflows.records import EndKind

__all__ = ('GangRegistry',)

_GANG_TIMEOUT_MS = 3000


@dataclass(slots=True)
class _Gang:
    """State of one run of a gang."""

    size: int
    present: set[str] = field(default_factory=set)
    working_since_ms: int | None = None
    end: EndKind | None = None


class GangRegistry:
    """Tracks which members of each gang are running.

    Parameters
    ----------
    clock : SteadyClock
        Measures how long all members of a gang have been running.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create a registry without gangs."""
        self._clock = clock
        self._sizes: dict[str, int] = {}
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def declare(self, step: str, size: int) -> None:
        """Declare that the tasks of a step form a gang of ``size`` members."""
        self._sizes[step] = size

    def record_start(self, task: str, run: int) -> None:
        """Record the start of a member; other tasks are ignored."""
        gang = self._find_gang(task, run, create=True)
        if gang is None:
            return
        gang.present.add(task)
        if len(gang.present) == gang.size and gang.end is None:
            gang.working_since_ms = self._clock.now_ms()

    def record_end(self, task: str, run: int, kind: EndKind | None) -> None:
        """Record the end of a member; ``kind`` is ``None`` for a crash."""
        gang = self._find_gang(task, run)
        if gang is None:
            return
        gang.present.discard(task)
        if gang.end is None:
            gang.end = EndKind.done if kind is EndKind.done else EndKind.broken

    def is_gang(self, task: str) -> bool:
        """Return whether the task is a member of a gang."""
        return _step_of(task) in self._sizes

    def end_kind_if_due(
        self, task: str, run: int, waited_ms: int, duration_ms: int
    ) -> EndKind | None:
        """Return the kind of end that is due for a member, or ``None``.

        Parameters
        ----------
        waited_ms : int
            Time since this member started.
        duration_ms : int
            Time for which all members must run together to be done.
        """
        gang = self._find_gang(task, run)
        if gang is None or gang.end is not None:
            return None if gang is None else gang.end
        if gang.working_since_ms is None:
            return EndKind.alone if waited_ms > _GANG_TIMEOUT_MS else None
        worked_ms = self._clock.now_ms() - gang.working_since_ms
        return EndKind.done if worked_ms >= duration_ms else None

    def _find_gang(
        self, task: str, run: int, *, create: bool = False
    ) -> _Gang | None:
        step = _step_of(task)
        size = self._sizes.get(step)
        if size is None:
            return None
        if create:
            return self._gangs.setdefault((step, run), _Gang(size))
        return self._gangs.get((step, run))


def _step_of(task: str) -> str:
    return task.rpartition('.')[0]
