"""Generates, compiles and runs the checker of one specification."""

import re
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from model.catalogue import Mutant, Specification

__all__ = ('CheckFailedError', 'CheckResult', 'run_check')

_TIMEOUT_S: Final = 110
_MEMORY_LIMIT_MB: Final = 2048
# Breadth-first search has no depth limit and gives the shortest trace. All
# invariants are assertions, so the code for liveness is left out.
_COMPILER_FLAGS: Final = (
    '-O2',
    '-w',
    '-DBFS',
    '-DSAFETY',
    '-DNOCLAIM',
    f'-DMEMLIM={_MEMORY_LIMIT_MB}',
)
_STATES: Final = re.compile(r'^\s*(\d+) states, stored', re.MULTILINE)
_ERRORS: Final = re.compile(r'errors: (\d+)')
_VIOLATION: Final = re.compile(r'assertion violated (.*?) \(at depth (\d+)\)')
_INCOMPLETE: Final = ('Search not completed', 'out of memory', 'truncated')


class CheckFailedError(Exception):
    """A tool of the checker failed or reached its limit of time."""


@dataclass(frozen=True)
class CheckResult:
    """Outcome of one run of the checker.

    Parameters
    ----------
    label : str
        Specification and mutant.
    states : int
        Number of stored states.
    duration_s : float
        Time for generation, compilation and search.
    verdict : str
        One phrase.
    passed : bool
        Whether the outcome is the expected one.
    """

    label: str
    states: int
    duration_s: float
    verdict: str
    passed: bool


def _run(command: tuple[str, ...], directory: Path) -> str:
    try:
        completed = subprocess.run(
            command,
            cwd=directory,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        raise CheckFailedError(
            f'{command[0]} exceeded {_TIMEOUT_S} s',
        ) from error
    output = completed.stdout + completed.stderr
    if completed.returncode:
        raise CheckFailedError(f'{command[0]} failed: {output[-2000:]}')
    return output


def _judge_specification(output: str) -> tuple[str, bool]:
    violation = _VIOLATION.search(output)
    if violation:
        return f'violated: {violation.group(1)}', False
    errors = _ERRORS.search(output)
    if errors is None or errors.group(1) != '0':
        return f'error: {output[:300]}', False
    if any(sign in output for sign in _INCOMPLETE):
        return 'not explored completely', False
    return 'all invariants hold', True


def _judge_mutant(output: str, mutant: Mutant) -> tuple[str, bool]:
    violation = _VIOLATION.search(output)
    if violation is None:
        return 'not found', False
    found = re.search(r'\w+', violation.group(1))
    name = found.group() if found else ''
    steps = violation.group(2)
    return f'found by {name}, {steps} steps', name == mutant.invariant


def run_check(
    specification: Specification,
    mutant: Mutant | None,
    directory: Path,
) -> CheckResult:
    """Check a specification, or one of its mutants.

    Parameters
    ----------
    specification : Specification
        The file to check.
    mutant : Mutant or None
        The mutant to check instead of the specification itself.
    directory : Path
        Empty directory for the generated files.

    Returns
    -------
    CheckResult
        States, time and verdict.

    Raises
    ------
    CheckFailedError
        If a tool fails or exceeds its time.
    """
    start_s = time.monotonic()
    # Each mutant's macro is a constant, so that "MACRO || condition" drops the
    # condition in the mutant only.
    macros = (
        f'-D{known.macro}={int(known == mutant)}'
        for known in specification.mutants
    )
    _run(('spin', '-a', *macros, str(specification.path)), directory)
    _run(('gcc', *_COMPILER_FLAGS, '-o', 'pan', 'pan.c'), directory)
    output = _run(('./pan',), directory)
    if mutant:
        verdict, passed = _judge_mutant(output, mutant)
    else:
        verdict, passed = _judge_specification(output)
    states = _STATES.search(output)
    label = f'{specification.name} {mutant.macro if mutant else ""}'.strip()
    return CheckResult(
        label=label,
        states=int(states.group(1)) if states else 0,
        duration_s=time.monotonic() - start_s,
        verdict=verdict,
        passed=passed,
    )
