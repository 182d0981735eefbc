"""Commands that run a daemon or a local example deployment."""

import asyncio
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa

from dragonflynotch.observability.logs import configure_logs

__all__ = ('EntryCommand', 'GuardCommand', 'LocalCommand')

_SettingsPath = Annotated[
    Path, cappa.Arg(long=True, help='Settings file (JSON).')
]
_LogFormat = Annotated[
    Literal['text', 'json'],
    cappa.Arg(long=True, help='Format of the log lines on stderr.'),
]


def _replace_process(
    module: str, settings: Path, log_format: Literal['text', 'json']
) -> None:
    # A new interpreter does not keep the command-line library in memory.
    arguments = [str(settings), '--log-format', log_format]
    command_line = [sys.executable, '-m', module, *arguments]
    os.execv(sys.executable, command_line)


@cappa.command(
    name='entry',
    help='Run an entry process.',
    epilog='Example: dragonflynotch entry --settings entry.json',
)
@dataclass
class EntryCommand:
    """Run an entry process."""

    settings: _SettingsPath
    log_format: _LogFormat = 'text'

    def __call__(self) -> None:
        """Replace this process with the daemon."""
        _replace_process('dragonflynotch.entry', self.settings, self.log_format)


@cappa.command(
    name='guard',
    help='Run a guard process.',
    epilog='Example: dragonflynotch guard --settings guard.json',
)
@dataclass
class GuardCommand:
    """Run a guard process."""

    settings: _SettingsPath
    log_format: _LogFormat = 'text'

    def __call__(self) -> None:
        """Replace this process with the daemon."""
        _replace_process('dragonflynotch.guard', self.settings, self.log_format)


@cappa.command(
    name='local',
    help='Run an example deployment and its scenario on loopback.',
    epilog='Example: dragonflynotch local --deployment ravi',
)
@dataclass
class LocalCommand:
    """Run an example deployment inside this process."""

    deployment: Annotated[
        Literal['tavua', 'ravi'],
        cappa.Arg(long=True, help='Example deployment to run.'),
    ] = 'tavua'

    def __call__(self) -> int:
        """Run the example and return the exit code."""
        # Imported here, so that other commands do not load the simulated
        # platform services, minions and workers.
        from dragonflynotch.cli.local import run_local

        configure_logs(level='ERROR')
        return asyncio.run(run_local(self.deployment))
