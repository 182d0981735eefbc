"""JSON form of the configuration copies that entries keep at guards."""

from types import MappingProxyType

import msgspec

from dragonflynotch.core.configuration import (
    Change,
    Changes,
    RecordKey,
    Snapshot,
    StoredRecord,
)
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.records.bounds import Count

__all__ = ('decode_copy', 'encode_copy')


class _RecordBody(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    name: str
    revision: Count
    document: str | None


class _CopyBody(msgspec.Struct, frozen=True):
    is_snapshot: bool
    revision: Count
    records: list[_RecordBody]


_copy_decoder = msgspec.json.Decoder(_CopyBody)


def encode_copy(update: Changes | Snapshot) -> bytes:
    """Encode changes or a snapshot as JSON."""
    if isinstance(update, Snapshot):
        records = [
            _RecordBody(
                key.kind, key.name, record.revision, record.document.decode()
            )
            for key, record in update.records.items()
        ]
        body = _CopyBody(
            is_snapshot=True, revision=update.revision, records=records
        )
    else:
        records = [
            _RecordBody(
                change.key.kind,
                change.key.name,
                change.revision,
                None if change.document is None else change.document.decode(),
            )
            for change in update.changes
        ]
        body = _CopyBody(
            is_snapshot=False, revision=update.after_revision, records=records
        )
    return msgspec.json.encode(body)


def decode_copy(payload: bytes) -> Changes | Snapshot | Unreadable:
    """Return the changes or the snapshot in a JSON payload.

    The reason is returned if the payload is unreadable.
    """
    body = decode_untrusted(_copy_decoder.decode, payload)
    if isinstance(body, Unreadable):
        return body
    if not body.is_snapshot:
        return Changes(body.revision, tuple(map(_decode_change, body.records)))
    return Snapshot(
        body.revision,
        MappingProxyType(
            {
                RecordKey(record.kind, record.name): StoredRecord(
                    (record.document or '').encode(), record.revision
                )
                for record in body.records
            }
        ),
    )


def _decode_change(record: _RecordBody) -> Change:
    document = record.document
    return Change(
        record.revision,
        RecordKey(record.kind, record.name),
        None if document is None else document.encode(),
    )
