"""The two example deployments and their files in ``examples/``.

``python -m dragonflynotch.testing.examples`` regenerates the files.
"""

import hashlib
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec

from dragonflynotch.testing.deployment import (
    DeploymentPlan,
    SitePlan,
    plan_deployment,
)

__all__ = ('EXAMPLES', 'Example', 'example_files', 'example_token')

_RECORD_SCHEMA_VERSION = 2
_ENTRIES_PER_SITE = 2
_FIRST_PORT = 18_000
_PORTS_PER_EXAMPLE = 1000
# Entries remove a guard at most 3 s after its last announcement.
_STOP_NOTICE_MS = 3000
_GuaranteesBySite = Mapping[str, list[dict[str, Any]]]


@dataclass(frozen=True, slots=True)
class Example:
    """An example deployment.

    Parameters
    ----------
    name : str
        ``'tavua'`` or ``'ravi'``.
    sites : tuple of SitePlan
        The data centres.
    records : tuple of dict
        Workspace and objective records.
    first_port : int
        First loopback port in the settings files.
    """

    name: str
    sites: tuple[SitePlan, ...]
    records: tuple[dict[str, Any], ...]
    first_port: int

    def plan(self) -> DeploymentPlan:
        """Return the settings that the example files contain."""
        return plan_deployment(
            self.sites,
            stop_notice_ms=_STOP_NOTICE_MS,
            first_port=self.first_port,
        )


def example_token(workspace: str) -> str:
    """Return the public token of a workspace in the examples."""
    return f'example-token-{workspace}'


def example_files(example: Example) -> dict[str, bytes]:
    """Return the content of each file of an example, keyed by path."""
    plan = example.plan()
    documents: dict[str, object] = {
        'records.json': example.records,
        **{f'entries/{each.entry_id}.json': each for each in plan.entries},
        **{f'guards/{each.guard_id}.json': each for each in plan.guards},
    }
    return {
        f'{example.name}/{path}': msgspec.json.format(
            msgspec.json.encode(document), indent=2
        )
        + b'\n'
        for path, document in documents.items()
    }


def _sites(
    names: tuple[str, ...], guards: tuple[int, ...], cores: int, memory_mb: int
) -> tuple[SitePlan, ...]:
    return tuple(
        SitePlan(name, _ENTRIES_PER_SITE, count, cores, memory_mb)
        for name, count in zip(names, guards, strict=True)
    )


def _workspace(
    name: str,
    classes: Mapping[str, tuple[int, int]],
    guarantees: _GuaranteesBySite,
    *,
    requests_per_second: int,
    max_accelerators: int,
) -> dict[str, Any]:
    digest = hashlib.sha256(example_token(name).encode()).hexdigest()
    return {
        'schema_version': _RECORD_SCHEMA_VERSION,
        'kind': 'workspace',
        'name': name,
        'spec': {
            'token_digests': [digest],
            'requests_per_second': requests_per_second,
            'burst': 2 * requests_per_second,
            'max_accelerators': max_accelerators,
            'classes': {
                class_name: {
                    'priority': priority,
                    'objective_ms': objective_ms,
                }
                for class_name, (priority, objective_ms) in classes.items()
            },
            'guarantees': dict(guarantees),
        },
    }


def _objective(
    workspace: str, request_class: str, target: float, latency_ms: int
) -> dict[str, Any]:
    return {
        'schema_version': _RECORD_SCHEMA_VERSION,
        'kind': 'objective',
        'name': f'{workspace}.{request_class}',
        'spec': {
            'workspace': workspace,
            'request_class': request_class,
            'target': target,
            'latency_ms': latency_ms,
            'window_days': 28,
        },
    }


def _worker_guarantee(count: int, *, urgent: bool = False) -> dict[str, Any]:
    return {'accelerators': count, 'proximity': 'worker', 'urgent': urgent}


