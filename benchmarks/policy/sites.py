"""The data centres of the two deployments and their guarantees.

Each deployment has 11 workers in three data centres, with 8 accelerators to a
worker and up to three workers to a rack. The first data centre has two
adjacent racks, so that it can hold gangs larger than a rack.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from benchmarks.policy.trace import Site
from dragonflynotch.core.events import Guarantee
from dragonflynotch.core.shapes import Proximity, Shape
from dragonflynotch.core.topology import Worker

__all__ = ('SITES',)

_ACCELERATORS_PER_WORKER: Final = 8
_WORKERS_PER_RACK: Final = 3


@dataclass(frozen=True, slots=True)
class _WorkerResources:
    cores: int
    memory_mb: int


def _worker(name: str, index: int, resources: _WorkerResources) -> Worker:
    rack = index // _WORKERS_PER_RACK
    return Worker(
        f'{name}-w{index}',
        f'{name}-r{rack}',
        rack,
        _ACCELERATORS_PER_WORKER,
        resources.cores,
        resources.memory_mb,
    )


def _site(
    name: str,
    workers: int,
    resources: _WorkerResources,
    guarantees: tuple[Guarantee, ...],
) -> Site:
    return Site(
        name,
        tuple(_worker(name, index, resources) for index in range(workers)),
        guarantees,
    )


def _worker_guarantee(
    workspace: str, count: int, *, is_urgent: bool = False
) -> Guarantee:
    return Guarantee(workspace, Shape(count, Proximity.worker), is_urgent)


def _rack_guarantee(workspace: str, count: int) -> Guarantee:
    return Guarantee(workspace, Shape(count, Proximity.rack))


_TAVUA_WORKER = _WorkerResources(cores=130, memory_mb=500_000)
_RAVI_WORKER = _WorkerResources(cores=64, memory_mb=256_000)

SITES: Final[Mapping[str, tuple[Site, ...]]] = MappingProxyType(
    {
        'tavua': (
            _site(
                'lautoka',
                5,
                _TAVUA_WORKER,
                (
                    _worker_guarantee('resorts', 8, is_urgent=True),
                    _worker_guarantee('inspectorate', 8),
                    _rack_guarantee('head-office', 16),
                ),
            ),
            _site(
                'nadi',
                3,
                _TAVUA_WORKER,
                (
                    _worker_guarantee('resorts', 4, is_urgent=True),
                    _worker_guarantee('inspectorate', 8),
                ),
            ),
            _site(
                'ba',
                3,
                _TAVUA_WORKER,
                (
                    _worker_guarantee('resorts', 4, is_urgent=True),
                    _worker_guarantee('kitchens', 4),
                ),
            ),
        ),
        'ravi': (
            _site(
                'wheel-shop',
                5,
                _RAVI_WORKER,
                (
                    _worker_guarantee('dispatch', 4, is_urgent=True),
                    _rack_guarantee('planning-north', 16),
                ),
            ),
            _site(
                'depot',
                3,
                _RAVI_WORKER,
                (
                    _worker_guarantee('dispatch', 4, is_urgent=True),
                    _rack_guarantee('planning-south', 16),
                ),
            ),
            _site(
                'yard',
                3,
                _RAVI_WORKER,
                (
                    _worker_guarantee('dispatch', 2, is_urgent=True),
                    _rack_guarantee('overnight', 16),
                ),
            ),
        ),
    }
)
