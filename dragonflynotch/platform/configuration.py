"""Decodes the configuration that the operator writes to the row store."""

from collections.abc import Iterator, Sequence
from typing import TypeVar

import msgspec

from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
from dragonflynotch.observability.unreadable import unreadable_entries
from dragonflynotch.records.bounds import Count, Factor, FloatDurationMs
from dragonflynotch.workflows.deployment import (
    Deployment,
    Queue,
    Service,
    Workspace,
)

__all__ = ('decode_deployment',)

_WirePartT = TypeVar('_WirePartT')


class _WireRoute(msgspec.Struct):
    """Route of the platform, a queue here; ``prefix`` ends with a slash."""

    name: str
    host: str
    prefix: str
    service: str
    priority: Count = 1
    max_attempts: Count = 1
    stretch: Factor = 1
    target_latency_ms: FloatDurationMs = 0
    public: bool = False


class _WireService(msgspec.Struct):
    name: str
    admission_check: bool = True


class _WireTenant(msgspec.Struct):
    """Tenant of the platform, a workspace here.

    ``guaranteed`` maps a kind of resource to its amount; only ``gpu`` is used.
    """

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, Factor] = {}


class _WireConfig(msgspec.Struct):
    version: Count
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] = []


_config_decoder = msgspec.json.Decoder(_WireConfig)


def decode_deployment(content: bytes) -> Deployment | Unreadable:
    """Return the deployment, or why the document is malformed.

    A malformed route, service or tenant is logged and left out; the others
    are used.
    """
    config = decode_untrusted(_config_decoder.decode, content)
    if isinstance(config, Unreadable):
        return config
    workspaces = {
        tenant.name: Workspace(
            tenant.name,
            tuple(tenant.api_keys),
            int(tenant.guaranteed.get('gpu', 0)),
        )
        for tenant in _decode_parts(config.tenants, _WireTenant)
    }
    return Deployment(
        config.version,
        {
            route.name: Queue(
                route.name,
                route.host,
                route.prefix,
                route.service,
                route.priority,
                route.max_attempts,
                route.stretch,
                int(route.target_latency_ms),
                route.public,
            )
            for route in _decode_parts(config.routes, _WireRoute)
        },
        {
            service.name: Service(service.name, service.admission_check)
            for service in _decode_parts(config.services, _WireService)
        },
        workspaces,
        {
            key: workspace.name
            for workspace in workspaces.values()
            for key in workspace.keys
        },
    )


def _decode_parts(
    parts: Sequence[msgspec.Raw], model: type[_WirePartT]
) -> Iterator[_WirePartT]:
    for part in parts:
        decoded_part = _decode_part(part, model)
        if decoded_part is not None:
            yield decoded_part


def _decode_part(
    part: msgspec.Raw, model: type[_WirePartT]
) -> _WirePartT | None:
    decoder = msgspec.json.Decoder(model)
    decoded_part = decode_untrusted(decoder.decode, part)
    if isinstance(decoded_part, Unreadable):
        unreadable_entries.record(
            'configuration_part_unreadable', decoded_part, model=model.__name__
        )
        return None
    return decoded_part
