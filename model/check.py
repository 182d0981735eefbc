"""Checks all specifications and mutants: ``python -m model.check [NAME]``."""

import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from model.catalogue import Mutant, Specification, load_specifications
from model.checker import CheckFailedError, CheckResult, run_check

__all__ = ('main',)

_PROCESSES: Final = 3
_INSTALL_TIMEOUT_S: Final = 300
_INSTALL_COMMANDS: Final = (
    ('apt-get', 'update'),
    ('apt-get', 'install', '-y', 'spin'),
)

_CheckTask = tuple[Specification, Mutant | None]


def _ensure_spin() -> str | None:
    """Install spin if it is missing; return an error message or ``None``."""
    if shutil.which('gcc') is None:
        return 'gcc is missing: install a C compiler'
    if shutil.which('spin'):
        return None
    if os.geteuid() != 0:
        return 'spin is missing: install it with "apt-get install spin"'
    for command in _INSTALL_COMMANDS:
        completed = subprocess.run(
            command,
            capture_output=True,
            timeout=_INSTALL_TIMEOUT_S,
            check=False,
        )
        if completed.returncode:
            return f'spin is missing and {" ".join(command)!r} failed'
    return None


def _run_task(task: _CheckTask) -> CheckResult:
    specification, mutant = task
    with tempfile.TemporaryDirectory() as directory:
        try:
            return run_check(specification, mutant, Path(directory))
        except CheckFailedError as error:
            label = f'{specification.name} {mutant.macro if mutant else ""}'
            return CheckResult(label.strip(), 0, 0, str(error), passed=False)


def _list_tasks(names: list[str]) -> list[_CheckTask]:
    selected = [
        specification
        for specification in load_specifications()
        if not names or specification.name in names
    ]
    # The specifications themselves have the most states, so they start first.
    tasks: list[_CheckTask] = [
        (specification, None) for specification in selected
    ]
    tasks.extend(
        (specification, mutant)
        for specification in selected
        for mutant in specification.mutants
    )
    return tasks


def main(names: list[str]) -> int:
    """Check the named specifications, by default all.

    Parameters
    ----------
    names : list of str
        Names of the specifications to check.

    Returns
    -------
    int
        0 if every invariant holds and every mutant is found, else 1.
    """
    error = _ensure_spin()
    if error:
        print(f'model check: {error}')
        return 1
    start_s = time.monotonic()
    failed = 0
    tasks = _list_tasks(names)
    with ThreadPoolExecutor(_PROCESSES) as pool:
        for result in pool.map(_run_task, tasks):
            failed += not result.passed
            status = 'ok' if result.passed else 'FAILED'
            print(
                f'{status:6} {result.label:42} {result.states:9} states '
                f'{result.duration_s:6.1f} s  {result.verdict}',
                flush=True,
            )
    duration_s = time.monotonic() - start_s
    print(
        f'model check: {len(tasks)} runs, {failed} failed, {duration_s:.0f} s'
    )
    return int(failed > 0 or not tasks)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
