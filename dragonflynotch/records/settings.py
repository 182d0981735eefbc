"""Settings files of the daemons, validated with msgspec."""

from pathlib import Path
from typing import TypeVar

import msgspec

from dragonflynotch.core.errors import InvalidInputError

__all__ = (
    'Address',
    'EntrySettings',
    'GuardSettings',
    'MinionSettings',
    'OwnershipSettings',
    'TaskSettings',
    'WorkerSettings',
    'load_settings',
)


SettingsT = TypeVar('SettingsT', bound=msgspec.Struct)


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """IP address and port."""

    host: str
    port: int

    @property
    def pair(self) -> tuple[str, int]:
        """The form that sockets take."""
        return (self.host, self.port)

    @property
    def url(self) -> str:
        """The form that HTTP clients take."""
        return f'http://{self.host}:{self.port}'


class OwnershipSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Durations of the ownership of a partition (docs/design.md, 8.5)."""

    lease_ms: int = 6000
    renewal_ms: int = 2000
    confirmation_ms: int = 5000
    grant_ms: int = 10_000
    received_grant_ms: int = 9000
    task_lease_ms: int = 20_000
    worker_ttl_ms: int = 2200
    order_timeout_ms: int = 2000


class TaskSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Durations of the task protocol in a guard (docs/design.md, 8.4)."""

    task_lease_ms: int = 20_000
    start_confirmation_ms: int = 10_000
    worker_poll_ms: int = 100
    worker_idle_poll_ms: int = 500
    worker_silence_ms: int = 2000
    worker_timeout_ms: int = 1000


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of an entry process."""

    schema_version: int
    entry_id: str
    data_centre: str
    callers: Address
    operators: Address
    announcements: Address
    link: Address
    table: Address
    object_store: Address | None = None
    peers: tuple[Address, ...] = ()
    queue_limit: int = 512
    stop_notice_ms: int = 1000
    drain_limit_ms: int = 30_000
    ownership: OwnershipSettings = OwnershipSettings()


class MinionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The minion beside a guard."""

    minion_id: str
    address: Address
    slots: int = 8
    connections: int = 64


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The worker beside a guard."""

    worker_id: str
    rack: str
    rack_position: int
    address: Address
    accelerators: int = 8
    cores: int = 64
    memory_mb: int = 262_144


class GuardSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a guard process."""

    schema_version: int
    guard_id: str
    data_centre: str
    listen: Address
    entries: tuple[Address, ...]
    minion: MinionSettings | None = None
    worker: WorkerSettings | None = None
    advertised: Address | None = None
    """Address that entries connect to, if it is not ``listen``."""
    drain_notice_ms: int = 3000
    drain_limit_ms: int = 30_000
    tasks: TaskSettings = TaskSettings()


def load_settings(path: Path, model: type[SettingsT]) -> SettingsT:
    """Return the settings in a JSON file.

    Raises
    ------
    InvalidInputError
        If the file cannot be read or does not match the model.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=model)
    except OSError as error:
        raise InvalidInputError(str(path), error.strerror, 'a file') from error
    except msgspec.DecodeError as error:
        raise InvalidInputError(
            str(path), str(error), model.__name__
        ) from error
