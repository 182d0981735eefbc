"""Log and count of entries of other processes that could not be used."""

from dragonflynotch.core.untrusted import Unreadable, shorten
from dragonflynotch.observability.decisions import DecisionLog, decision_log

__all__ = ('UnreadableEntries', 'unreadable_entries')


class UnreadableEntries:
    """Counts unreadable entries and logs each with its source and the reason.

    Parameters
    ----------
    log : DecisionLog
        Receives a line for each entry.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Start at 0."""
        self._log = log
        self._count = 0

    @property
    def count(self) -> int:
        """Number of unreadable entries since the start of the process."""
        return self._count

    def record(self, event: str, entry: Unreadable, **source: str) -> None:
        """Count an entry and log a line of limited length.

        Parameters
        ----------
        event : str
            Name of the event, for example ``'report_unreadable'``.
        entry : Unreadable
            Why it cannot be used.
        **source
            Where the entry comes from: a path, the key of a row or a peer.
        """
        self._count += 1
        fields = {name: shorten(text) for name, text in source.items()}
        self._log.record(event, **fields, reason=entry.reason)


unreadable_entries = UnreadableEntries(decision_log)
