"""Operator records: JSON documents with a schema version.

Two schema versions can be used at the same time. Version 1 describes a request
class by its priority alone; version 2 describes it by an object and adds urgent
guarantees. Unknown fields are kept in the stored document.
"""

import difflib
import json
from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.workspaces import RequestClass, WorkspaceSpec

__all__ = (
    'READABLE_SCHEMA_VERSIONS',
    'Document',
    'ObjectiveBody',
    'merge_newer_fields',
    'parse_document',
    'record_schemas',
    'record_warnings',
    'workspace_spec',
)

READABLE_SCHEMA_VERSIONS = (1, 2)
MAX_DOCUMENT_BYTES = 65_536

_Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]
_Digest = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
_MAX_ACCELERATORS = 1024
_DEFAULT_CLASSES: Mapping[str, int] = {'default': 100}


class _Body(BaseModel):
    model_config = ConfigDict(extra='allow', strict=True)


class _ShapeV1(_Body):
    accelerators: Annotated[int, Field(ge=1, le=_MAX_ACCELERATORS)]
    proximity: Literal['worker', 'rack', 'adjacent_racks'] = 'rack'


class _ShapeV2(_ShapeV1):
    urgent: bool = False


class _ClassV2(_Body):
    priority: Annotated[int, Field(ge=0, le=1000)] = 100
    objective_ms: Annotated[int, Field(ge=1, le=600_000)] = 1000


class _WorkspaceLimits(_Body):
    token_digests: list[_Digest] = []
    requests_per_second: Annotated[float, Field(gt=0, le=100_000)] = 50
    burst: Annotated[int, Field(ge=1, le=100_000)] = 100
    max_in_flight: Annotated[int, Field(ge=1, le=100_000)] = 256
    max_waiting_jobs: Annotated[int, Field(ge=0, le=1_000_000)] = 10_000
    max_accelerators: Annotated[int, Field(ge=0, le=100_000)] = 100_000


class _WorkspaceV1(_WorkspaceLimits):
    classes: dict[_Name, Annotated[int, Field(ge=0, le=1000)]] = dict(
        _DEFAULT_CLASSES
    )
    guarantees: dict[_Name, list[_ShapeV1]] = {}


class _WorkspaceV2(_WorkspaceLimits):
    classes: dict[_Name, _ClassV2] = {'default': _ClassV2()}
    guarantees: dict[_Name, list[_ShapeV2]] = {}


class ObjectiveBody(_Body):
    """Service-level objective of a request class.

    ``target`` is the share of requests that must be answered within
    ``latency_ms`` over ``window_days``.
    """

    workspace: _Name
    request_class: _Name
    target: Annotated[float, Field(gt=0, lt=1)]
    latency_ms: Annotated[int, Field(ge=1, le=600_000)]
    window_days: Annotated[int, Field(ge=1, le=90)] = 28


class Document(BaseModel):
    """Envelope of every record."""

    model_config = ConfigDict(extra='allow', strict=True)

    schema_version: int
    kind: Literal['workspace', 'objective']
    name: _Name
    spec: dict[str, Any]


_SPEC_MODELS: Mapping[tuple[str, int], type[_Body]] = {
    ('workspace', 1): _WorkspaceV1,
    ('workspace', 2): _WorkspaceV2,
    ('objective', 1): ObjectiveBody,
    ('objective', 2): ObjectiveBody,
}


