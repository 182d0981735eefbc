"""The root command."""

from dataclasses import dataclass

import cappa

from dragonflynotch.cli.calls import (
    CancelCommand,
    RequestCommand,
    SubmitCommand,
)
from dragonflynotch.cli.checks import CheckSettingsCommand, VersionCommand
from dragonflynotch.cli.daemons import (
    EntryCommand,
    GuardCommand,
    LocalCommand,
)
from dragonflynotch.cli.records import ApplyCommand, DrainCommand, GetCommand
from dragonflynotch.cli.report import ReportCommand
from dragonflynotch.cli.status import StatusCommand

__all__ = ('Dragonflynotch',)


@cappa.command(
    name='dragonflynotch',
    description=(
        'Exit codes: 0 done, 2 usage or invalid input, 3 refused, '
        '4 conflict, 5 unknown outcome, 6 unreachable.'
    ),
    epilog='Example: dragonflynotch status --operators http://127.0.0.1:8081',
)
@dataclass
class Dragonflynotch:
    """Scheduler for multi-accelerator jobs under workspace guarantees."""

    command: cappa.Subcommands[
        EntryCommand
        | GuardCommand
        | LocalCommand
        | RequestCommand
        | SubmitCommand
        | StatusCommand
        | CancelCommand
        | ApplyCommand
        | GetCommand
        | DrainCommand
        | CheckSettingsCommand
        | ReportCommand
        | VersionCommand
    ]
