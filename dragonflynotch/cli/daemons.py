"""Commands that start processes."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa

from dragonflynotch.observability.logs import configure_logs

__all__ = ('EntryCommand', 'GuardCommand', 'LocalCommand')

_Settings = Annotated[Path, cappa.Arg(long=True, help='Settings file (JSON).')]
_LogFormat = Annotated[
    Literal['text', 'json'],
    cappa.Arg(long=True, help='Form of the log lines on stderr.'),
]


def _replace_process(
    module: str, settings: Path, log_format: Literal['text', 'json']
) -> None:
    # The daemon does not carry the memory of the command-line library.
    arguments = [str(settings), '--log-format', log_format]
    command = [sys.executable, '-m', module, *arguments]
    os.execv(sys.executable, command)


@cappa.command(
    name='entry',
    help='Run an entry process.',
    epilog='Example: dragonflynotch entry --settings entry.json',
)
@dataclass
class EntryCommand:
    """Run an entry process."""

    settings: _Settings
    log_format: _LogFormat = 'text'

    def __call__(self) -> None:
        """Replace this process by the daemon."""
        _replace_process('dragonflynotch.entry', self.settings, self.log_format)


@cappa.command(
    name='guard',
    help='Run a guard process.',
    epilog='Example: dragonflynotch guard --settings guard.json',
)
@dataclass
class GuardCommand:
    """Run a guard process."""

    settings: _Settings
    log_format: _LogFormat = 'text'

    def __call__(self) -> None:
        """Replace this process by the daemon."""
        _replace_process('dragonflynotch.guard', self.settings, self.log_format)


@cappa.command(
    name='local',
    help='Run an example deployment and its main job on loopback.',
    epilog='Example: dragonflynotch local --deployment ravi',
)
@dataclass
class LocalCommand:
    """Run the embedded mode."""

    deployment: Annotated[
        Literal['tavua', 'ravi'],
        cappa.Arg(long=True, help='Example deployment to run.'),
    ] = 'tavua'

    def __call__(self) -> int:
        """Run and return the exit code."""
        # The stand-ins are loaded only here, not with every command.
        from dragonflynotch.cli.local import run_local

        configure_logs(level='ERROR')
        return asyncio.run(run_local(self.deployment))
