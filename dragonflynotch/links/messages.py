"""UDP messages between guards and entries, encoded as MessagePack."""

from enum import Enum

import msgspec

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

    minion_id: str
    slots: int
    free_slots: int
    connections: int


class WorkerState(msgspec.Struct, frozen=True, array_like=True):
    """Location, capacity and free accelerators of a worker."""

    worker_id: str
    rack: str
    rack_position: int
    accelerators: int
    free_accelerators: int
    cores: int
    memory_mb: int


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Periodic message of a guard to each entry of its data centre.

    Later versions append fields with defaults; decoders ignore unknown ones.
    """

    guard_id: str
    incarnation: int
    sequence: int
    data_centre: str
    http_host: str
    http_port: int
    state: GuardState
    minion: MinionState | None
    worker: WorkerState | None
    configuration_revision: int
    schema_versions: tuple[int, ...]
    highest_fence: int
    task_digest: int


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Response of an entry to an announcement."""

    entry_id: str
    guard_id: str
    sequence: int
    configuration_revision: int
    owned_fence: int = 0
    """Fence of the partition that the entry owns; 0 if it owns none."""
    entries: tuple[tuple[str, int], ...] = ()
    """Announcement addresses of the live entries of the data centre."""


_encoder = msgspec.msgpack.Encoder()
_announcement_decoder = msgspec.msgpack.Decoder(Announcement)
_acknowledgement_decoder = msgspec.msgpack.Decoder(Acknowledgement)


def encode_message(message: Announcement | Acknowledgement) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_announcement(datagram: bytes) -> Announcement:
    """Decode the announcement in a datagram.

    Raises
    ------
    msgspec.DecodeError
        If the datagram does not hold an announcement.
    """
    return _announcement_decoder.decode(datagram)


def decode_acknowledgement(datagram: bytes) -> Acknowledgement:
    """Decode the acknowledgement in a datagram.

    Raises
    ------
    msgspec.DecodeError
        If the datagram does not hold an acknowledgement.
    """
    return _acknowledgement_decoder.decode(datagram)
