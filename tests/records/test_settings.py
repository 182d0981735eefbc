"""Invalid settings are refused with the path, value and expected form."""

from pathlib import Path
from typing import Any

import msgspec
import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.settings import EntrySettings, GuardSettings
from dragonflynotch.records.settings_files import load_settings
from dragonflynotch.testing.deployment import SitePlan, plan_deployment

_PLAN = plan_deployment((SitePlan('lautoka'),))
_VALID_SETTINGS = {
    EntrySettings: msgspec.to_builtins(_PLAN.entries[0]),
    GuardSettings: msgspec.to_builtins(_PLAN.guards[0]),
}


def _with_value(content: Any, path: str, value: object) -> Any:
    name, _, rest = path.partition('.')
    if name.isdigit():
        return [_with_value(content[0], rest, value), *content[1:]]
    inner = _with_value(content[name], rest, value) if rest else value
    return {**content, name: inner}


@pytest.mark.parametrize('model', _VALID_SETTINGS)
def test_valid_settings_are_loaded(tmp_path: Path, model):
    """Guards against checks that refuse valid settings."""
    file = tmp_path / 'settings.json'
    file.write_bytes(msgspec.json.encode(_VALID_SETTINGS[model]))
    assert (
        msgspec.to_builtins(load_settings(file, model))
        == _VALID_SETTINGS[model]
    )


@pytest.mark.parametrize(
    ('model', 'path', 'value', 'message'),
    [
        (
            EntrySettings,
            'schema_version',
            2,
            r'\$\.schema_version: got 2, .* 1',
        ),
        (EntrySettings, 'entry_idd', 'x', "nearest known one is 'entry_id'"),
        (EntrySettings, 'zzz', 1, r'\$\.zzz: got 1, expected one of the fiel'),
        (EntrySettings, 'link.prt', 7, r"\$\.link\.prt: got 7, .*'port'"),
        (EntrySettings, 'link.port', 0, r'\$\.link\.port: got 0, .* >= 1'),
        (EntrySettings, 'link.port', '7', r"\$\.link\.port: got '7', .*int"),
        (EntrySettings, 'link.host', 'db', r'\$\.link: .*an IP address'),
        (EntrySettings, 'entry_id', 'A b', r"\$\.entry_id: got 'A b', .*regex"),
        (
            EntrySettings,
            'ownership.lease_ms',
            4000,
            r'confirmation_ms: got 5000',
        ),
        (
            EntrySettings,
            'ownership.lease',
            1,
            "nearest known one is 'lease_ms'",
        ),
        (EntrySettings, 'callers', {'host': '::1'}, r'\$\.callers\.port'),
        (GuardSettings, 'entries', [], r'\$\.entries: got \[\], .*length >= 1'),
        (
            GuardSettings,
            'entries.0.port',
            99999,
            r'\$\.entries\[0\]\.port: got',
        ),
        (GuardSettings, 'entries.0.pot', 1, r"entries\[0\]\.pot: .*'port'"),
        (
            GuardSettings,
            'minion.slots',
            0,
            r'\$\.minion\.slots: got 0, .* >= 1',
        ),
        (GuardSettings, 'worker.core', 1, r"\$\.worker\.core: .*'cores'"),
        (GuardSettings, 'drain_limit_ms', -1, r'\$\.drain_limit_ms: got -1'),
    ],
)
def test_invalid_fields_are_refused(
    tmp_path: Path, model, path, value, message
):
    """Guards against a daemon that starts with a mistyped field."""
    file = tmp_path / 'settings.json'
    content = _with_value(_VALID_SETTINGS[model], path, value)
    file.write_bytes(msgspec.json.encode(content))
    with pytest.raises(InvalidInputError, match=message):
        load_settings(file, model)


@pytest.mark.parametrize('content', [b'', b'{', b'[1]', b'\xff'])
def test_malformed_files_are_refused(tmp_path: Path, content):
    """Guards against a traceback instead of a message."""
    file = tmp_path / 'settings.json'
    file.write_bytes(content)
    with pytest.raises(InvalidInputError, match=str(file)):
        load_settings(file, EntrySettings)


def test_missing_file_is_refused(tmp_path: Path):
    """Guards against a traceback instead of a message."""
    with pytest.raises(InvalidInputError, match='a readable file'):
        load_settings(tmp_path / 'none.json', GuardSettings)


def test_entry_with_two_listeners_on_one_address_is_refused(tmp_path: Path):
    """Guards against an entry that fails only after it has registered."""
    content = _VALID_SETTINGS[EntrySettings]
    file = tmp_path / 'settings.json'
    file.write_bytes(
        msgspec.json.encode({**content, 'operators': content['callers']})
    )
    with pytest.raises(InvalidInputError, match=r'\$\.operators'):
        load_settings(file, EntrySettings)
