"""Arguments of the daemons, read without the command-line library."""

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
_LOG_FORMAT = '--log-format'
_FORMATS = ('text', 'json')
_INVALID = 2


@dataclass(frozen=True, slots=True)
class StartOptions:
    """Arguments of a daemon.

    Parameters
    ----------
    settings : Path
        Settings file.
    is_json_log : bool
        Whether log lines are JSON.
    """

    settings: Path
    is_json_log: bool = False

    def load(self, model: type[_SettingsT]) -> _SettingsT:
        """Return the settings, or exit with one sentence on stderr."""
        try:
            return load_settings(self.settings, model)
        except InvalidInputError as error:
            _exit(str(error))


def read_start_options(arguments: Sequence[str], part: str) -> StartOptions:
    """Return the arguments, or exit with one sentence on stderr.

    Parameters
    ----------
    arguments : sequence of str
        ``SETTINGS`` or ``SETTINGS --log-format text|json``.
    part : str
        Name of the daemon for the message.

    Examples
    --------
    >>> read_start_options(('a.json', '--log-format', 'json'), 'entry')
    StartOptions(settings=PosixPath('a.json'), is_json_log=True)
    """
    match tuple(arguments):
        case (settings,):
            is_json_log = False
        case (settings, option, log_format) if (
            option == _LOG_FORMAT and log_format in _FORMATS
        ):
            is_json_log = log_format == 'json'
        case _:
            _exit(
                f'usage: python -m dragonflynotch.{part} SETTINGS '
                f'[{_LOG_FORMAT} {"|".join(_FORMATS)}]'
            )
    return StartOptions(Path(settings), is_json_log)


def _exit(sentence: str) -> NoReturn:
    sys.stderr.write(f'dragonflynotch: {sentence}\n')
    sys.exit(_INVALID)
