"""When minions of a play ended without a word, found with hindsight."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from benchmarks.site_days.log_entries import LogEntry
from benchmarks.site_days.played_faults import PlayedFault

__all__ = ('MINION_GONE', 'PROCESS_GONE', 'add_losses')

# Events that are added to those of the logs.
MINION_GONE = 'minion_gone'
PROCESS_GONE = 'process_gone'

_MS_PER_S = 1000
_TimedEntry = tuple[float, LogEntry]


def add_losses(
    entries: Sequence[_TimedEntry], faults: Sequence[PlayedFault]
) -> list[_TimedEntry]:
    """Return the entries with the ends that only later entries show.

    A machine that loses power logs nothing. Its minion ended when the
    impairment began, or else with the last entry of its guard, if a later
    entry names another minion of the same node, or none of that node follows.

    Parameters
    ----------
    entries : sequence of float and LogEntry
        Entries of a play with their times.
    faults : sequence of PlayedFault
        Impairments that the play lists.
    """
    search = _Search(faults)
    for at_s, entry in entries:
        search.apply(at_s, entry)
    return sorted([*entries, *search.finish()], key=lambda timed: timed[0])


@dataclass(slots=True)
class _Node:
    minion: str = ''
    registered_s: float = 0
    # Time of the last entry; ``None`` before the first.
    last_s: float | None = None
    has_ended: bool = True


@dataclass(slots=True)
class _Search:
    faults: Sequence[PlayedFault]
    found: list[_TimedEntry] = field(default_factory=list)
    _nodes: dict[str, _Node] = field(default_factory=dict)

    def apply(self, at_s: float, entry: LogEntry) -> None:
        """Use an entry to tell what ended before it."""
        node = self._nodes.setdefault(entry.node, _Node())
        match entry.event:
            case 'started':
                self._end_process(node, entry.node, at_s)
                node.last_s = node.last_s or at_s
                return
            case 'minion_registered' if entry.minion != node.minion:
                self._end_minion(node, entry.node, at_s)
                node.minion = entry.minion
                node.registered_s = at_s
                node.has_ended = False
            case 'minion_ended':
                lost_s = at_s - entry.lost_for_ms / _MS_PER_S
                self._add(lost_s, LogEntry(MINION_GONE, minion=entry.minion))
                node.has_ended = True
            case 'minion_left':
                node.has_ended = True
        node.last_s = at_s

    def finish(self) -> Iterable[_TimedEntry]:
        """Return all ends; machines may be without power to the end."""
        for name, node in self._nodes.items():
            if any(self._outages_of(node, name, float('inf'))):
                self._end_minion(node, name, float('inf'))
        return self.found

    def _end_process(self, node: _Node, name: str, until_s: float) -> None:
        """Add the end of a process that was started again."""
        last_s = node.last_s
        if last_s is None:
            return
        began = (
            fault.began_s
            for fault in self.faults
            if last_s <= fault.began_s <= until_s and fault.may_concern(name)
        )
        ended_s = max(began, default=last_s)
        self._add(ended_s, LogEntry(PROCESS_GONE, node=name))

    def _end_minion(self, node: _Node, name: str, until_s: float) -> None:
        if node.has_ended:
            return
        lost_s = min(
            (fault.began_s for fault in self._outages_of(node, name, until_s)),
            default=node.last_s or node.registered_s,
        )
        self._add(lost_s, LogEntry(MINION_GONE, minion=node.minion))
        node.has_ended = True

    def _outages_of(
        self, node: _Node, name: str, until_s: float
    ) -> Iterator[PlayedFault]:
        """Yield the outages since the last entry of the node."""
        since_s = max(node.last_s or 0, node.registered_s)
        return (
            fault
            for fault in self.faults
            if fault.cuts_power
            and since_s <= fault.began_s <= until_s
            and fault.may_concern(name)
        )

    def _add(self, at_s: float, entry: LogEntry) -> None:
        self.found.append((at_s, entry))
