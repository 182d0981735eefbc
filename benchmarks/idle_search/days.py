"""Random days: machines, jobs with their true run times, and faults."""

from dataclasses import dataclass
from random import Random

from benchmarks.idle_search.faults import (
    FaultKind,
    LeaderAbsence,
    MachineFault,
    draw_faults,
)
from benchmarks.idle_search.job_mix import Arrival, JobMix
from benchmarks.idle_search.machine_specs import MachineSpec, draw_machines

__all__ = ('START_MS', 'Day', 'draw_day')

# The clock of a day starts at 1 s, since some rows use 0 for "never".
START_MS = 1000
# End of the arrivals; a day has one of these.
_LAST_ARRIVALS_MS = (15_000, 25_000, 45_000)
_JOB_COUNTS = (10, 40)


@dataclass(frozen=True, slots=True)
class Day:
    """A day that a seed and the kinds of its faults determine."""

    seed: int
    machines: tuple[MachineSpec, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[MachineFault, ...] = ()
    absences: tuple[LeaderAbsence, ...] = ()


def draw_day(seed: int, kinds: frozenset[FaultKind]) -> Day:
    """Return the day of a seed with these kinds of faults."""
    machines = draw_machines(seed, kinds)
    faults, absences = draw_faults(seed, kinds, len(machines))
    random = Random(f'{seed}/arrivals')
    last_ms = random.choice(_LAST_ARRIVALS_MS)
    times_ms = sorted(
        random.randint(START_MS, last_ms)
        for _ in range(random.randint(*_JOB_COUNTS))
    )
    mix = JobMix(seed, kinds, machines)
    arrivals = tuple(
        mix.draw(f'j{number}', at_ms) for number, at_ms in enumerate(times_ms)
    )
    return Day(seed, machines, arrivals, faults, absences)
