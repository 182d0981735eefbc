"""The data centres of the two deployments and their guarantees.

Each deployment has 11 workers with 8 accelerators, three to a rack, in three
data centres. The first has two adjacent racks, so that one data centre can
hold gangs of more than a rack.
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

_ACCELERATORS: Final = 8
_WORKERS_IN_RACK: Final = 3


@dataclass(frozen=True, slots=True)
class _Machine:
    cores: int
    memory_mb: int


def _worker(name: str, index: int, machine: _Machine) -> Worker:
    rack = index // _WORKERS_IN_RACK
    return Worker(
        f'{name}-w{index}',
        f'{name}-r{rack}',
        rack,
        _ACCELERATORS,
        machine.cores,
        machine.memory_mb,
    )


def _site(
    name: str,
    workers: int,
    machine: _Machine,
    guarantees: tuple[Guarantee, ...],
) -> Site:
    return Site(
        name,
        tuple(_worker(name, index, machine) for index in range(workers)),
        guarantees,
    )


def _on_worker(
    workspace: str, count: int, *, is_urgent: bool = False
) -> Guarantee:
    return Guarantee(workspace, Shape(count, Proximity.worker), is_urgent)


def _in_rack(workspace: str, count: int) -> Guarantee:
    return Guarantee(workspace, Shape(count, Proximity.rack))


_TAVUA = _Machine(cores=130, memory_mb=500_000)
_RAVI = _Machine(cores=64, memory_mb=256_000)

SITES: Final[Mapping[str, tuple[Site, ...]]] = MappingProxyType(
    {
        'tavua': (
            _site(
                'lautoka',
                5,
                _TAVUA,
                (
                    _on_worker('resorts', 8, is_urgent=True),
                    _on_worker('inspectorate', 8),
                    _in_rack('head-office', 16),
                ),
            ),
            _site(
                'nadi',
                3,
                _TAVUA,
                (
                    _on_worker('resorts', 4, is_urgent=True),
                    _on_worker('inspectorate', 8),
                ),
            ),
            _site(
                'ba',
                3,
                _TAVUA,
                (
                    _on_worker('resorts', 4, is_urgent=True),
                    _on_worker('kitchens', 4),
                ),
            ),
        ),
        'ravi': (
            _site(
                'wheel-shop',
                5,
                _RAVI,
                (
                    _on_worker('dispatch', 4, is_urgent=True),
                    _in_rack('planning-north', 16),
                ),
            ),
            _site(
                'depot',
                3,
                _RAVI,
                (
                    _on_worker('dispatch', 4, is_urgent=True),
                    _in_rack('planning-south', 16),
                ),
            ),
            _site(
                'yard',
                3,
                _RAVI,
                (
                    _on_worker('dispatch', 2, is_urgent=True),
                    _in_rack('overnight', 16),
                ),
            ),
        ),
    }
)
