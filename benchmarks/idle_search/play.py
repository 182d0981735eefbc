"""Plays a day: machines, store and leader, judged at every step of time."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.idle_search.days import START_MS, Day
from benchmarks.idle_search.end_audit import LostEnd
from benchmarks.idle_search.fleet import Fleet
from benchmarks.idle_search.job_mix import Arrival
from benchmarks.idle_search.leader import Leader
from benchmarks.idle_search.minions import RunBook
from benchmarks.idle_search.oracle import Oracle
from benchmarks.idle_search.store import Store
from benchmarks.idle_search.waits import Wait
from dragonflynotch.workflows.decision_log_buffer import DecisionLogEntry
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.runs.order_registry import OrderKey

__all__ = ('DayResult', 'GangWait', 'Violation', 'play_day')

# The longest wait that the rule allows.
MAX_WAIT_MS = 3000
STEP_MS = 50
_ROUND_MS = 250
_DAY_MS = 80_000
# A gang counts as one of the whole fleet from this share of it on.
_WHOLE_FLEET_SHARE = 0.75

EntryListener = Callable[[int, DecisionLogEntry], None]


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a run has broken."""

    at_ms: int
    rule: str
    task: str


@dataclass(frozen=True, slots=True)
class GangWait:
    """How long a gang that needs most of the fleet waited for its first run."""

    step: str
    wait_ms: int
    has_started: bool


@dataclass(slots=True)
class DayResult:
    """What was found on a day.

    Parameters
    ----------
    findings : list of Wait
        Waits that break the rule.
    held : list of Wait
        Waits that only the hold of runs on lost machines made so long.
    lost_ends : list of LostEnd
        Ends of runs as done that were never recorded.
    repeated_ms : Counter
        Time at work of runs whose task was done, by task.
    longest_open_end_ms : int
        Longest time from an end to its record or its loss.
    """

    seed: int
    findings: list[Wait] = field(default_factory=list)
    held: list[Wait] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    gang_waits: list[GangWait] = field(default_factory=list)
    longest_counted_ms: int = 0
    lost_ends: list[LostEnd] = field(default_factory=list)
    repeated_ms: Counter[str] = field(default_factory=Counter)
    longest_open_end_ms: int = 0


def _ignore_entry(_now_ms: int, _entry: DecisionLogEntry) -> None:
    """Discard a log entry; used if nobody follows the day."""


def play_day(
    day: Day,
    max_wait_ms: int = MAX_WAIT_MS,
    on_entry: EntryListener = _ignore_entry,
) -> DayResult:
    """Play a day and return what was found.

    Parameters
    ----------
    on_entry : callable
        Receives the time and each entry of the leader's decision log.
    """
    return _Play(day, max_wait_ms, on_entry).run()


class _Play:
    def __init__(
        self, day: Day, max_wait_ms: int, on_entry: EntryListener
    ) -> None:
        self._day = day
        self._max_wait_ms = max_wait_ms
        self._on_entry = on_entry
        self._now_ms = START_MS
        self._result = DayResult(day.seed)
        arrivals = {arrival.job_id: arrival for arrival in day.arrivals}
        self._arrivals = deque(day.arrivals)
        self._cancellations = sorted(
            (arrival.cancelled_ms, arrival.job_id)
            for arrival in day.arrivals
            if arrival.cancelled_ms is not None
        )
        self._absences = deque(day.absences)
        self._book = RunBook(
            day.seed, arrivals, self._on_violation, self._is_turn
        )
        self._store = Store(self._on_order)
        self._fleet = Fleet(day, self._store, self._book)
        self._oracle = Oracle(self._fleet, self._store, self._book, 0)
        self._leader: Leader | None = Leader(self._store, self._now_ms)

    def run(self) -> DayResult:
        while self._now_ms < _DAY_MS and (
            self._arrivals or self._oracle.is_watching()
        ):
            self._advance()
            self._now_ms += STEP_MS
        self._oracle.finish()
        self._collect_waits()
        self._collect_gang_waits()
        audit = self._oracle.audit
        self._result.lost_ends = audit.lost
        self._result.repeated_ms = audit.repeated_ms
        self._result.longest_open_end_ms = audit.longest_open_ms
        return self._result

    def _advance(self) -> None:
        self._submit_due()
        self._fleet.advance(self._now_ms)
        self._replace_leader()
        if self._leader is not None:
            self._leader.read(self._now_ms)
            if not self._now_ms % _ROUND_MS:
                self._log(self._leader.run_round(self._now_ms))
        self._oracle.judge(
            self._now_ms, STEP_MS, has_leader=self._leader is not None
        )

    def _submit_due(self) -> None:
        while self._arrivals and self._arrivals[0].at_ms <= self._now_ms:
            arrival = self._arrivals.popleft()
            self._store.jobs[arrival.job_id] = arrival.spec
            self._oracle.add(arrival)
        while self._cancellations and self._cancellations[0][0] <= self._now_ms:
            self._store.cancelled.add(self._cancellations.pop(0)[1])

    def _replace_leader(self) -> None:
        while self._absences and self._absences[0].end_ms <= self._now_ms:
            self._absences.popleft()
        if self._absences and self._absences[0].start_ms <= self._now_ms:
            self._leader = None
        elif self._leader is None:
            self._leader = Leader(self._store, self._now_ms)

    def _on_order(self, key: OrderKey, order: Order | None) -> None:
        self._fleet.send_order(self._now_ms, key, order)

    def _on_violation(self, rule: str, task: str) -> None:
        self._result.violations.append(Violation(self._now_ms, rule, task))

    def _is_turn(self, task: str) -> bool:
        return self._oracle.is_turn(task)

    def _log(self, entries: list[DecisionLogEntry]) -> None:
        for entry in entries:
            self._on_entry(self._now_ms, entry)
            if entry.event == 'job_idle':
                self._oracle.note_idle_cause(
                    str(entry.fields['job']), str(entry.fields['cause'])
                )

    # ---- results -----------------------------------------------------------

    def _collect_waits(self) -> None:
        for wait in self._oracle.waits:
            counted_ms = wait.counted_ms
            longest_ms = max(self._result.longest_counted_ms, counted_ms)
            self._result.longest_counted_ms = longest_ms
            if counted_ms > self._max_wait_ms:
                self._result.findings.append(wait)
            elif wait.times_ms.total() > self._max_wait_ms:
                self._result.held.append(wait)

    def _collect_gang_waits(self) -> None:
        accelerators = sum(
            machine.capacity.accelerators for machine in self._day.machines
        )
        for arrival in self._day.arrivals:
            if _accelerators(arrival) < _WHOLE_FLEET_SHARE * accelerators:
                continue
            if arrival.cancelled_ms is not None or arrival.is_poison:
                continue
            step = f'{arrival.job_id}.0.0'
            start_ms = self._book.gang_starts_ms.get(step)
            self._result.gang_waits.append(
                GangWait(
                    step,
                    (start_ms or self._now_ms) - arrival.at_ms,
                    start_ms is not None,
                )
            )


def _accelerators(arrival: Arrival) -> int:
    step = arrival.spec.steps[0]
    return step.accelerators * step.count if step.is_gang else 0
