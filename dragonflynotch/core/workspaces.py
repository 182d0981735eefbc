"""Workspaces and their limits in the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from dragonflynotch.core.events import Guarantee

__all__ = ('ConfigurationView', 'RequestClass', 'WorkspaceSpec')


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Request class of a workspace.

    Parameters
    ----------
    priority : int
        Lower numbers are served first.
    objective_ms : int
        Latency of the service-level objective, in milliseconds.
    """

    priority: int = 100
    objective_ms: int = 1000


@dataclass(frozen=True, slots=True)
class WorkspaceSpec:
    """Identity, quotas and guarantees of a workspace.

    Parameters
    ----------
    name : str
        Unique name.
    token_digests : tuple of str
        SHA-256 digests (hexadecimal) of the accepted bearer tokens.
    classes : mapping of str to RequestClass
        Request classes by name; requests of other classes are rejected.
    requests_per_second : float
        Sustained rate limit.
    burst : int
        Requests accepted at once in excess of the sustained rate.
    max_in_flight : int
        Requests that may run or be queued at the same time in one entry.
    max_waiting_jobs : int
        Jobs that may wait at the same time.
    max_accelerators : int
        Accelerators, including borrowed ones, that the running jobs of the
        workspace may hold in one data centre.
    guarantees : mapping of str to tuple of Guarantee
        Guaranteed shapes by data centre.
    """

    name: str
    token_digests: tuple[str, ...] = ()
    classes: Mapping[str, RequestClass] = field(
        default_factory=lambda: MappingProxyType({'default': RequestClass()})
    )
    requests_per_second: float = 50
    burst: int = 100
    max_in_flight: int = 256
    max_waiting_jobs: int = 10_000
    max_accelerators: int = 100_000
    guarantees: Mapping[str, tuple[Guarantee, ...]] = field(
        default_factory=lambda: MappingProxyType({})
    )


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """Configuration in force in this process.

    Parameters
    ----------
    revision : int
        Global revision; 0 before any change.
    workspaces : mapping of str to WorkspaceSpec
        Workspaces by name.
    """

    revision: int = 0
    workspaces: Mapping[str, WorkspaceSpec] = field(
        default_factory=lambda: MappingProxyType({})
    )
