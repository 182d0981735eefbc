"""What became of the ends of runs in one play."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.minion_losses import add_losses
from benchmarks.site_days.play_log import read_entries
from benchmarks.site_days.played_ends import PlayedEnd, read_ends
from benchmarks.site_days.played_faults import read_faults
from benchmarks.site_days.repeated_runs import Repeat, find_repeats

__all__ = ('PlayEnds', 'read_play_ends')


@dataclass(frozen=True, slots=True)
class PlayEnds:
    """Ends and repeats of one play.

    Parameters
    ----------
    ends : sequence of PlayedEnd
        All ends of runs.
    repeats : sequence of Repeat
        Runs of tasks that were done.
    """

    ends: Sequence[PlayedEnd] = ()
    repeats: Sequence[Repeat] = ()

    @property
    def lost(self) -> list[PlayedEnd]:
        """Ends of runs that the leader recorded as lost."""
        return [end for end in self.ends if end.lost_s is not None]

    @property
    def open(self) -> list[PlayedEnd]:
        """Ends that no entry shows as recorded or lost.

        A leader does not log what it decided if the answer to its write was
        lost, so an end whose task is not repeated may have been recorded.
        """
        return [end for end in self.ends if end.is_open]

    @property
    def needless(self) -> list[PlayedEnd]:
        """Ends without a record whose jobs had ended or were cancelled."""
        return [
            end
            for end in self.ends
            if end.is_of_ended_job and end.recorded_s is None
        ]


def read_play_ends(log: Path) -> PlayEnds:
    """Return the ends and repeats of a play.

    Parameters
    ----------
    log : Path
        Output of a play with the logs of all programs.
    """
    lines = log.read_text(encoding='utf-8', errors='replace').splitlines()
    logged = list(read_entries(lines, LogEntry))
    entries = add_losses(logged, list(read_faults(lines)))
    ends = read_ends(entries)
    return PlayEnds(ends, find_repeats(entries, ends))
