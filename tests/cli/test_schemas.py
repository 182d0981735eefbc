"""The committed JSON schemas match the models."""

import json
from pathlib import Path

from dragonflynotch.cli.schemas import schema_files

_DIRECTORY = Path(__file__).parents[2] / 'docs' / 'schemas'


def test_committed_schemas_match_the_models():
    """Guards against committed schemas that are out of date."""
    found = {file.name: file.read_bytes() for file in _DIRECTORY.glob('*')}
    assert found == schema_files()


def test_record_schemas_state_kind_and_version():
    """Guards against a schema that accepts records of another version."""
    schema = json.loads(schema_files()['workspace-record-v2.json'])
    assert schema['properties']['schema_version'] == {'const': 2}
    assert schema['properties']['kind'] == {'const': 'workspace'}
    assert 'classes' in schema['properties']['spec']['properties']
