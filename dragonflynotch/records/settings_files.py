"""Reads the settings files of the daemons."""

from pathlib import Path
from typing import TypeVar

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.settings import READABLE_SETTINGS_VERSIONS
from dragonflynotch.records.settings_checks import (
    check_consistency,
    check_schema_version,
)

__all__ = ('load_settings', 'parse_settings')

SettingsT = TypeVar('SettingsT', bound=msgspec.Struct)


def load_settings(path: Path, model: type[SettingsT]) -> SettingsT:
    """Return the settings in a JSON file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or a field is invalid. The error holds the
        path of the field, its value and what was expected; for an unknown
        field this is the most similar known name.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error
    return parse_settings(content, model, str(path))


def parse_settings(
    content: bytes, model: type[SettingsT], source: str
) -> SettingsT:
    """Return the settings in a JSON text.

    Parameters
    ----------
    content : bytes
        JSON text.
    model : type
        ``EntrySettings`` or ``GuardSettings``.
    source : str
        Origin of the text, for error messages.

    Raises
    ------
    InvalidInputError
        If the text does not match the model.
    """
    raw = decode_untrusted(msgspec.json.decode, content)
    if isinstance(raw, Unreadable):
        raise InvalidInputError(source, raw.reason, 'JSON')
    check_schema_version(raw, READABLE_SETTINGS_VERSIONS, source)
    try:
        settings = msgspec.json.decode(content, type=model)
    except msgspec.ValidationError as error:
        # Imported only on an error, to keep the memory of a guard small.
        from dragonflynotch.records.settings_problems import (
            convert_validation_error,
        )

        raise convert_validation_error(error, raw, model, source) from error
    check_consistency(settings, source)
    return settings
