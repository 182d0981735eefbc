"""Conversion between core data classes and entry link messages."""

from datetime import datetime, timedelta
from types import MappingProxyType

from dragonflynotch.core.configuration import (
    Change,
    Changes,
    RecordKey,
    Snapshot,
    StoredRecord,
)
from dragonflynotch.core.errors import InvalidInputError
from dragonflynotch.core.membership import GuardInfo, MinionInfo
from dragonflynotch.core.topology import Worker
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.links.entry_link_pb2 import (
    ConfigurationUpdate,
    Member,
    Record,
)

__all__ = (
    'decode_configuration',
    'decode_guard',
    'encode_configuration',
    'encode_guard',
    'milliseconds',
)

_MILLISECOND = timedelta(milliseconds=1)


def milliseconds(duration: timedelta) -> int:
    """Return a duration in milliseconds, rounded down and at least 0."""
    return max(0, duration // _MILLISECOND)


def encode_guard(guard: GuardInfo, now: datetime) -> Member:
    """Encode a guard as a message with its age at ``now``."""
    member = Member(
        guard_id=guard.guard_id,
        incarnation=guard.incarnation,
        sequence=guard.sequence,
        http_host=guard.address[0],
        http_port=guard.address[1],
        is_ready=guard.is_ready,
        schema_versions=guard.schema_versions,
        age_ms=milliseconds(now - guard.heard_at),
        free_accelerators=guard.free_accelerators,
    )
    if guard.minion is not None:
        member.minion_id = guard.minion.minion_id
        member.slots = guard.minion.slots
        member.free_slots = guard.minion.free_slots
    if guard.worker is not None:
        member.worker_id = guard.worker.worker_id
        member.rack = guard.worker.rack
        member.rack_position = guard.worker.rack_position
        member.accelerators = guard.worker.accelerators
        member.cores = guard.worker.cores
        member.memory_mb = guard.worker.memory_mb
    return member


def decode_guard(member: Member, data_centre: str, now: datetime) -> GuardInfo:
    """Decode the guard from a message received at ``now``."""
    minion = MinionInfo(member.minion_id, member.slots, member.free_slots)
    worker = Worker(
        member.worker_id,
        member.rack,
        member.rack_position,
        member.accelerators,
        member.cores,
        member.memory_mb,
    )
    return GuardInfo(
        guard_id=member.guard_id,
        incarnation=member.incarnation,
        sequence=member.sequence,
        data_centre=data_centre,
        address=(member.http_host, member.http_port),
        is_ready=member.is_ready,
        minion=minion if member.minion_id else None,
        worker=worker if member.worker_id else None,
        free_accelerators=member.free_accelerators,
        schema_versions=tuple(member.schema_versions),
        heard_at=now - member.age_ms * _MILLISECOND,
    )


def encode_configuration(update: Changes | Snapshot) -> ConfigurationUpdate:
    """Encode changes or a snapshot as a message."""
    if isinstance(update, Snapshot):
        return ConfigurationUpdate(
            is_snapshot=True,
            revision=update.revision,
            records=[
                Record(
                    kind=key.kind,
                    name=key.name,
                    revision=record.revision,
                    document=record.document,
                )
                for key, record in update.records.items()
            ],
        )
    return ConfigurationUpdate(
        revision=update.after_revision,
        records=[
            Record(
                kind=change.key.kind,
                name=change.key.name,
                revision=change.revision,
                document=change.document,
            )
            for change in update.changes
        ],
    )


def decode_configuration(message: ConfigurationUpdate) -> Changes | Snapshot:
    """Decode the changes or the snapshot in a message.

    Raises
    ------
    InvalidInputError
        If a document is not UTF-8 and so could not be passed on.
    """
    for sent in message.records:
        text = decode_untrusted(bytes.decode, sent.document)
        if isinstance(text, Unreadable):
            raise InvalidInputError(sent.name, text.reason, 'UTF-8')
    if message.is_snapshot:
        return Snapshot(
            message.revision,
            MappingProxyType(
                {
                    RecordKey(record.kind, record.name): StoredRecord(
                        record.document, record.revision
                    )
                    for record in message.records
                }
            ),
        )
    return Changes(
        message.revision,
        tuple(
            Change(
                record.revision,
                RecordKey(record.kind, record.name),
                record.document if record.HasField('document') else None,
            )
            for record in message.records
        ),
    )
