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
# invariants are assertions, so the liveness checks are not compiled in.
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
    """spin, gcc or the generated checker failed or timed out."""


@dataclass(frozen=True)
class CheckResult:
    """Result of one run of the checker.

    Parameters
    ----------
    label : str
        Names of the specification and the mutant.
    states : int
        Number of states that the search stored.
    duration_s : float
        Time for generation, compilation and search.
    verdict : str
        Result in a few words.
    passed : bool
        Whether the result is the expected one.
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
            f'{command[0]} did not finish within {_TIMEOUT_S} s',
        ) from error
    output = completed.stdout + completed.stderr
    if completed.returncode:
        raise CheckFailedError(f'{command[0]} failed: {output[-2000:]}')
    return output


def _evaluate_specification(output: str) -> tuple[str, bool]:
    violation = _VIOLATION.search(output)
    if violation:
        return f'violated: {violation.group(1)}', False
    errors = _ERRORS.search(output)
    if errors is None or errors.group(1) != '0':
        return f'error: {output[:300]}', False
    if any(marker in output for marker in _INCOMPLETE):
        return 'not explored completely', False
    return 'all invariants hold', True


def _evaluate_mutant(output: str, mutant: Mutant) -> tuple[str, bool]:
    violation = _VIOLATION.search(output)
    if violation is None:
        return 'not found', False
    violated = re.search(r'\w+', violation.group(1))
    name = violated.group() if violated else ''
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
        Number of states, time and verdict.

    Raises
    ------
    CheckFailedError
        If a tool fails or times out.
    """
    start_s = time.monotonic()
    # The macro of each mutant is defined as 0 or 1, so that
    # "MACRO || condition" removes the condition in that mutant only.
    macros = (
        f'-D{declared.macro}={int(declared == mutant)}'
        for declared in specification.mutants
    )
    _run(('spin', '-a', *macros, str(specification.path)), directory)
    _run(('gcc', *_COMPILER_FLAGS, '-o', 'pan', 'pan.c'), directory)
    output = _run(('./pan',), directory)
    if mutant:
        verdict, passed = _evaluate_mutant(output, mutant)
    else:
        verdict, passed = _evaluate_specification(output)
    states = _STATES.search(output)
    label = f'{specification.name} {mutant.macro if mutant else ""}'.strip()
    return CheckResult(
        label=label,
        states=int(states.group(1)) if states else 0,
        duration_s=time.monotonic() - start_s,
        verdict=verdict,
        passed=passed,
    )
