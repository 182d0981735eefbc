"""Log lines of pure decisions, written after their transaction."""

from dataclasses import dataclass, field

__all__ = ('DecisionLine', 'DecisionLines')


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One decision with its inputs and outcome."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)


class DecisionLines:
    """Collects lines until they are taken."""

    def __init__(self) -> None:
        """Start without lines."""
        self._lines: list[DecisionLine] = []

    def record(self, event: str, **fields: object) -> None:
        """Add a line."""
        self._lines.append(DecisionLine(event, fields))

    def take(self) -> list[DecisionLine]:
        """Return the lines since the last call."""
        lines = self._lines
        self._lines = []
        return lines
