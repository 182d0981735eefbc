"""Settings of a complete deployment on loopback addresses."""

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
    """Number and size of the processes of one data centre.

    Parameters
    ----------
    name : str
        Name of the data centre.
    entries : int
        Number of entry processes.
    guards : int
        Number of guards; each serves one minion and one worker.
    cores, memory_mb : int
        Capacity of each worker.
    """

    name: str
    entries: int = 1
    guards: int = 1
    cores: int = 64
    memory_mb: int = 262_144


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Addresses of the services and settings of all daemons."""

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
    """Assign loopback ports and return the settings of all processes.

    Parameters
    ----------
    sites : tuple of SitePlan
        The data centres.
    stop_notice_ms : int
        Minimum time in milliseconds for which an entry reports "not ready", or
        a guard "draining", before it exits.
    first_port : int or None
        First port of a consecutive range; ``None`` selects free ports.

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
        for site_plan in sites
        for guard in _site_guards(site_plan, ports, tuple(entries))
    ]
    guards_with_notice = tuple(
        structs.replace(guard, drain_notice_ms=stop_notice_ms)
        for guard in guards
    )
    return DeploymentPlan(
        table, object_store, tuple(entries), guards_with_notice
    )


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
