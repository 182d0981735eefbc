"""Draws the machines of a day."""

from dataclasses import dataclass
from random import Random

from benchmarks.idle_search.faults import FaultKind
from dragonflynotch.workflows.resources import Resources

__all__ = ('LABEL', 'MachineSpec', 'draw_machines')

# Label that only some machines have.
LABEL = 'x'
_LABELLED_SHARE = 0.4
_MACHINE_COUNTS = (6, 11)
_MACHINES_PER_RACK = 3
_FULL_SIZE = Resources(32_000, 65_536, 8)
_HALF_SIZE = Resources(16_000, 32_768, 4)
# Share of machines of half the size; 0 on most days.
_HALF_SIZE_SHARES = (0, 0, 0.3)


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """A machine at the start of the day."""

    rack: str
    capacity: Resources
    labels: tuple[str, ...] = ()


def draw_machines(
    seed: int, kinds: frozenset[FaultKind]
) -> tuple[MachineSpec, ...]:
    """Return the machines of a seed."""
    random = Random(f'{seed}/machines')
    half_size_share = random.choice(_HALF_SIZE_SHARES)
    machines = []
    for number in range(random.randint(*_MACHINE_COUNTS)):
        rack = number // _MACHINES_PER_RACK if FaultKind.racks in kinds else 0
        is_half_size = random.random() < half_size_share
        is_labelled = random.random() < _LABELLED_SHARE
        machines.append(
            MachineSpec(
                f'r{rack}',
                _HALF_SIZE if is_half_size else _FULL_SIZE,
                (LABEL,) if is_labelled else (),
            )
        )
    return tuple(machines)
