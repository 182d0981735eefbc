"""Writes the JSON schemas of settings, records and job submissions.

``python -m dragonflynotch.cli.schemas [DIRECTORY]`` writes them to
``docs/schemas`` or to the given directory.
"""

import sys
from pathlib import Path
from typing import Any

import msgspec

from dragonflynotch.records.documents import record_schemas
from dragonflynotch.records.jobs import JobBody
from dragonflynotch.records.settings import EntrySettings, GuardSettings

__all__ = ('main', 'schema_files')

_SCHEMA_DIALECT_URL = 'https://json-schema.org/draft/2020-12/schema'
_DEFAULT_DIRECTORY = 'docs/schemas'


def schema_files() -> dict[str, bytes]:
    """Return the content of each schema file, keyed by file name."""
    schemas: dict[str, dict[str, Any]] = {
        'entry-settings': msgspec.json.schema(EntrySettings),
        'guard-settings': msgspec.json.schema(GuardSettings),
        'job': JobBody.model_json_schema(),
    }
    for (kind, version), record in record_schemas().items():
        schemas[f'{kind}-record-v{version}'] = record
    return {
        f'{name}.json': _encode_schema(
            {'$schema': _SCHEMA_DIALECT_URL, **schema}
        )
        for name, schema in schemas.items()
    }


def main() -> None:
    """Write all schema files."""
    directory = Path(sys.argv[1] if len(sys.argv) > 1 else _DEFAULT_DIRECTORY)
    directory.mkdir(parents=True, exist_ok=True)
    for name, content in schema_files().items():
        (directory / name).write_bytes(content)


def _encode_schema(schema: dict[str, Any]) -> bytes:
    text = msgspec.json.encode(schema, order='deterministic')
    return msgspec.json.format(text, indent=2) + b'\n'


if __name__ == '__main__':
    main()
