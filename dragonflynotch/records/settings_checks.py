"""Checks of settings beyond their types, and readable error messages."""

import difflib
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.settings import (
    Address,
    EntrySettings,
    GuardSettings,
    OwnershipSettings,
)

__all__ = ('check_consistency', 'check_schema_version', 'describe_problem')

_PLACE = re.compile(r'^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$', re.DOTALL)
_UNKNOWN_FIELD = re.compile('^Object contains unknown field `(?P<name>.*)`$')
_MISSING_FIELD = re.compile('^Object missing required field `(?P<name>.*)`$')
_EXPECTED = re.compile('^[Ee]xpected (?P<expected>.*?)(?:, got .*)?$')
_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')
_LISTENERS = ('callers', 'operators', 'link')


def check_schema_version(
    raw: object, readable: Sequence[int], source: str
) -> None:
    """Refuse settings of a version that this program does not know.

    The version is checked first, so that a newer file is not reported as a
    list of unknown fields.

    Raises
    ------
    InvalidInputError
        If the version is missing or unknown.
    """
    if not isinstance(raw, dict):
        raise InvalidInputError(f'{source}: $', raw, 'a JSON object')
    version = raw.get('schema_version')
    if version not in readable:
        expected = ' or '.join(map(str, readable))
        raise InvalidInputError(
            f'{source}: $.schema_version', version, expected
        )


def describe_problem(
    error: msgspec.ValidationError, raw: object, model: type, source: str
) -> InvalidInputError:
    """Return the error of a field with its path, value and expectation.

    Parameters
    ----------
    error : msgspec.ValidationError
        What the decoder found.
    raw : object
        The decoded JSON text.
    model : type
        Type that the text should match.
    source : str
        Where the text is from.
    """
    place = _PLACE.match(str(error))
    problem = place['problem'] if place else str(error)
    path = (place and place['path']) or ''
    value = _value_at(raw, path)
    unknown = _UNKNOWN_FIELD.match(problem)
    if unknown:
        name = unknown['name']
        value = value.get(name) if isinstance(value, dict) else value
        expected = _nearest(name, _field_names(model, path))
        return InvalidInputError(f'{source}: ${path}.{name}', value, expected)
    missing = _MISSING_FIELD.match(problem)
    if missing:
        path = f'{path}.{missing["name"]}'
        return InvalidInputError(f'{source}: ${path}', None, 'this field')
    known = _EXPECTED.match(problem)
    expected = known['expected'].replace('`', '') if known else problem
    return InvalidInputError(f'{source}: ${path}', value, expected)


def check_consistency(settings: msgspec.Struct, source: str) -> None:
    """Check fields against each other.

    Raises
    ------
    InvalidInputError
        If two fields contradict each other.
    """
    if isinstance(settings, EntrySettings):
        _check_entry(settings, source)
    elif isinstance(settings, GuardSettings):
        _check_guard(settings, source)


def _check_entry(settings: EntrySettings, source: str) -> None:
    used: dict[Address, str] = {}
    for name in _LISTENERS:
        address = getattr(settings, name)
        if address in used:
            raise InvalidInputError(
                f'{source}: $.{name}',
                address.url,
                f'another address than $.{used[address]}',
            )
        used[address] = name
    if settings.link in settings.peers:
        raise InvalidInputError(
            f'{source}: $.peers', settings.link.url, 'other entries than itself'
        )
    _check_ownership(settings.ownership, f'{source}: $.ownership')


def _check_ownership(settings: OwnershipSettings, place: str) -> None:
    # The order keeps an old owner from renewing task leases after a takeover
    # (docs/design.md, 8.5).
    ordered = (
        ('renewal_ms', 'confirmation_ms'),
        ('confirmation_ms', 'lease_ms'),
        ('received_grant_ms', 'grant_ms'),
    )
    for shorter, longer in ordered:
        limit = getattr(settings, longer)
        value = getattr(settings, shorter)
        if value >= limit:
            raise InvalidInputError(
                f'{place}.{shorter}', value, f'less than {longer} ({limit})'
            )


def _check_guard(settings: GuardSettings, source: str) -> None:
    if settings.minion is None and settings.worker is None:
        raise InvalidInputError(
            f'{source}: $.minion', None, 'a minion, a worker or both'
        )
    for name in ('minion', 'worker'):
        target = getattr(settings, name)
        if target is not None and target.address == settings.listen:
            raise InvalidInputError(
                f'{source}: $.{name}.address',
                target.address.url,
                'another address than $.listen',
            )


def _nearest(name: str, known: Iterable[str]) -> str:
    names = sorted(known)
    near = difflib.get_close_matches(name, names, n=1)
    if near:
        return f'no unknown field; the nearest known one is {near[0]!r}'
    return f'one of the fields {", ".join(names)}'


def _value_at(raw: object, path: str) -> Any:
    current: Any = raw
    for step in _STEP.finditer(path):
        if step['index'] is not None and isinstance(current, list):
            current = current[int(step['index'])]
        elif isinstance(current, dict):
            current = current.get(step['name'])
    return current


def _field_names(model: type, path: str) -> tuple[str, ...]:
    schema = msgspec.json.schema(model)
    definitions: Mapping[str, Any] = schema.get('$defs', {})
    current = _resolve(schema, definitions)
    for step in _STEP.finditer(path):
        if step['index'] is None:
            current = current['properties'][step['name']]
        else:
            current = current['items']
        current = _resolve(current, definitions)
    return tuple(current.get('properties', ()))


def _resolve(
    schema: Mapping[str, Any], definitions: Mapping[str, Any]
) -> Mapping[str, Any]:
    """Return the object schema behind a reference or an optional field."""
    for choice in schema.get('anyOf', ()):
        if '$ref' in choice:
            return _resolve(choice, definitions)
    reference = schema.get('$ref')
    if reference is None:
        return schema
    return _resolve(definitions[reference.rsplit('/', 1)[-1]], definitions)
