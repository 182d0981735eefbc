"""Runs of a play that repeat a task that is done."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import MINION_GONE
from benchmarks.site_days.played_ends import PlayedEnd

__all__ = ('PlayedRun', 'Repeat', 'find_repeats')

_STARTED = 'Started'
_LOST = 'lost'
_NOT_RUN = 'not run'
# Entries of older builds lack the number of the run.
_ANY_RUN = 0
_RunKey = tuple[str, int]


@dataclass(slots=True)
class PlayedRun:
    """A run of a play.

    Parameters
    ----------
    ordered_s : float
        When the leader ordered it.
    minion : str
        The minion that was to run it.
    started_s, ended_s : float or None
        When it began and ended on the minion.
    ended_as : str
        How it ended.
    """

    ordered_s: float
    minion: str
    started_s: float | None = None
    ended_s: float | None = None
    ended_as: str = ''

    def end(self, at_s: float, kind: str) -> None:
        """Record the first end that the logs tell."""
        if self.ended_s is None:
            self.ended_s = at_s
            self.ended_as = kind


@dataclass(frozen=True, slots=True)
class Repeat:
    """A run that was at work, or ordered, once its task was done.

    Parameters
    ----------
    task : str
        Name of the task.
    number : int
        Number of the run.
    done : PlayedEnd
        End of the task, as its guard read it.
    run : PlayedRun
        The repeat.
    until_s : float
        Time of the last entry of the log.
    """

    task: str
    number: int
    done: PlayedEnd
    run: PlayedRun
    until_s: float

    @property
    def wasted_s(self) -> float:
        """How long the repeat was at work after the task was done."""
        if self.run.started_s is None:
            return 0
        ended_s = self.until_s if self.run.ended_s is None else self.run.ended_s
        return ended_s - max(self.run.started_s, self.done.read_s)


def find_repeats(
    entries: Sequence[tuple[float, LogEntry]], ends: Iterable[PlayedEnd]
) -> list[Repeat]:
    """Return the repeats of a play, in the order of their orders.

    Parameters
    ----------
    entries : sequence of float and LogEntry
        Entries of the play with their times, and the minions that ended.
    ends : iterable of PlayedEnd
        Ends of all runs of the play.
    """
    if not entries:
        return []
    reader = _Reader()
    for at_s, entry in entries:
        reader.apply(at_s, entry)
    done: dict[str, PlayedEnd] = {}
    for end in ends:
        if end.is_done:
            done.setdefault(end.task, end)
    until_s = entries[-1][0]
    return [
        Repeat(task, number, done[task], run, until_s)
        for (task, number), run in reader.runs.items()
        if task in done and _is_repeat(number, run, done[task])
    ]


def _is_repeat(number: int, run: PlayedRun, done: PlayedEnd) -> bool:
    if number == done.run:
        return False
    return run.ended_s is None or run.ended_s > done.read_s


class _Reader:
    """Follows the runs of one play through its logs."""

    def __init__(self) -> None:
        self.runs: dict[_RunKey, PlayedRun] = {}
        self._handlers: dict[str, Callable[[float, LogEntry], None]] = {
            'run_ordered': self._order,
            'start_order': self._start,
            'run_found': self._find,
            'run_ended': self._end,
            'run_lost': self._lose,
            'start_not_run': self._reject,
            'minion_left': self._lose_minion,
            'minion_ended': self._lose_minion,
            'minion_lost': self._lose_minion,
            MINION_GONE: self._lose_minion,
        }

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Apply an entry of the logs."""
        apply = self._handlers.get(entry.event)
        if apply is not None:
            apply(at_s, entry)

    def _order(self, at_s: float, entry: LogEntry) -> None:
        key = (entry.task, entry.run)
        self.runs.setdefault(key, PlayedRun(at_s, entry.minion))

    def _start(self, at_s: float, entry: LogEntry) -> None:
        if entry.outcome == _STARTED:
            self._find(at_s, entry)

    def _find(self, at_s: float, entry: LogEntry) -> None:
        run = self.runs.get((entry.task, entry.run))
        if run is not None and run.started_s is None:
            run.started_s = at_s

    def _end(self, at_s: float, entry: LogEntry) -> None:
        self._end_runs(at_s, entry, entry.kind)

    def _reject(self, at_s: float, entry: LogEntry) -> None:
        self._end_runs(at_s, entry, _NOT_RUN)

    def _lose(self, at_s: float, entry: LogEntry) -> None:
        self._end_runs(at_s, entry, _LOST)

    def _end_runs(self, at_s: float, entry: LogEntry, kind: str) -> None:
        for (task, number), run in self.runs.items():
            if task == entry.task and entry.run in {_ANY_RUN, number}:
                run.end(at_s, kind)

    def _lose_minion(self, at_s: float, entry: LogEntry) -> None:
        for run in self.runs.values():
            if run.minion == entry.minion:
                run.end(at_s, _LOST)
