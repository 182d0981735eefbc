"""Command-line arguments of the daemons.

They are parsed without the command-line library, which would only take memory
in a daemon.
"""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn, TypeVar

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.settings_files import load_settings

__all__ = ('StartOptions', 'read_start_options')

_SettingsT = TypeVar('_SettingsT', bound=msgspec.Struct)
_LOG_FORMAT_OPTION = '--log-format'
_LOG_FORMATS = ('text', 'json')
_INVALID_USAGE_STATUS = 2


@dataclass(frozen=True, slots=True)
class StartOptions:
    """Command-line arguments of a daemon.

    Parameters
    ----------
    settings : Path
        Path of the settings file.
    is_json_log : bool
        Whether log lines are JSON.
    """

    settings: Path
    is_json_log: bool = False

    def load(self, model: type[_SettingsT]) -> _SettingsT:
        """Return the settings, or exit with a message on stderr."""
        try:
            return load_settings(self.settings, model)
        except InvalidInputError as error:
            _exit_with_error(str(error))


def read_start_options(arguments: Sequence[str], daemon: str) -> StartOptions:
    """Return the parsed arguments, or exit with a usage message on stderr.

    Parameters
    ----------
    arguments : sequence of str
        ``SETTINGS`` or ``SETTINGS --log-format text|json``.
    daemon : str
        Module name of the daemon, for the usage message.

    Examples
    --------
    >>> read_start_options(('a.json', '--log-format', 'json'), 'entry')
    StartOptions(settings=PosixPath('a.json'), is_json_log=True)
    """
    match tuple(arguments):
        case (settings,):
            is_json_log = False
        case (settings, option, log_format) if (
            option == _LOG_FORMAT_OPTION and log_format in _LOG_FORMATS
        ):
            is_json_log = log_format == 'json'
        case _:
            _exit_with_error(
                f'usage: python -m dragonflynotch.{daemon} SETTINGS '
                f'[{_LOG_FORMAT_OPTION} {"|".join(_LOG_FORMATS)}]'
            )
    return StartOptions(Path(settings), is_json_log)


def _exit_with_error(message: str) -> NoReturn:
    sys.stderr.write(f'dragonflynotch: {message}\n')
    sys.exit(_INVALID_USAGE_STATUS)
