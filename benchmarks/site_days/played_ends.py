"""Ends of runs in a play: where each was when, and which were lost."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import PROCESS_GONE

__all__ = ('EndPlace', 'PlayedEnd', 'read_ends')

_DONE = 'done'
_MS_PER_S = 1000
# A write of a report that fails is logged at most this long after its start.
_MAX_WRITE_S = 3.0
_RunKey = tuple[str, int]


class EndPlace(StrEnum):
    """Where the end of a run was last known."""

    guard = 'guard, not in a written report'
    report = 'written report, not recorded'
    recorded = 'recorded'
    # The log lacks the entries of reports, and no failed write tells.
    unknown = 'guard or report'


@dataclass(slots=True)
class PlayedEnd:
    """The end of a run, from the poll that returned it to its record.

    Parameters
    ----------
    task : str
        Name of the task.
    run : int
        Number of the run.
    kind : str
        How the run ended.
    node : str
        Node of the guard that read the end.
    read_s : float
        When the poll of the guard returned it.
    unseen_s : float or None
        Longest time for which the run may have ended before.
    reported_s : float or None
        When a report with the end was written.
    recorded_s : float or None
        When its record by the leader was logged.
    lost_s : float or None
        When the leader recorded the run as lost instead.
    is_of_ended_job : bool
        Whether its job was cancelled or had ended before the end was
        recorded, so that nothing is repeated.
    is_write_failing : bool
        Whether the guard could not write from the end on.
    """

    task: str
    run: int
    kind: str
    node: str
    read_s: float
    unseen_s: float | None = None
    reported_s: float | None = None
    recorded_s: float | None = None
    lost_s: float | None = None
    is_of_ended_job: bool = False
    is_write_failing: bool = False

    @property
    def job(self) -> str:
        """The job of the task."""
        return self.task.partition('.')[0]

    @property
    def is_done(self) -> bool:
        """Whether the run did its work."""
        return self.kind == _DONE

    @property
    def is_open(self) -> bool:
        """Whether the leader could still record the end."""
        return (
            self.recorded_s is None
            and self.lost_s is None
            and not self.is_of_ended_job
        )

    @property
    def place(self) -> EndPlace:
        """Where the end was last known."""
        if self.recorded_s is not None:
            return EndPlace.recorded
        if self.reported_s is not None:
            return EndPlace.report
        if self.is_write_failing:
            return EndPlace.guard
        return EndPlace.unknown


def read_ends(entries: Sequence[tuple[float, LogEntry]]) -> list[PlayedEnd]:
    """Return the ends of all runs of a play, in the order of the polls.

    Parameters
    ----------
    entries : sequence of float and LogEntry
        Entries of the play with their times, and the processes that ended.
    """
    reader = _Reader()
    for at_s, entry in entries:
        reader.apply(at_s, entry)
    ends = list(reader.ends.values())
    if reader.has_reports:
        for end in ends:
            end.is_write_failing = end.reported_s is None
    return ends


class _Reader:
    """Follows the ends of one play through its logs."""

    def __init__(self) -> None:
        self.ends: dict[_RunKey, PlayedEnd] = {}
        # Whether the log names the ends of each written report.
        self.has_reports = False
        # Nodes whose guards cannot write their reports.
        self._failing_nodes: set[str] = set()
        self._ended_jobs: set[str] = set()
        self._handlers: dict[str, Callable[[float, LogEntry], None]] = {
            'run_ended': self._read,
            'ends_reported': self._report,
            'end_recorded': self._record,
            'run_lost': self._lose,
            'job_ended': self._end_job,
            'job_cancelled': self._end_job,
            'cancel_accepted': self._end_job,
            'report_not_written': self._fail_write,
            'report_written': self._regain,
            PROCESS_GONE: self._forget_failure,
        }

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Apply an entry of the logs."""
        apply = self._handlers.get(entry.event)
        if apply is not None:
            apply(at_s, entry)

    def _read(self, at_s: float, entry: LogEntry) -> None:
        key = (entry.task, entry.run)
        # A guard that restarts reads the ends of its minion again.
        if key in self.ends:
            return
        job = entry.task.partition('.')[0]
        unseen_s = None
        if entry.unseen_ms >= 0:
            unseen_s = entry.unseen_ms / _MS_PER_S
        self.ends[key] = PlayedEnd(
            entry.task,
            entry.run,
            entry.kind,
            entry.node,
            at_s,
            unseen_s,
            is_of_ended_job=job in self._ended_jobs,
            is_write_failing=entry.node in self._failing_nodes,
        )

    def _report(self, at_s: float, entry: LogEntry) -> None:
        self.has_reports = True
        for name in entry.ends:
            end = self.ends.get((name.task, name.run))
            if end is not None and end.reported_s is None:
                end.reported_s = at_s

    def _record(self, at_s: float, entry: LogEntry) -> None:
        end = self.ends.get((entry.task, entry.run))
        if end is not None and end.recorded_s is None:
            end.recorded_s = at_s

    def _lose(self, at_s: float, entry: LogEntry) -> None:
        for end in self._open_ends():
            # Entries of older builds lack the number of the run.
            if end.task == entry.task and entry.run in {0, end.run}:
                end.lost_s = at_s

    def _end_job(self, _: float, entry: LogEntry) -> None:
        self._ended_jobs.add(entry.job)
        for end in self._open_ends():
            end.is_of_ended_job = end.job == entry.job

    def _fail_write(self, at_s: float, entry: LogEntry) -> None:
        self._failing_nodes.add(entry.node)
        for end in self._open_ends():
            if end.node == entry.node and at_s - end.read_s <= _MAX_WRITE_S:
                end.is_write_failing = True

    def _regain(self, at_s: float, entry: LogEntry) -> None:
        self._forget_failure(at_s, entry)
        for end in self._open_ends():
            if end.node == entry.node:
                end.is_write_failing = False

    def _forget_failure(self, _: float, entry: LogEntry) -> None:
        self._failing_nodes.discard(entry.node)

    def _open_ends(self) -> list[PlayedEnd]:
        return [end for end in self.ends.values() if end.is_open]
