"""Settings files of the daemons, validated with msgspec."""

from ipaddress import ip_address
from typing import Annotated

import msgspec

__all__ = (
    'Address',
    'EntrySettings',
    'GuardSettings',
    'MinionSettings',
    'OwnershipSettings',
    'READABLE_SETTINGS_VERSIONS',
    'SchedulingSettings',
    'TaskSettings',
    'WorkerSettings',
)


READABLE_SETTINGS_VERSIONS = (1,)

_Id = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=65_536)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
# How long a process that is about to stop still serves, so that load balancers
# can react; 0 is for tests and the embedded mode, which have none.
_NoticeMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=600_000)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """IP address and port."""

    host: str
    port: _Port

    def __post_init__(self) -> None:
        """Refuse host names, because the daemons do not resolve names."""
        try:
            ip_address(self.host)
        except ValueError as error:
            raise ValueError('expected an IP address as host') from error

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Host and port, as sockets expect them."""
        return (self.host, self.port)

    @property
    def url(self) -> str:
        """Base URL for HTTP clients."""
        return f'http://{self.host}:{self.port}'


class OwnershipSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Durations of the ownership of a partition (docs/design.md, 8.5)."""

    lease_ms: _Milliseconds = 6000
    renewal_ms: _Milliseconds = 2000
    confirmation_ms: _Milliseconds = 5000
    grant_ms: _Milliseconds = 10_000
    received_grant_ms: _Milliseconds = 9000
    task_lease_ms: _Milliseconds = 20_000
    worker_ttl_ms: _Milliseconds = 2200
    order_timeout_ms: _Milliseconds = 2000


class SchedulingSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Durations of the scheduling policy (docs/design.md, 8.3 and 13)."""

    prepare_timeout_ms: _Milliseconds = 5000
    start_confirmation_ms: _Milliseconds = 10_000
    checkpoint_bound_ms: _Milliseconds = 30_000
    stop_bound_ms: _Milliseconds = 5000
    task_lease_ms: _Milliseconds = 20_000
    checkpoint_interval_ms: _Milliseconds = 600_000


class TaskSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Durations of the task protocol in a guard (docs/design.md, 8.4)."""

    task_lease_ms: _Milliseconds = 20_000
    start_confirmation_ms: _Milliseconds = 10_000
    worker_poll_ms: _Milliseconds = 100
    worker_idle_poll_ms: _Milliseconds = 500
    worker_silence_ms: _Milliseconds = 2000
    worker_timeout_ms: _Milliseconds = 1000


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of an entry process."""

    schema_version: int
    entry_id: _Id
    data_centre: _Id
    callers: Address
    operators: Address
    announcements: Address
    link: Address
    table: Address
    object_store: Address | None = None
    peers: tuple[Address, ...] = ()
    queue_limit: _Count = 512
    stop_notice_ms: _NoticeMilliseconds = 1000
    drain_limit_ms: _Milliseconds = 30_000
    ownership: OwnershipSettings = OwnershipSettings()
    scheduling: SchedulingSettings = SchedulingSettings()


class MinionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The minion beside a guard."""

    minion_id: _Id
    address: Address
    slots: _Count = 8
    connections: _Count = 64


class WorkerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The worker beside a guard."""

    worker_id: _Id
    rack: _Id
    rack_position: Annotated[int, msgspec.Meta(ge=0, le=65_536)]
    address: Address
    accelerators: _Count = 8
    cores: _Count = 64
    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=67_108_864)] = 262_144


class GuardSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a guard process."""

    schema_version: int
    guard_id: _Id
    data_centre: _Id
    listen: Address
    entries: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    minion: MinionSettings | None = None
    worker: WorkerSettings | None = None
    advertise: Address | None = None
    """Address at which entries reach the guard; ``None`` for ``listen``."""
    drain_notice_ms: _NoticeMilliseconds = 3000
    drain_limit_ms: _Milliseconds = 30_000
    tasks: TaskSettings = TaskSettings()
