"""Reads the invariants and mutants that the specifications declare.

A specification names them in comments of this form::

    /* invariant NAME (G1, G2): meaning. */
    /* mutant MACRO breaks NAME: what is left out. */
"""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Final

__all__ = (
    'SPECIFICATIONS',
    'Invariant',
    'Mutant',
    'Specification',
    'load_specifications',
)

SPECIFICATIONS: Final = Path(__file__).parent / 'specifications'
_INVARIANT: Final = re.compile(
    r'/\* invariant (\w+) \(([G\d, ]+)\): ([^/]+)\*/'
)
_MUTANT: Final = re.compile(r'/\* mutant (\w+) breaks (\w+): ([^/]+)\*/')


@dataclass(frozen=True)
class Invariant:
    """A property that holds in every reachable state.

    Parameters
    ----------
    name : str
        Name of the variable in its assertions.
    requirements : tuple of str
        Requirements of the design page that the invariant covers.
    meaning : str
        One sentence.
    """

    name: str
    requirements: tuple[str, ...]
    meaning: str


@dataclass(frozen=True)
class Mutant:
    """A variant of a specification with one condition removed.

    Parameters
    ----------
    macro : str
        Preprocessor macro that removes the condition.
    invariant : str
        Name of the invariant that the checker must find violated.
    meaning : str
        One sentence.
    """

    macro: str
    invariant: str
    meaning: str


@dataclass(frozen=True)
class Specification:
    """A Promela file with the invariants and mutants that it declares."""

    path: Path
    invariants: tuple[Invariant, ...]
    mutants: tuple[Mutant, ...]

    @property
    def name(self) -> str:
        """Name of the file without its suffix."""
        return self.path.stem


def _read_specification(path: Path) -> Specification:
    text = re.sub(r'\s+', ' ', path.read_text().replace('\n *', '\n'))
    return Specification(
        path=path,
        invariants=tuple(
            Invariant(name, tuple(requirements.split(', ')), meaning.strip())
            for name, requirements, meaning in _INVARIANT.findall(text)
        ),
        mutants=tuple(
            Mutant(macro, invariant, meaning.strip())
            for macro, invariant, meaning in _MUTANT.findall(text)
        ),
    )


def load_specifications() -> tuple[Specification, ...]:
    """Return all specifications, sorted by name.

    Returns
    -------
    tuple of Specification
        One for each Promela file.
    """
    return tuple(
        _read_specification(path)
        for path in sorted(SPECIFICATIONS.glob('*.pml'))
    )
