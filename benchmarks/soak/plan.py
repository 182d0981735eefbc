"""Schedule of faults, drawn from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = ('Fault', 'FaultKind', 'plan_faults')

# Faults begin after the deployment has settled, and end before the last jobs.
_FIRST_S = 2.0
_QUIET_END_S = 3.0
_FAULTS_PER_S = 0.3
_SERIES_SHARE = 0.35
_LONGEST_SERIES = 3


class FaultKind(StrEnum):
    """What goes wrong, or changes."""

    entry_killed = 'entry_killed'
    entry_stopped = 'entry_stopped'
    entry_frozen = 'entry_frozen'
    guard_killed = 'guard_killed'
    guard_stopped = 'guard_stopped'
    guard_frozen = 'guard_frozen'
    power_lost = 'power_lost'
    store_down = 'store_down'
    store_answers_lost = 'store_answers_lost'
    store_writes_late = 'store_writes_late'
    store_slow = 'store_slow'
    store_history_lost = 'store_history_lost'
    link_delayed = 'link_delayed'
    link_without_requests = 'link_without_requests'
    link_without_answers = 'link_without_answers'
    link_silent = 'link_silent'
    link_reset = 'link_reset'
    callers_reset = 'callers_reset'
    minion_crashed = 'minion_crashed'
    minion_starts_late = 'minion_starts_late'
    minion_answers_lost = 'minion_answers_lost'
    minion_failing = 'minion_failing'
    minion_stuck = 'minion_stuck'
    configuration_changed = 'configuration_changed'
    jobs_cancelled = 'jobs_cancelled'
    jobs_burst = 'jobs_burst'


# Shortest and longest duration in seconds; zero for what happens at once.
_DURATIONS = {
    FaultKind.entry_killed: (0.2, 3.0),
    FaultKind.entry_stopped: (0.2, 2.0),
    FaultKind.entry_frozen: (0.5, 6.0),
    FaultKind.guard_killed: (0.2, 8.0),
    FaultKind.guard_stopped: (0.2, 4.0),
    FaultKind.guard_frozen: (0.5, 8.0),
    FaultKind.power_lost: (0.5, 3.0),
    FaultKind.store_down: (0.5, 8.0),
    FaultKind.store_answers_lost: (0.5, 4.0),
    FaultKind.store_writes_late: (0.5, 4.0),
    FaultKind.store_slow: (1.0, 5.0),
    FaultKind.link_delayed: (1.0, 5.0),
    FaultKind.link_without_requests: (0.5, 7.0),
    FaultKind.link_without_answers: (0.5, 7.0),
    FaultKind.link_silent: (0.5, 8.0),
    FaultKind.minion_crashed: (0.5, 3.0),
    FaultKind.minion_starts_late: (0.5, 4.0),
    FaultKind.minion_answers_lost: (0.5, 4.0),
    FaultKind.minion_failing: (1.0, 4.0),
    FaultKind.minion_stuck: (1.0, 4.0),
}
_AT_ONCE = (0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault.

    Parameters
    ----------
    at_s, for_s : float
        Begin, from the start of the load, and duration.
    target : int
        Which process, minion or link; counted modulo their number.
    """

    at_s: float
    kind: FaultKind
    for_s: float
    target: int

    @property
    def end_s(self) -> float:
        """When the fault is over."""
        return self.at_s + self.for_s

    def __str__(self) -> str:
        """Return the line that is printed."""
        return (
            f'{self.at_s:6.2f} s {self.kind} '
            f'for {self.for_s:.2f} s, target {self.target}'
        )


def plan_faults(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run, in the order of their begin.

    Some come alone, some in series of one kind; any of them may overlap.
    """
    random = Random(seed)
    last_s = max(_FIRST_S, length_s - _QUIET_END_S)
    faults: list[Fault] = []
    for _ in range(max(1, int(length_s * _FAULTS_PER_S))):
        kind = random.choice(tuple(FaultKind))
        repeats = 1
        if random.random() < _SERIES_SHARE:
            repeats = random.randint(2, _LONGEST_SERIES)
        at_s = random.uniform(_FIRST_S, last_s)
        for _ in range(repeats):
            for_s = random.uniform(*_DURATIONS.get(kind, _AT_ONCE))
            if at_s > last_s:
                break
            faults.append(
                Fault(
                    round(at_s, 2), kind, round(for_s, 2), random.randrange(6)
                )
            )
            at_s += for_s + random.uniform(0.1, 1.5)
    return tuple(sorted(faults))
