"""Records of both schema versions are validated and keep all their fields."""

import json

import pytest

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.documents import (
    merge_newer_fields,
    parse_document,
    record_warnings,
    workspace_spec,
)

V1 = {
    'schema_version': 1,
    'kind': 'workspace',
    'name': 'resort',
    'spec': {
        'classes': {'audit-bundle': 1},
        'guarantees': {'lautoka': [{'accelerators': 8}]},
    },
}
V2 = {
    'schema_version': 2,
    'kind': 'workspace',
    'name': 'resort',
    'spec': {
        'classes': {'audit-bundle': {'priority': 1, 'objective_ms': 200}},
        'guarantees': {
            'lautoka': [{'accelerators': 8, 'urgent': True, 'note': 'x'}]
        },
        'later_field': {'a': 1},
    },
}


def parse(document):
    return parse_document(json.dumps(document).encode())


def with_value(document, path, value):
    copy = json.loads(json.dumps(document))
    target = copy
    for part in path[:-1]:
        target = target[part]
    target[path[-1]] = value
    return copy


@pytest.mark.parametrize('document', [V1, V2])
def test_document_round_trips_with_unknown_fields(document):
    """Guards against dropping a field that this version does not know."""
    parsed = parse(document)
    assert json.loads(parsed.model_dump_json()) == document


def test_version_1_edit_keeps_version_2_fields():
    """Guards against an old tool that erases the fields of a newer one."""
    edited = with_value(V1, ['spec', 'classes'], {'audit-bundle': 5})
    merged = merge_newer_fields(parse(edited), parse(V2))
    spec = workspace_spec(merged)
    assert merged.schema_version == 2
    assert merged.spec['later_field'] == {'a': 1}
    assert merged.spec['guarantees']['lautoka'][0]['note'] == 'x'
    assert spec.classes['audit-bundle'].priority == 5
    assert spec.classes['audit-bundle'].objective_ms == 200
    assert spec.guarantees['lautoka'][0].is_urgent


def test_unknown_field_is_reported_with_the_nearest_name():
    """Guards against a misspelt field that goes unnoticed."""
    document = with_value(V2, ['spec', 'requests_per_secnd'], 5)
    (_, warning) = record_warnings(parse(document))
    assert "did you mean 'requests_per_second'" in warning


@pytest.mark.parametrize(
    ('path', 'value', 'message'),
    [
        (['schema_version'], 3, '$.schema_version: got 3'),
        (['name'], 'Not Valid', "$.name: got 'Not Valid'"),
        (['spec', 'burst'], 0, '$.spec.burst: got 0'),
        (
            ['spec', 'guarantees', 'lautoka', 0, 'accelerators'],
            'eight',
            "$.spec.guarantees.lautoka[0].accelerators: got 'eight'",
        ),
    ],
)
def test_error_names_the_path_and_the_value(path, value, message):
    """Guards against an error that names no field or value."""
    with pytest.raises(InvalidInputError) as caught:
        parse(with_value(V1, path, value))
    assert message in str(caught.value)


@pytest.mark.parametrize('text', [b'', b'{', b'[]', b'\xff', b'1' * 70_000])
def test_malformed_text_is_refused(text):
    """Guards against a daemon that fails on malformed input."""
    with pytest.raises(InvalidInputError):
        parse_document(text)
