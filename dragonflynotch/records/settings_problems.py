"""Readable messages about fields that do not match their type."""

import difflib
import re
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from dragonflynotch.core.errors import InvalidInputError

__all__ = ('describe_problem',)

_PLACE = re.compile(r'^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$', re.DOTALL)
_UNKNOWN_FIELD = re.compile('^Object contains unknown field `(?P<name>.*)`$')
_MISSING_FIELD = re.compile('^Object missing required field `(?P<name>.*)`$')
_EXPECTED = re.compile('^[Ee]xpected (?P<expected>.*?)(?:, got .*)?$')
_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')


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
