"""Commands that start the daemons and the embedded mode."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from dragonflynotch.cli.local import run_local

__all__ = ('Dragonflynotch',)


def _replace_process(module: str, arguments: list[str]) -> None:
    # The daemon does not carry the memory of the command-line library.
    command = [sys.executable, '-m', module, *arguments]
    os.execv(sys.executable, command)


@cappa.command(name='entry', help='Run an entry process.')
@dataclass
class EntryCommand:
    """Run an entry process."""

    settings: Annotated[Path, cappa.Arg(long=True, help='Settings file.')]

    def __call__(self) -> None:
        """Replace this process by the daemon."""
        _replace_process('dragonflynotch.entry', [str(self.settings)])


@cappa.command(name='guard', help='Run a guard process.')
@dataclass
class GuardCommand:
    """Run a guard process."""

    settings: Annotated[Path, cappa.Arg(long=True, help='Settings file.')]

    def __call__(self) -> None:
        """Replace this process by the daemon."""
        _replace_process('dragonflynotch.guard', [str(self.settings)])


@cappa.command(name='local', help='Run the embedded mode on loopback.')
@dataclass
class LocalCommand:
    """Run the embedded mode."""

    def __call__(self) -> int:
        """Run and return the exit code."""
        return asyncio.run(run_local())


@cappa.command(name='dragonflynotch')
@dataclass
class Dragonflynotch:
    """Scheduler for multi-accelerator jobs under workspace guarantees."""

    command: cappa.Subcommands[EntryCommand | GuardCommand | LocalCommand]
