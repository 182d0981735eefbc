"""Readable errors for settings fields that do not match their type."""

import difflib
import re
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from dragonflynotch.core.errors import InvalidInputError

__all__ = ('convert_validation_error',)

_LOCATED_ERROR = re.compile(
    r'^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$', re.DOTALL
)
_UNKNOWN_FIELD = re.compile('^Object contains unknown field `(?P<name>.*)`$')
_MISSING_FIELD = re.compile('^Object missing required field `(?P<name>.*)`$')
_TYPE_MISMATCH = re.compile('^[Ee]xpected (?P<expected>.*?)(?:, got .*)?$')
_PATH_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')


def convert_validation_error(
    error: msgspec.ValidationError, raw: object, model: type, source: str
) -> InvalidInputError:
    """Return an error with the field's path, value and expected form.

    Parameters
    ----------
    error : msgspec.ValidationError
        Error of the decoder.
    raw : object
        The decoded JSON text.
    model : type
        Type that the text must match.
    source : str
        Origin of the text, for the message.
    """
    located = _LOCATED_ERROR.match(str(error))
    problem = located['problem'] if located else str(error)
    path = (located and located['path']) or ''
    value = _value_at(raw, path)
    unknown = _UNKNOWN_FIELD.match(problem)
    if unknown:
        name = unknown['name']
        value = value.get(name) if isinstance(value, dict) else value
        expected = _expected_field(name, _field_names(model, path))
        return InvalidInputError(f'{source}: ${path}.{name}', value, expected)
    missing = _MISSING_FIELD.match(problem)
    if missing:
        path = f'{path}.{missing["name"]}'
        return InvalidInputError(
            f'{source}: ${path}', None, 'a value, as the field is required'
        )
    mismatch = _TYPE_MISMATCH.match(problem)
    expected = mismatch['expected'].replace('`', '') if mismatch else problem
    return InvalidInputError(f'{source}: ${path}', value, expected)


def _expected_field(name: str, known: Iterable[str]) -> str:
    names = sorted(known)
    similar = difflib.get_close_matches(name, names, n=1)
    if similar:
        return f'a known field; the nearest known one is {similar[0]!r}'
    return f'one of the fields {", ".join(names)}'


def _value_at(raw: object, path: str) -> Any:
    current: Any = raw
    for step in _PATH_STEP.finditer(path):
        if step['index'] is not None and isinstance(current, list):
            current = current[int(step['index'])]
        elif isinstance(current, dict):
            current = current.get(step['name'])
    return current


def _field_names(model: type, path: str) -> tuple[str, ...]:
    schema = msgspec.json.schema(model)
    definitions: Mapping[str, Any] = schema.get('$defs', {})
    current = _object_schema(schema, definitions)
    for step in _PATH_STEP.finditer(path):
        if step['index'] is None:
            current = current['properties'][step['name']]
        else:
            current = current['items']
        current = _object_schema(current, definitions)
    return tuple(current.get('properties', ()))


def _object_schema(
    schema: Mapping[str, Any], definitions: Mapping[str, Any]
) -> Mapping[str, Any]:
    """Return the object schema behind a reference or an optional field."""
    for choice in schema.get('anyOf', ()):
        if '$ref' in choice:
            return _object_schema(choice, definitions)
    reference = schema.get('$ref')
    if reference is None:
        return schema
    return _object_schema(
        definitions[reference.rsplit('/', 1)[-1]], definitions
    )
