"""Tests the handover and the attempt history with events of handover.pml."""

from dataclasses import dataclass, field
from datetime import timedelta

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.handover import (
    AskGuard,
    AttemptDone,
    AttemptNeverRun,
    AttemptNotRemembered,
    ClaimAttempt,
    GuardNotReachable,
    IncarnationEnded,
    LedgerRow,
    MarkUnknown,
    StoredResult,
    UseAnswer,
    attempt_id,
    claimed_row,
    decide_on_resolution,
    decide_on_row,
)
from dragonflynotch.guard.attempt_history import (
    AttemptHistory,
    HistoryLimits,
    RecordedAnswer,
    RecordedRefusal,
)

KEY = 'ledger/resort/checklist'
BODY_DIGEST = 'digest'
DEADLINE = timedelta(minutes=10)
CLOCK_TOLERANCE = timedelta(minutes=4)
LIMITS = HistoryLimits(max_entries=4)
RESULT = StoredResult('answer', 'minion-1', b'answer')
GUARDS = ('guard-0', 'guard-1')

entry_numbers = strategies.sampled_from((0, 1))
guard_ids = strategies.sampled_from(GUARDS)


@dataclass
class Guard:
    """A guard whose requests finish as soon as they are delivered."""

    incarnation: int = 1
    history: AttemptHistory = field(
        default_factory=lambda: AttemptHistory(LIMITS)
    )


@dataclass
class Entry:
    """The state of one call at an entry.

    The version is that of the ledger row when the entry last read or wrote it.
    """

    step: str = 'idle'
    row: LedgerRow | None = None
    version: int = 0


class Handover(RuleBasedStateMachine):
    """Two entries and two guards process calls with the same key."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.guards = {name: Guard() for name in GUARDS}
        self.entries = (Entry(), Entry())
        self.row = None
        self.version = 0
        self.in_flight = []
        self.runs = 0

    def _claim(self, entry, attempt, guard_id):
        incarnation = self.guards[guard_id].incarnation
        entry.step = 'claiming'
        entry.row = claimed_row(
            BODY_DIGEST, attempt, (guard_id, incarnation), self.clock.now()
        )

    def _commit(self, entry, row):
        if entry.version != self.version:
            return False
        self.row = row
        self.version += 1
        entry.version = self.version
        return True

    @rule(
        number=entry_numbers,
        guard_id=guard_ids,
        is_answer_lost=strategies.sampled_from((False, False, True)),
    )
    def make_step(self, number, guard_id, is_answer_lost):
        """Advance an entry by one step, whose answer may be lost."""
        entry = self.entries[number]
        match entry.step:
            case 'idle':
                self._read_row(entry, guard_id)
            case 'claiming':
                self._write_claim(entry, is_answer_lost)
            case 'holding':
                self._hand_over(entry)
            case 'resolving':
                self._resolve(entry, guard_id, is_answer_lost)

    def _read_row(self, entry, guard_id):
        entry.version = self.version
        match decide_on_row(self.row, BODY_DIGEST):
            case ClaimAttempt(attempt):
                self._claim(entry, attempt, guard_id)
            case AskGuard():
                entry.step, entry.row = 'resolving', self.row

    def _write_claim(self, entry, is_answer_lost):
        # An entry that gets no answer to its write does not use the claim.
        is_written = self._commit(entry, entry.row)
        is_held = is_written and not is_answer_lost
        entry.step = 'holding' if is_held else 'idle'

    def _hand_over(self, entry):
        entry.step = 'resolving'
        expires_at = entry.row.claimed_at + DEADLINE
        self.in_flight.append((entry.row, expires_at))

    @precondition(lambda self: self.in_flight)
    @rule(position=strategies.integers(0, 3))
    def deliver(self, position):
        row, expires_at = self.in_flight.pop(position % len(self.in_flight))
        guard = self.guards[row.guard_id]
        now = self.clock.now()
        attempt = attempt_id(KEY, row)
        if (
            guard.incarnation == row.incarnation
            and guard.history.find(attempt, now) is None
            and now <= expires_at + CLOCK_TOLERANCE
        ):
            self.runs += 1
            guard.history.record(attempt, RecordedAnswer('', b'answer'), now)

    def _ask(self, row):
        guard, now = self.guards[row.guard_id], self.clock.now()
        if guard.incarnation != row.incarnation:
            return IncarnationEnded()
        attempt = attempt_id(KEY, row)
        found = guard.history.find(attempt, now)
        if isinstance(found, RecordedAnswer):
            return AttemptDone(found.body)
        if found is None:
            if not guard.history.is_complete(now):
                return AttemptNotRemembered()
            if not guard.history.can_keep_refusals():
                return AttemptNotRemembered()
            refusal = RecordedRefusal('never', is_handover_pending=True)
            guard.history.record(attempt, refusal, now)
        return AttemptNeverRun()

    def _resolve(self, entry, guard_id, is_answer_lost):
        reply = GuardNotReachable() if is_answer_lost else self._ask(entry.row)
        entry.step = 'idle'
        match decide_on_resolution(entry.row, reply, self.clock.now()):
            case UseAnswer():
                self._commit(entry, entry.row.as_done(RESULT))
            case MarkUnknown():
                self._commit(entry, entry.row.as_unknown())
            case ClaimAttempt(attempt):
                self._claim(entry, attempt, guard_id)

    @rule(guard_id=guard_ids)
    def restart_guard(self, guard_id):
        incarnation = self.guards[guard_id].incarnation + 1
        self.guards[guard_id] = Guard(incarnation)

    @rule(guard_id=guard_ids)
    def fill_history(self, guard_id):
        now = self.clock.now()
        for number in range(LIMITS.max_entries):
            unrelated_attempt = f'{now.isoformat()}-{number}'
            answer = RecordedAnswer('', b'')
            self.guards[guard_id].history.record(unrelated_attempt, answer, now)

    @rule(minutes=strategies.sampled_from((1, 5)))
    def pass_time(self, minutes):
        self.clock.advance(timedelta(minutes=minutes))

    @invariant()
    def at_most_once(self):
        """G5: the request runs at most once."""
        assert self.runs <= 1


TestHandover = Handover.TestCase
TestHandover.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=50, deadline=None
)
