"""Files with records that operators apply."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.records.documents import parse_document

__all__ = ('RecordFile', 'read_record_file')


@dataclass(frozen=True, slots=True)
class RecordFile:
    """One valid record of a file.

    Parameters
    ----------
    kind, name : str
        Identity of the record.
    document : bytes
        The document as JSON, with unknown fields.
    """

    kind: str
    name: str
    document: bytes


def read_record_file(path: Path) -> tuple[RecordFile, ...]:
    """Return the records of a file, in order.

    Parameters
    ----------
    path : Path
        File with one JSON document or a list of documents.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or a document is not a valid record; names
        the position of the document, the path of the field, the value and
        what was expected.
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
        _read_document(document, f'{path}[{position}]')
        for position, document in enumerate(documents)
    )


def _read_document(content: object, place: str) -> RecordFile:
    text = msgspec.json.encode(content)
    try:
        document = parse_document(text)
    except InvalidInputError as error:
        raise InvalidInputError(
            place + error.path.removeprefix('$'), error.value, error.expected
        ) from error
    return RecordFile(document.kind, document.name, text)
