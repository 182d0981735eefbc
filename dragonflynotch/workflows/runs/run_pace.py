"""How fast a run works, by the percentages that its guard reports."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ('RunPace',)

_PERCENT = 100
# Span of the reports by which the current pace is judged.
_WINDOW_MS = 3_000
# Percentages are whole numbers, so a pace from fewer is too uncertain.
_MIN_PERCENT_CHANGE = 5
# A run is slow once one percent takes this multiple of its shortest time.
_SLOW_FACTOR = 3


@dataclass(frozen=True, slots=True)
class _Progress:
    read_ms: int
    percent: int


@dataclass(slots=True)
class RunPace:
    """Pace of a run, in milliseconds for each percent.

    The run time differs widely between the tasks of a step but hardly between
    the runs of a task, so a run is compared with the task's own best pace.

    Parameters
    ----------
    best_ms : float or None
        Shortest time of one percent, earlier runs of the task included.
    current_ms : float
        Time of one percent within the last few seconds; 0 if not known.
    slow_since_ms : int or None
        Store time since which the run has been slow; ``None`` if it is not.
    """

    best_ms: float | None = None
    current_ms: float = 0
    slow_since_ms: int | None = None
    _recent: deque[_Progress] = field(default_factory=deque)

    def add(self, read_ms: int, percent: int) -> None:
        """Add a reported percentage.

        Parameters
        ----------
        read_ms : int
            Store time at which the guard read it. One that was added before
            says nothing new.
        """
        recent = self._recent
        if percent >= _PERCENT:
            # It waits for the other members of its gang, or is a service.
            recent.clear()
            self.current_ms = 0
            self.slow_since_ms = None
            return
        if recent and read_ms <= recent[-1].read_ms:
            return
        if recent and percent < recent[-1].percent:
            # Not the progress of one run; a pace cannot be told from both.
            recent.clear()
        recent.append(_Progress(read_ms, percent))
        while len(recent) > 2 and read_ms - recent[1].read_ms >= _WINDOW_MS:
            recent.popleft()
        self._judge()

    def _judge(self) -> None:
        first, last = self._recent[0], self._recent[-1]
        span_ms = last.read_ms - first.read_ms
        change = last.percent - first.percent
        if change >= _MIN_PERCENT_CHANGE:
            # A percent that had begun before may be among them.
            pace_ms = span_ms / (change - 1)
            self.best_ms = min(self.best_ms or pace_ms, pace_ms)
        if span_ms < _WINDOW_MS:
            return
        # At most one more percent has been done than is reported.
        self.current_ms = span_ms / (change + 1)
        if (
            self.best_ms is None
            or self.current_ms < _SLOW_FACTOR * self.best_ms
        ):
            self.slow_since_ms = None
        elif self.slow_since_ms is None:
            self.slow_since_ms = first.read_ms
