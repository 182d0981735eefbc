"""A whole deployment on loopback: settings for entries, guards, stand-ins."""

from collections.abc import Iterator
from dataclasses import dataclass

from msgspec import structs

from dragonflynotch.records.settings import (
    Address,
    EntrySettings,
    GuardSettings,
    MinionSettings,
    WorkerSettings,
)
from dragonflynotch.testing.ports import free_ports

__all__ = ('DeploymentPlan', 'SitePlan', 'plan_deployment')

_HOST = '127.0.0.1'
WORKERS_PER_RACK = 3


@dataclass(frozen=True, slots=True)
class SitePlan:
    """Sizes of one data centre.

    Parameters
    ----------
    name : str
        Data centre.
    entries : int
        Number of entry processes.
    guards : int
        Number of guards, each with a minion and a worker.
    cores, memory_mb : int
        Size of each worker.
    """

    name: str
    entries: int = 1
    guards: int = 1
    cores: int = 64
    memory_mb: int = 262_144


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Settings of all processes of a deployment."""

    table: Address
    object_store: Address
    entries: tuple[EntrySettings, ...]
    guards: tuple[GuardSettings, ...]


def plan_deployment(
    sites: tuple[SitePlan, ...],
    *,
    stop_notice_ms: int = 200,
    first_port: int | None = None,
) -> DeploymentPlan:
    """Return settings with loopback ports for all processes.

    Parameters
    ----------
    sites : tuple of SitePlan
        The data centres.
    stop_notice_ms : int
        Shortest time between "not ready" or "draining" and the end of an entry
        or guard, in milliseconds.
    first_port : int or None
        First of consecutive ports; ``None`` takes free ones.

    Examples
    --------
    >>> plan = plan_deployment((SitePlan('lautoka', entries=2),))
    >>> len(plan.entries), len(plan.guards)
    (2, 1)
    """
    entry_count = sum(site.entries for site in sites)
    guard_count = sum(site.guards for site in sites)
    port_count = 2 + 4 * entry_count + 3 * guard_count
    ports = iter(
        free_ports(port_count)
        if first_port is None
        else range(first_port, first_port + port_count)
    )
    table, object_store = (Address(_HOST, next(ports)) for _ in range(2))
    entries: list[EntrySettings] = []
    for site in sites:
        for number in range(1, site.entries + 1):
            callers, operators, announcements, link = (
                Address(_HOST, next(ports)) for _ in range(4)
            )
            entries.append(
                EntrySettings(
                    schema_version=1,
                    entry_id=f'{site.name}-entry-{number}',
                    data_centre=site.name,
                    callers=callers,
                    operators=operators,
                    announcements=announcements,
                    link=link,
                    table=table,
                    object_store=object_store,
                    peers=tuple(entry.link for entry in entries),
                    stop_notice_ms=stop_notice_ms,
                )
            )
    guards = [
        guard
        for data_centre in sites
        for guard in _site_guards(data_centre, ports, tuple(entries))
    ]
    notified = tuple(
        structs.replace(guard, drain_notice_ms=stop_notice_ms)
        for guard in guards
    )
    return DeploymentPlan(table, object_store, tuple(entries), notified)


def _site_guards(
    site: SitePlan, ports: Iterator[int], entries: tuple[EntrySettings, ...]
) -> list[GuardSettings]:
    announcements = tuple(
        entry.announcements
        for entry in entries
        if entry.data_centre == site.name
    )
    guards = []
    for number in range(1, site.guards + 1):
        addresses = [Address(_HOST, next(ports)) for _ in range(3)]
        guards.append(_guard_settings(site, number, addresses, announcements))
    return guards


def _guard_settings(
    site: SitePlan,
    number: int,
    addresses: list[Address],
    entries: tuple[Address, ...],
) -> GuardSettings:
    listen, minion, worker = addresses
    rack_position = (number - 1) // WORKERS_PER_RACK
    return GuardSettings(
        schema_version=1,
        guard_id=f'{site.name}-guard-{number}',
        data_centre=site.name,
        listen=listen,
        entries=entries,
        minion=MinionSettings(f'{site.name}-minion-{number}', minion),
        worker=WorkerSettings(
            worker_id=f'{site.name}-worker-{number}',
            rack=f'{site.name}-rack-{rack_position}',
            rack_position=rack_position,
            address=worker,
            cores=site.cores,
            memory_mb=site.memory_mb,
        ),
    )
