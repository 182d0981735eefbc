"""Schedule of faults that a seed determines."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = ('Fault', 'FaultKind', 'plan_faults')

# Faults begin after the start-up of the deployment. None begins in the last
# seconds of the load, so that the recovery is seen.
_FIRST_FAULT_S = 2.0
_FAULT_FREE_END_S = 3.0
_FAULTS_PER_S = 0.3
_SERIES_SHARE = 0.35
_MAX_SERIES_LENGTH = 3


class FaultKind(StrEnum):
    """Faults, and changes that the deployment must handle."""

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
    crashing_job_submitted = 'crashing_job_submitted'


# Drawn apart from the other kinds, whose draws of a seed stay as they are.
_CRASHING_JOBS_PER_S = 0.08
_DRAWN_KINDS = tuple(
    kind for kind in FaultKind if kind is not FaultKind.crashing_job_submitted
)
# Shortest and longest duration; other kinds take no time.
_DURATION_RANGES_S = {
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
_INSTANTANEOUS_S = (0, 0)


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault.

    Parameters
    ----------
    begin_s, duration_s : float
        Begin in seconds of the load, and duration.
    target : int
        Number of the process, minion or link, modulo how many there are.
    """

    begin_s: float
    kind: FaultKind
    duration_s: float
    target: int

    @property
    def end_s(self) -> float:
        """Time at which the fault is over."""
        return self.begin_s + self.duration_s

    def __str__(self) -> str:
        """Return the line to print."""
        return (
            f'{self.begin_s:6.2f} s {self.kind} '
            f'for {self.duration_s:.2f} s, target {self.target}'
        )


def plan_faults(seed: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of a run in the order of their begin.

    Some kinds are repeated in a series; all faults may overlap.
    """
    random = Random(seed)
    last_begin_s = max(_FIRST_FAULT_S, length_s - _FAULT_FREE_END_S)
    faults: list[Fault] = []
    for _ in range(max(1, int(length_s * _FAULTS_PER_S))):
        kind = random.choice(_DRAWN_KINDS)
        repeats = 1
        if random.random() < _SERIES_SHARE:
            repeats = random.randint(2, _MAX_SERIES_LENGTH)
        begin_s = random.uniform(_FIRST_FAULT_S, last_begin_s)
        for _ in range(repeats):
            duration_s = random.uniform(
                *_DURATION_RANGES_S.get(kind, _INSTANTANEOUS_S)
            )
            if begin_s > last_begin_s:
                break
            faults.append(
                Fault(
                    round(begin_s, 2),
                    kind,
                    round(duration_s, 2),
                    random.randrange(6),
                )
            )
            begin_s += duration_s + random.uniform(0.1, 1.5)
    faults.extend(_plan_crashing_jobs(seed, length_s, last_begin_s))
    return tuple(sorted(faults))


def _plan_crashing_jobs(
    seed: int, length_s: float, last_begin_s: float
) -> list[Fault]:
    random = Random(f'crashing jobs of {seed}')
    return [
        Fault(
            round(random.uniform(_FIRST_FAULT_S, last_begin_s), 2),
            FaultKind.crashing_job_submitted,
            0,
            number,
        )
        for number in range(max(1, int(length_s * _CRASHING_JOBS_PER_S)))
    ]
