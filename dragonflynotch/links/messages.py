"""UDP messages between guards and entries, encoded as MessagePack."""

from enum import Enum

import msgspec

from dragonflynotch.core.untrusted import (
    Unreadable,
    decode_untrusted,
    is_usable_address,
)
from dragonflynotch.records.bounds import (
    Accelerators,
    Cores,
    Count,
    Label,
    Megabytes,
    Port,
    SchemaVersion,
    Slots,
)

__all__ = (
    'Acknowledgement',
    'Announcement',
    'GuardState',
    'MinionState',
    'WorkerState',
    'decode_acknowledgement',
    'decode_announcement',
    'encode_message',
)


class GuardState(Enum):
    """Whether a guard accepts new work."""

    ready = 'ready'
    draining = 'draining'
    leaving = 'leaving'


class MinionState(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and free slots of a minion, reported by its guard."""

    minion_id: Label
    slots: Slots
    free_slots: Slots
    connections: Count


class WorkerState(msgspec.Struct, frozen=True, array_like=True):
    """Location, capacity and free accelerators of a worker."""

    worker_id: Label
    rack: Label
    rack_position: Slots
    accelerators: Accelerators
    free_accelerators: Accelerators
    cores: Cores
    memory_mb: Megabytes


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Periodic message of a guard to each entry of its data centre.

    Later versions append fields with defaults; decoders ignore unknown ones.
    """

    guard_id: Label
    incarnation: Count
    sequence: Count
    data_centre: Label
    http_host: Label
    http_port: Port
    state: GuardState
    minion: MinionState | None
    worker: WorkerState | None
    configuration_revision: Count
    schema_versions: tuple[SchemaVersion, ...]
    highest_fence: Count
    task_digest: Count


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Response of an entry to an announcement."""

    entry_id: str
    guard_id: str
    sequence: Count
    configuration_revision: Count
    owned_fence: Count = 0
    """Fence of the partition that the entry owns; 0 if it owns none."""
    entries: tuple[tuple[str, int], ...] = ()
    """Announcement addresses of the live entries of the data centre."""


_encoder = msgspec.msgpack.Encoder()
_announcement_decoder = msgspec.msgpack.Decoder(Announcement)
_acknowledgement_decoder = msgspec.msgpack.Decoder(Acknowledgement)


def encode_message(message: Announcement | Acknowledgement) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_announcement(datagram: bytes) -> Announcement | Unreadable:
    """Return the announcement in a datagram, or why it is unreadable.

    The fields fit into the messages in which entries list guards.
    """
    announcement = decode_untrusted(_announcement_decoder.decode, datagram)
    if isinstance(announcement, Announcement) and not is_usable_address(
        (announcement.http_host, announcement.http_port)
    ):
        return Unreadable('malformed address')
    return announcement


def decode_acknowledgement(datagram: bytes) -> Acknowledgement | Unreadable:
    """Return the acknowledgement in a datagram, or why it is unreadable.

    Addresses of entries that cannot be used are left out.
    """
    acknowledgement = decode_untrusted(
        _acknowledgement_decoder.decode, datagram
    )
    if isinstance(acknowledgement, Unreadable):
        return acknowledgement
    return msgspec.structs.replace(
        acknowledgement,
        entries=tuple(filter(is_usable_address, acknowledgement.entries)),
    )
