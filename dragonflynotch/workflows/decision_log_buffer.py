"""Buffer for decision log entries.

The scheduler does no I/O. Its caller writes these entries to the decision log
after the transaction with the decisions has been committed.
"""

from dataclasses import dataclass, field

__all__ = ('DecisionLogBuffer', 'DecisionLogEntry')


@dataclass(frozen=True, slots=True)
class DecisionLogEntry:
    """One decision: its event name, inputs and outcome."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


class DecisionLogBuffer:
    """Collects entries until the caller takes them."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._entries: list[DecisionLogEntry] = []

    def record(self, event: str, **fields: object) -> None:
        """Add an entry."""
        self._entries.append(DecisionLogEntry(event, fields))

    def take(self) -> list[DecisionLogEntry]:
        """Return and remove the entries added since the last call."""
        entries = self._entries
        self._entries = []
        return entries
