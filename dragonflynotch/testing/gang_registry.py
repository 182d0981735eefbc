"""Gangs across stand-ins: members work only while all of them run."""

from dataclasses import dataclass, field

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.workflows.records import EndKind

__all__ = ('GangRegistry',)

_GANG_TIMEOUT_MS = 3000


@dataclass(slots=True)
class _Gang:
    """One run of a gang."""

    size: int
    present: set[str] = field(default_factory=set)
    working_since_ms: int | None = None
    end: EndKind | None = None


class GangRegistry:
    """What the members of each gang know of one another.

    Parameters
    ----------
    clock : SteadyClock
        Measures how long members wait for the others and work together.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Start without gangs."""
        self._clock = clock
        self._sizes: dict[str, int] = {}
        self._gangs: dict[tuple[str, int], _Gang] = {}

    def declare(self, step: str, size: int) -> None:
        """Make the tasks of a step a gang; the others run by themselves."""
        self._sizes[step] = size

    def begin(self, task: str, run: int) -> None:
        """Take note that a member has started."""
        gang = self._find(task, run, create=True)
        if gang is None:
            return
        gang.present.add(task)
        if len(gang.present) == gang.size and gang.end is None:
            gang.working_since_ms = self._clock.now_ms()

    def leave(self, task: str, run: int, kind: EndKind | None) -> None:
        """Take note that a member has ended; ``None`` stands for a crash."""
        gang = self._find(task, run)
        if gang is None:
            return
        gang.present.discard(task)
        if gang.end is None:
            gang.end = EndKind.done if kind is EndKind.done else EndKind.broken

    def is_gang(self, task: str) -> bool:
        """Return whether the task works only with others."""
        return _step_of(task) in self._sizes

    def due_end(
        self, task: str, run: int, waited_ms: int, duration_ms: int
    ) -> EndKind | None:
        """Return how the run of a member ends now, or ``None``.

        Parameters
        ----------
        waited_ms : int
            Time since the start of this member.
        duration_ms : int
            How long the members have to work together.
        """
        gang = self._find(task, run)
        if gang is None or gang.end is not None:
            return None if gang is None else gang.end
        if gang.working_since_ms is None:
            return EndKind.alone if waited_ms > _GANG_TIMEOUT_MS else None
        worked_ms = self._clock.now_ms() - gang.working_since_ms
        return EndKind.done if worked_ms >= duration_ms else None

    def _find(
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