def parse_document(text: bytes) -> Document:
    """Return the validated document.

    Parameters
    ----------
    text : bytes
        JSON text, at most 65,536 bytes.

    Returns
    -------
    Document
        The document, including its unknown fields.

    Raises
    ------
    InvalidInputError
        If the document is malformed. The error holds the path of the first
        invalid field, its value and what was expected.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise InvalidInputError(
            '$', f'{len(text)} bytes', f'at most {MAX_DOCUMENT_BYTES} bytes'
        )
    try:
        document = Document.model_validate_json(text)
    except ValidationError as error:
        raise _first_error(error, '$') from error
    version = document.schema_version
    if version not in READABLE_SCHEMA_VERSIONS:
        raise InvalidInputError(
            '$.schema_version', version, f'one of {READABLE_SCHEMA_VERSIONS}'
        )
    _validate_spec(document)
    return document


def record_warnings(document: Document) -> tuple[str, ...]:
    """Return a warning for each unknown field, with the most similar name."""
    known = set(
        _SPEC_MODELS[document.kind, document.schema_version].model_fields
    )
    warnings = []
    for name in sorted(set(document.spec) - known):
        similar = difflib.get_close_matches(name, known, n=1)
        hint = f'; did you mean {similar[0]!r}?' if similar else ''
        warnings.append(f'$.spec.{name}: unknown field is kept unchanged{hint}')
    return tuple(warnings)


def record_schemas() -> dict[tuple[str, int], dict[str, Any]]:
    """Return the JSON schema of the records of each kind and version."""
    schemas = {}
    for (kind, version), model in _SPEC_MODELS.items():
        schema = Document.model_json_schema()
        spec = model.model_json_schema()
        definitions = spec.pop('$defs', {})
        schema['title'] = f'{kind} record, schema version {version}'
        schema['properties']['schema_version'] = {'const': version}
        schema['properties']['kind'] = {'const': kind}
        schema['properties']['spec'] = spec
        if definitions:
            schema['$defs'] = definitions
        schemas[kind, version] = schema
    return schemas


def merge_newer_fields(document: Document, stored: Document) -> Document:
    """Return a version 1 document with the version 2 fields of the stored one.

    An operator whose tools know only version 1 would otherwise erase what
    version 2 added.

    Parameters
    ----------
    document : Document
        New document, written by the operator.
    stored : Document
        Current document.

    Returns
    -------
    Document
        Version 2 form of ``document`` if it is a workspace of an older schema
        version than ``stored``, else ``document`` itself.
    """
    is_older = document.schema_version < stored.schema_version
    if not is_older or document.kind != 'workspace':
        return document
    spec = {**document.spec}
    unknown_to_v1 = set(stored.spec) - set(_WorkspaceV1.model_fields)
    spec.update({name: stored.spec[name] for name in unknown_to_v1})
    stored_classes = stored.spec.get('classes', {})
    spec['classes'] = {
        name: {**stored_classes.get(name, {}), 'priority': priority}
        for name, priority in document.spec.get(
            'classes', _DEFAULT_CLASSES
        ).items()
    }
    spec['guarantees'] = {
        data_centre: _with_stored_fields(
            shapes, stored.spec.get('guarantees', {}).get(data_centre, [])
        )
        for data_centre, shapes in document.spec.get('guarantees', {}).items()
    }
    return Document(
        schema_version=stored.schema_version,
        kind=document.kind,
        name=document.name,
        spec=spec,
    )


def workspace_spec(document: Document) -> WorkspaceSpec:
    """Return the workspace that a document of this kind describes.

    Raises
    ------
    InvalidInputError
        If the document is of another kind or malformed.
    """
    spec = _validate_spec(document)
    if isinstance(spec, _WorkspaceV1):
        classes = {
            name: RequestClass(priority=priority)
            for name, priority in spec.classes.items()
        }
    elif isinstance(spec, _WorkspaceV2):
        classes = {
            name: RequestClass(body.priority, body.objective_ms)
            for name, body in spec.classes.items()
        }
    else:
        raise InvalidInputError('$.kind', document.kind, 'workspace')
    return WorkspaceSpec(
        name=document.name,
        token_digests=tuple(spec.token_digests),
        classes=classes,
        requests_per_second=spec.requests_per_second,
        burst=spec.burst,
        max_in_flight=spec.max_in_flight,
        max_waiting_jobs=spec.max_waiting_jobs,
        max_accelerators=spec.max_accelerators,
        guarantees={
            data_centre: tuple(
                _guarantee(document.name, shape) for shape in shapes
            )
            for data_centre, shapes in spec.guarantees.items()
        },
    )


def _with_stored_fields(
    shapes: list[dict[str, Any]], stored: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    stored_or_empty = [*stored, *({} for _ in shapes)]
    return [
        {**old, **shape}
        for shape, old in zip(shapes, stored_or_empty, strict=False)
    ]


def _guarantee(workspace: str, shape: _ShapeV1) -> Guarantee:
    return Guarantee(
        workspace,
        Shape(shape.accelerators, Proximity(shape.proximity)),
        is_urgent=getattr(shape, 'urgent', False),
    )


def _validate_spec(document: Document) -> _Body:
    model = _SPEC_MODELS[document.kind, document.schema_version]
    try:
        return model.model_validate_json(json.dumps(document.spec))
    except ValidationError as error:
        raise _first_error(error, '$.spec') from error


def _first_error(error: ValidationError, root: str) -> InvalidInputError:
    details = error.errors(include_url=False)[0]
    path = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}'
        for part in details['loc']
    )
    return InvalidInputError(root + path, details['input'], details['msg'])
