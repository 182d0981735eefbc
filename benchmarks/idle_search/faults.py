"""Faults of a day: which there are, whom they affect, and when."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

__all__ = (
    'FaultKind',
    'LeaderAbsence',
    'MachineFault',
    'Return',
    'draw_faults',
)


class FaultKind(StrEnum):
    """What can be switched on for a day besides its plain load."""

    # ---- properties of the jobs ----
    # Data on a rack, and gangs that want one rack.
    racks = 'racks'
    # Limits on the tasks of a step per worker.
    apart = 'apart'
    # Labels that only some workers have.
    constraints = 'constraints'
    # ---- faults of machines ----
    # All runs on a worker fail for a time.
    bad = 'bad'
    # A worker has less room for a time.
    shrunk = 'shrunk'
    # A machine loses power for good, or returns as another incarnation.
    lost = 'lost'
    # All machines lose power and return, and the leader is replaced.
    blackout = 'blackout'
    # The same after some seconds without a leader or, on half of the days,
    # without the store, so that ends of runs are known to the machines only.
    outage = 'outage'
    # A minion crashes and restarts.
    crash = 'crash'
    # The reports of a guard stop while its minion runs on.
    silent = 'silent'
    # Reports and orders are delayed.
    late = 'late'
    # A minion answers no start for a time.
    refusing = 'refusing'
    # A guard restarts.
    guard_restart = 'guard_restart'
    # ---- faults of the leader ----
    # The leader is replaced once.
    leader = 'leader'
    # The leader is replaced several times in a row.
    leaders = 'leaders'


class Return(StrEnum):
    """How a machine returns after it has lost power."""

    never = 'never'
    same_node = 'same_node'
    other_node = 'other_node'


@dataclass(frozen=True, slots=True)
class MachineFault:
    """A fault of one machine.

    Parameters
    ----------
    machine : int
        Number of the machine.
    start_ms, end_ms : int
        Time of the day; for ``lost`` and ``crash`` the end is the return.
    size : float
        Share of the capacity that is left (``shrunk``), longest delay in
        milliseconds (``late``), or 1 if orders still arrive (``silent``).
    returns : Return
        How a lost machine returns.
    """

    kind: FaultKind
    machine: int
    start_ms: int
    end_ms: int
    size: float = 0
    returns: Return = Return.never


@dataclass(frozen=True, slots=True)
class LeaderAbsence:
    """Time without a leader; a new one loads the stored rows at its end."""

    start_ms: int
    end_ms: int


# Faults begin from the first arrivals until the last jobs run.
_FIRST_MS = 2000
_LAST_MS = 38_000
_ABSENCE_MS = (500, 3000)
# Time without a leader before all power is lost, and until the next one.
_OUTAGE_MS = (4000, 11_000)
_STORE_OUTAGE_SHARE = 0.5
_ALL_MACHINES_SHARE = 0.15
_TOGETHER_SHARE = 0.5
_MAX_LEADERS_IN_A_ROW = 4
# Shortest and longest duration.
_DURATIONS_MS = {
    FaultKind.bad: (2000, 20_000),
    FaultKind.shrunk: (5000, 30_000),
    FaultKind.lost: (1000, 10_000),
    FaultKind.crash: (500, 4000),
    FaultKind.silent: (2000, 8000),
    FaultKind.late: (2000, 12_000),
    FaultKind.refusing: (2000, 12_000),
    FaultKind.guard_restart: (1000, 3000),
}
_SHRUNK_SHARE = (0.2, 0.8)
_DELAY_MS = (500, 3000)


def draw_faults(
    seed: int, kinds: frozenset[FaultKind], machines: int
) -> tuple[tuple[MachineFault, ...], tuple[LeaderAbsence, ...]]:
    """Return the faults of a day, in the order of their begin.

    Each kind has draws of its own, so that the faults of one kind stay the
    same whichever others are switched on.
    """
    faults: list[MachineFault] = []
    absences: list[LeaderAbsence] = []
    for kind in sorted(kinds):
        random = Random(f'{seed}/{kind}')
        if kind in _DURATIONS_MS:
            faults.extend(_draw_machine_faults(random, kind, machines))
        elif kind is FaultKind.blackout:
            blackout = _draw_absence(random)
            absences.append(blackout)
            faults.extend(_draw_power_loss_of_all(random, blackout, machines))
        elif kind is FaultKind.outage:
            outage = _draw_outage(random)
            absences.append(outage)
            faults.extend(_draw_outage_faults(random, outage, machines))
        elif kind in {FaultKind.leader, FaultKind.leaders}:
            in_a_row = kind is FaultKind.leaders
            absences.extend(_draw_absences(random, in_a_row=in_a_row))
    return (
        tuple(sorted(faults, key=lambda fault: fault.start_ms)),
        tuple(sorted(absences, key=lambda absence: absence.start_ms)),
    )


def _draw_machine_faults(
    random: Random, kind: FaultKind, machines: int
) -> list[MachineFault]:
    most = machines if random.random() < _ALL_MACHINES_SHARE else machines // 3
    if kind is FaultKind.lost:
        most = machines // 3
    chosen = random.sample(range(machines), random.randint(1, max(1, most)))
    together_ms = random.randint(_FIRST_MS, _LAST_MS)
    are_together = random.random() < _TOGETHER_SHARE
    return [
        _draw_machine_fault(
            random,
            kind,
            machine,
            together_ms
            if are_together
            else random.randint(_FIRST_MS, _LAST_MS),
        )
        for machine in chosen
    ]


def _draw_machine_fault(
    random: Random, kind: FaultKind, machine: int, start_ms: int
) -> MachineFault:
    end_ms = start_ms + random.randint(*_DURATIONS_MS[kind])
    returns = Return.never
    size: float = 0
    if kind is FaultKind.lost:
        returns = random.choice(tuple(Return))
    elif kind is FaultKind.shrunk:
        size = random.uniform(*_SHRUNK_SHARE)
    elif kind is FaultKind.late:
        size = random.randint(*_DELAY_MS)
    elif kind is FaultKind.silent:
        size = random.randint(0, 1)
    return MachineFault(kind, machine, start_ms, end_ms, size, returns)


def _draw_power_loss_of_all(
    random: Random, blackout: LeaderAbsence, machines: int
) -> list[MachineFault]:
    return [
        MachineFault(
            FaultKind.lost,
            machine,
            blackout.start_ms,
            blackout.start_ms + random.randint(*_ABSENCE_MS),
            returns=Return.same_node,
        )
        for machine in range(machines)
    ]


def _draw_outage(random: Random) -> LeaderAbsence:
    start_ms = random.randint(_FIRST_MS, _LAST_MS)
    return LeaderAbsence(start_ms, start_ms + random.randint(*_OUTAGE_MS))


def _draw_outage_faults(
    random: Random, outage: LeaderAbsence, machines: int
) -> list[MachineFault]:
    # The next leader starts up to the longest duration after the power is lost.
    lost_ms = outage.end_ms - random.randint(*_ABSENCE_MS)
    blackout = LeaderAbsence(lost_ms, outage.end_ms)
    faults = _draw_power_loss_of_all(random, blackout, machines)
    if random.random() < _STORE_OUTAGE_SHARE:
        faults.extend(
            MachineFault(FaultKind.silent, machine, outage.start_ms, lost_ms)
            for machine in range(machines)
        )
    return faults


def _draw_absence(random: Random) -> LeaderAbsence:
    start_ms = random.randint(_FIRST_MS, _LAST_MS)
    return LeaderAbsence(start_ms, start_ms + random.randint(*_ABSENCE_MS))


def _draw_absences(random: Random, *, in_a_row: bool) -> list[LeaderAbsence]:
    absences = [_draw_absence(random)]
    if in_a_row:
        for _ in range(random.randint(1, _MAX_LEADERS_IN_A_ROW - 1)):
            start_ms = absences[-1].end_ms + random.randint(*_ABSENCE_MS)
            end_ms = start_ms + random.randint(*_ABSENCE_MS)
            absences.append(LeaderAbsence(start_ms, end_ms))
    return absences