def _rack_guarantee(count: int) -> dict[str, Any]:
    return {'accelerators': count, 'proximity': 'rack', 'urgent': False}


_TAVUA = Example(
    'tavua',
    _sites(('lautoka', 'nadi', 'ba'), (5, 3, 3), 130, 500_000),
    (
        _workspace(
            'resorts',
            {'checklist': (0, 1000), 'default': (10, 2500)},
            {
                'lautoka': [_worker_guarantee(8, urgent=True)],
                'nadi': [_worker_guarantee(4, urgent=True)],
                'ba': [_worker_guarantee(4, urgent=True)],
            },
            requests_per_second=50,
            max_accelerators=24,
        ),
        _workspace(
            'inspectorate',
            {'audit-bundle': (20, 10_000), 'default': (30, 2500)},
            {'lautoka': [_worker_guarantee(8)], 'nadi': [_worker_guarantee(8)]},
            requests_per_second=20,
            max_accelerators=24,
        ),
        _workspace(
            'head-office',
            {'photo-check': (90, 60_000), 'default': (80, 10_000)},
            {'lautoka': [_rack_guarantee(16)]},
            requests_per_second=20,
            max_accelerators=40,
        ),
        _workspace(
            'kitchens',
            {'checklist': (40, 2500), 'default': (50, 5000)},
            {'ba': [_worker_guarantee(4)]},
            requests_per_second=30,
            max_accelerators=16,
        ),
        _objective('resorts', 'checklist', 0.999, 1000),
        _objective('inspectorate', 'audit-bundle', 0.995, 10_000),
        _objective('head-office', 'photo-check', 0.9, 60_000),
        _objective('kitchens', 'checklist', 0.99, 2500),
    ),
    _FIRST_PORT,
)

_RAVI = Example(
    'ravi',
    _sites(('wheel-shop', 'depot', 'yard'), (5, 3, 3), 64, 256_000),
    (
        _workspace(
            'dispatch',
            {'dispatch-check': (0, 1000), 'default': (10, 2500)},
            {
                'wheel-shop': [_worker_guarantee(4, urgent=True)],
                'depot': [_worker_guarantee(4, urgent=True)],
                'yard': [_worker_guarantee(2, urgent=True)],
            },
            requests_per_second=20,
            max_accelerators=16,
        ),
        _workspace(
            'planning-north',
            {
                'tooling-quote': (20, 2500),
                'recut-plan': (30, 30_000),
                'default': (40, 10_000),
            },
            {'wheel-shop': [_rack_guarantee(16)]},
            requests_per_second=20,
            max_accelerators=40,
        ),
        _workspace(
            'planning-south',
            {
                'tooling-quote': (20, 2500),
                'recut-plan': (30, 30_000),
                'default': (40, 10_000),
            },
            {'depot': [_rack_guarantee(16)]},
            requests_per_second=20,
            max_accelerators=40,
        ),
        _workspace(
            'overnight',
            {'batch': (90, 60_000), 'default': (80, 60_000)},
            {'yard': [_rack_guarantee(16)]},
            requests_per_second=10,
            max_accelerators=40,
        ),
        _objective('dispatch', 'dispatch-check', 0.999, 1000),
        _objective('planning-north', 'tooling-quote', 0.999, 2500),
        _objective('planning-south', 'tooling-quote', 0.999, 2500),
        _objective('overnight', 'batch', 0.95, 60_000),
    ),
    _FIRST_PORT + _PORTS_PER_EXAMPLE,
)

EXAMPLES: Final[Mapping[str, Example]] = MappingProxyType(
    {example.name: example for example in (_TAVUA, _RAVI)}
)


def main() -> None:
    """Write the files of all examples to the directory given as argument."""
    root = Path(sys.argv[1] if len(sys.argv) > 1 else 'examples')
    for example in EXAMPLES.values():
        for path, content in example_files(example).items():
            file = root / path
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_bytes(content)


if __name__ == '__main__':
    main()
