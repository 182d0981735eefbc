"""Commands that run locally, without an entry or a guard."""

import platform
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from dragonflynotch import __version__
from dragonflynotch.cli.console import print_result, report_error
from dragonflynotch.cli.exit_codes import ExitCode
from dragonflynotch.cli.options import Output
from dragonflynotch.cli.record_files import read_record_file
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.documents import READABLE_SCHEMA_VERSIONS
from dragonflynotch.records.settings import (
    READABLE_SETTINGS_VERSIONS,
    EntrySettings,
    GuardSettings,
)
from dragonflynotch.records.settings_files import load_settings

__all__ = ('CheckSettingsCommand', 'VersionCommand')


@cappa.command(
    name='check-settings',
    help='Validate a file with settings or records.',
    epilog='Example: dragonflynotch check-settings entry.json',
)
@dataclass
class CheckSettingsCommand:
    """Validate a file with settings or records."""

    file: Annotated[
        Path,
        cappa.Arg(help='File with entry settings, guard settings or records.'),
    ]
    output: Output = 'text'

    def __call__(self) -> int:
        """Validate the file and return the exit code."""
        try:
            subject = _identify_file(self.file)
        except InvalidInputError as error:
            return report_error(error)
        print_result(
            self.output,
            {'file': str(self.file), 'subject': subject},
            f'{self.file}: {subject}, no errors',
        )
        return ExitCode.done


@cappa.command(
    name='version',
    help='Print the version and the readable schema versions.',
    epilog='Example: dragonflynotch version --output json',
)
@dataclass
class VersionCommand:
    """Print the version and the readable schema versions."""

    output: Output = 'text'

    def __call__(self) -> int:
        """Print the version and return the exit code."""
        records = ', '.join(map(str, READABLE_SCHEMA_VERSIONS))
        settings = ', '.join(map(str, READABLE_SETTINGS_VERSIONS))
        print_result(
            self.output,
            {
                'version': __version__,
                'python': platform.python_version(),
                'record_schema_versions': READABLE_SCHEMA_VERSIONS,
                'settings_schema_versions': READABLE_SETTINGS_VERSIONS,
            },
            f'dragonflynotch {__version__}, Python '
            f'{platform.python_version()}, records {records}, '
            f'settings {settings}',
        )
        return ExitCode.done


def _identify_file(path: Path) -> str:
    try:
        content = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(str(path), str(error), 'JSON') from error
    if isinstance(content, list) or 'kind' in content:
        return f'{len(read_record_file(path))} records'
    if 'entry_id' in content:
        return (
            f'settings of entry {load_settings(path, EntrySettings).entry_id}'
        )
    if 'guard_id' in content:
        return (
            f'settings of guard {load_settings(path, GuardSettings).guard_id}'
        )
    raise InvalidInputError(
        f'{path}: $', sorted(content), 'a field entry_id, guard_id or kind'
    )
