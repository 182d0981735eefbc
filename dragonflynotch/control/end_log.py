"""Log and age of the ends that a guard knows and no scheduler has recorded."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from dragonflynotch.control.clocks import SteadyClock
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.workflows.records import RunEnd

__all__ = ('EndBacklog', 'EndLog')

# Keeps a log line short when many ends wait for an outage to pass.
_MAX_LOGGED_ENDS = 20

_RunKey = tuple[str, int]


@dataclass(slots=True)
class _KnownEnd:
    """An end that a poll returned.

    Parameters
    ----------
    read_ms : int
        Local time at which the poll returned.
    attempts : int
        Writes of a report with this end that were started.
    is_reported : bool
        Whether a report with this end has been written.
    """

    read_ms: int
    attempts: int = 0
    is_reported: bool = False


@dataclass(frozen=True, slots=True)
class EndBacklog:
    """Ends that a guard knows and no scheduler has recorded.

    Parameters
    ----------
    count : int
        Number of ends.
    oldest_ms : int
        Time since the first of them was read.
    """

    count: int = 0
    oldest_ms: int = 0


class EndLog:
    """Logs when ends are read and reported; it decides nothing.

    Parameters
    ----------
    clock : SteadyClock
        Clock of this process.
    """

    def __init__(self, clock: SteadyClock) -> None:
        """Create the log without ends."""
        self._clock = clock
        self._known: dict[_RunKey, _KnownEnd] = {}

    def backlog_of(self, unrecorded: Sequence[RunEnd]) -> EndBacklog:
        """Return the size and age of the ends that are not recorded."""
        now_ms = self._clock.now_ms()
        ages_ms = [
            now_ms - known.read_ms
            for end in unrecorded
            if (known := self._known.get(_key(end))) is not None
        ]
        return EndBacklog(len(unrecorded), max(ages_ms, default=0))

    def record_read(
        self,
        new_ends: Iterable[RunEnd],
        unrecorded: Iterable[RunEnd],
        poll_ms: int,
        unseen_ms: int,
    ) -> None:
        """Log the ends that a poll has returned.

        Parameters
        ----------
        new_ends : iterable of RunEnd
            Ends that earlier polls did not return.
        unrecorded : iterable of RunEnd
            All ends that are not recorded; others are forgotten.
        poll_ms : int
            Duration of the poll.
        unseen_ms : int
            Time since the state before was read.
        """
        keys = {_key(end) for end in unrecorded}
        self._known = {
            key: known for key, known in self._known.items() if key in keys
        }
        for end in new_ends:
            self._known.setdefault(_key(end), _KnownEnd(self._clock.now_ms()))
            decision_log.record(
                'run_ended',
                task=end.task,
                run=end.run,
                kind=end.kind.value,
                poll_ms=poll_ms,
                unseen_ms=unseen_ms,
            )

    def record_attempt(self, ends: Iterable[RunEnd]) -> None:
        """Count a write of a report with these ends that is started."""
        for end in ends:
            known = self._known.get(_key(end))
            if known is not None:
                known.attempts += 1

    def record_written(self, ends: Iterable[RunEnd], version: int) -> None:
        """Log the ends that a written report contains for the first time.

        Parameters
        ----------
        version : int
            Version of the row with the report.
        """
        reported = []
        for end in ends:
            known = self._known.get(_key(end))
            if known is not None and not known.is_reported:
                known.is_reported = True
                reported.append((_key(end), known))
        if reported:
            self._log_reported(reported, version)

    def _log_reported(
        self, reported: Sequence[tuple[_RunKey, _KnownEnd]], version: int
    ) -> None:
        now_ms = self._clock.now_ms()
        decision_log.record(
            'ends_reported',
            ends=[
                {'task': task, 'run': run, 'held_ms': now_ms - known.read_ms}
                for (task, run), known in reported[:_MAX_LOGGED_ENDS]
            ],
            count=len(reported),
            held_ms=max(now_ms - known.read_ms for _, known in reported),
            attempts=max(known.attempts for _, known in reported),
            version=version,
        )


def _key(end: RunEnd) -> _RunKey:
    return end.task, end.run
