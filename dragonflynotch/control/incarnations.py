"""Identifiers of the incarnations of minions.

A minion may start again under the identifier that it had. Everything outside
the adapter of the platform knows its incarnations apart by their identifiers.
"""

import re
from dataclasses import dataclass

__all__ = ('Incarnation', 'is_restart', 'is_same_life')

_INCARNATION_ID = re.compile(r'(?P<minion>.+)@(?P<start>[0-9a-f]{0,14})')
_HEXADECIMAL = 16


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One life of a minion.

    Parameters
    ----------
    minion_id : str
        Identifier of the minion on the platform.
    started_ms : int or None
        Unix time of its start. ``None`` if the minion does not tell it, so
        that its lives can be told apart by ``minion_id`` only.
    """

    minion_id: str
    started_ms: int | None = None

    def __str__(self) -> str:
        """Return the identifier of the incarnation."""
        if self.started_ms is None:
            is_ambiguous = _INCARNATION_ID.fullmatch(self.minion_id)
            return f'{self.minion_id}@' if is_ambiguous else self.minion_id
        return f'{self.minion_id}@{self.started_ms:x}'

    @classmethod
    def parse(cls, incarnation_id: str) -> 'Incarnation':
        """Return the incarnation with an identifier."""
        match = _INCARNATION_ID.fullmatch(incarnation_id)
        if match is None:
            return cls(incarnation_id)
        start = match['start']
        return cls(match['minion'], int(start, _HEXADECIMAL) if start else None)

    def may_be(self, started_ms: int | None) -> bool:
        """Return whether a minion with this start time may be this one."""
        return started_ms is None or self.started_ms in {None, started_ms}


def is_same_life(incarnation_id: str, other_id: str) -> bool:
    """Return whether two identifiers may be of the same incarnation."""
    incarnation = Incarnation.parse(incarnation_id)
    other = Incarnation.parse(other_id)
    return incarnation.minion_id == other.minion_id and incarnation.may_be(
        other.started_ms
    )


def is_restart(previous_id: str, incarnation_id: str) -> bool:
    """Return whether two incarnations are different lives of one minion."""
    previous = Incarnation.parse(previous_id)
    current = Incarnation.parse(incarnation_id)
    return previous.minion_id == current.minion_id and not is_same_life(
        previous_id, incarnation_id
    )
