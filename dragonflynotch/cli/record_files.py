"""Reads files with configuration records."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.documents import parse_document

__all__ = ('FileRecord', 'read_record_file')


@dataclass(frozen=True, slots=True)
class FileRecord:
    """A validated record read from a file.

    Parameters
    ----------
    kind, name : str
        Identity of the record.
    document : bytes
        The document as JSON, unknown fields included.
    """

    kind: str
    name: str
    document: bytes


def read_record_file(path: Path) -> tuple[FileRecord, ...]:
    """Return the records of a file, in file order.

    Parameters
    ----------
    path : Path
        File with one JSON document or a list of documents.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or a document is not a valid record. The
        error states the index of the document, the path of the field, its
        value and what was expected.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise InvalidInputError(
            str(path), error.strerror, 'a readable file'
        ) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidInputError(str(path), str(error), 'JSON') from error
    documents = content if isinstance(content, list) else [content]
    if not documents:
        raise InvalidInputError(str(path), documents, 'at least one document')
    return tuple(
        _parse_record(document, f'{path}[{position}]')
        for position, document in enumerate(documents)
    )


def _parse_record(content: object, location: str) -> FileRecord:
    text = msgspec.json.encode(content)
    try:
        document = parse_document(text)
    except InvalidInputError as error:
        raise InvalidInputError(
            location + error.path.removeprefix('$'), error.value, error.expected
        ) from error
    return FileRecord(document.kind, document.name, text)
