"""Impairments of a play and broken rules, as its output lists them."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ('PlayedFault', 'read_broken_rules', 'read_faults')

_FAULT = re.compile(
    r'^\s*(-?[\d.]+) s to\s+(-?[\d.]+) s  (\w+) ?(?:\(([^)]*)\))? ?(.*)$'
)
_BROKEN_RULE = re.compile(r'\b([A-Z]{3,}) at [\d.]+ s\b.*$')
_POWER = 'power'
# Impairments that end a machine, but for one variant of each.
_WITHOUT_POWER = {'replace_core': 'planned', 'after_ack_kill': 'kill'}
# A long list of machines is cut off.
_MORE = ' more'


@dataclass(frozen=True, slots=True)
class PlayedFault:
    """An impairment with its time.

    Parameters
    ----------
    began_s, ended_s : float
        Time of the play.
    kind, variant : str
        What was done, and how.
    targets : str
        Names of the machines, as far as they are listed.
    """

    began_s: float
    ended_s: float
    kind: str
    variant: str
    targets: str

    @property
    def cuts_power(self) -> bool:
        """Whether machines lost power, and their minions with them."""
        if self.kind in _WITHOUT_POWER:
            return _WITHOUT_POWER[self.kind] not in self.variant
        return _POWER in self.variant or (
            self.kind == 'herd_kill' and 'off' in self.variant
        )

    def may_concern(self, node: str) -> bool:
        """Return whether the list names a machine, or is cut off."""
        return node in self.targets.split(', ') or self.targets.endswith(_MORE)


def read_faults(lines: Iterable[str]) -> Iterator[PlayedFault]:
    """Yield the impairments that the output of a play lists."""
    for line in lines:
        match = _FAULT.match(line.rstrip())
        if match is not None:
            began, ended, kind, variant, targets = match.groups(default='')
            yield PlayedFault(
                float(began), float(ended), kind, variant, targets
            )


def read_broken_rules(lines: Iterable[str]) -> list[str]:
    """Return what the output of a play says about broken rules."""
    found = (
        match[0]
        for line in lines
        if '{' not in line and (match := _BROKEN_RULE.search(line))
    )
    return list(dict.fromkeys(found))
