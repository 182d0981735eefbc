"""Tests core/ownership.py with the events of ownership.pml."""

from dataclasses import replace
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
from dragonflynotch.core.ownership import (
    Candidate,
    LeaseObservation,
    LeaseRow,
    OwnershipPolicy,
    RenewalState,
    decide_grant,
    may_renew_task_leases,
    may_take_over,
    observe_lease,
    receive_grant,
    record_activity,
    record_row_renewal,
    record_table_outage,
    takeover_row,
)

POLICY = OwnershipPolicy()
OWNER, CANDIDATE = 'entry-a', 'entry-b'
FENCE = 7


class Ownership(RuleBasedStateMachine):
    """Entry A owns the partition; entry B may take it over."""

    @initialize(uptime_steps=strategies.sampled_from((0, 3)))
    def start(self, uptime_steps) -> None:
        self.clock = ManualClock()
        now = self.clock.now()
        self.row = LeaseRow(OWNER, FENCE, now, (CANDIDATE,))
        self.version = 1
        self.renewal_state = RenewalState(
            FENCE, now, now, other_candidates=frozenset({CANDIDATE})
        )
        self.renewal = None  # (sent at, expected version)
        self.is_renewal_applied = False
        self.grant_requested_at = None
        self.is_granted = False
        self.takeover = None  # (row, expected version)
        self.start_candidate()
        for _ in range(uptime_steps):
            self.renew_at_once()
            self.pass_time(4)

    def start_candidate(self) -> None:
        """Start entry B without memory of earlier grants or takeover writes."""
        self.observation: LeaseObservation | None = None
        self.candidate = Candidate(CANDIDATE, self.clock.now())
        self.is_competing = False

    @property
    def is_superseded(self) -> bool:
        return self.row.fence > FENCE

    @rule(seconds=strategies.sampled_from((0.5, 1, 2, 4.5)))
    def pass_time(self, seconds):
        self.renewal_state = record_activity(
            self.renewal_state, self.clock.now(), POLICY
        )
        self.clock.advance(timedelta(seconds=seconds))

    @precondition(lambda self: self.renewal is None)
    @rule()
    def send_renewal(self):
        self.renewal = (self.clock.now(), self.version)

    @precondition(lambda self: self.renewal and not self.is_renewal_applied)
    @rule()
    def apply_renewal(self):
        if self.renewal[1] == self.version and not self.is_superseded:
            self.version += 1
            self.is_renewal_applied = True
        else:
            self.renewal = None

    @precondition(lambda self: self.is_renewal_applied)
    @rule()
    def receive_renewal_answer(self):
        self.renewal_state = record_row_renewal(
            self.renewal_state, self.renewal[0], self.clock.now()
        )
        self.renewal, self.is_renewal_applied = None, False

    @rule()
    def lose_table(self):
        self.renewal_state = record_table_outage(self.renewal_state)

    @precondition(lambda self: self.grant_requested_at is None)
    @rule()
    def ask_for_grant(self):
        self.grant_requested_at = self.clock.now()

    @precondition(lambda self: self.grant_requested_at and not self.is_granted)
    @rule()
    def give_grant(self):
        grant = decide_grant(
            self.observation,
            OWNER,
            FENCE,
            self.clock.now(),
            POLICY,
            is_competing=self.is_competing,
        )
        if grant is not None:
            self.candidate = replace(self.candidate, grant=grant)
            self.is_granted = True

    @precondition(lambda self: self.is_granted)
    @rule()
    def receive_grant(self):
        self.renewal_state = receive_grant(
            self.renewal_state, CANDIDATE, self.grant_requested_at, POLICY
        )
        self.grant_requested_at, self.is_granted = None, False

    @rule()
    def read_row(self):
        self.observation = observe_lease(
            self.observation, self.row, self.version, self.clock.now()
        )
        if self.observation.has_changed:
            self.is_competing = self.is_superseded

    @precondition(lambda self: self.observation and self.takeover is None)
    @rule()
    def send_takeover(self):
        now = self.clock.now()
        if may_take_over(self.observation, self.candidate, now, POLICY):
            row = takeover_row(self.observation, CANDIDATE, (), now, POLICY)
            self.takeover = (row, self.observation.version)
            self.is_competing = True
            self.observation = replace(self.observation, has_changed=False)

    @precondition(lambda self: self.takeover)
    @rule()
    def apply_takeover(self):
        row, expected = self.takeover
        self.takeover = None
        if expected == self.version:
            self.row = row
            self.version += 1

    @precondition(lambda self: self.renewal is None)
    @rule()
    def renew_at_once(self):
        """Complete a renewal, which random single steps rarely do."""
        self.send_renewal()
        self.apply_renewal()
        if self.is_renewal_applied:
            self.receive_renewal_answer()
        self.read_row()

    @precondition(lambda self: self.grant_requested_at is None)
    @rule(delay_s=strategies.sampled_from((0, 0, 4)))
    def exchange_grant(self, delay_s):
        """Exchange a grant in a table outage; the reply may be slow."""
        self.lose_table()
        self.ask_for_grant()
        self.give_grant()
        self.pass_time(delay_s)
        if self.is_granted:
            self.receive_grant()

    @precondition(lambda self: self.takeover is None)
    @rule()
    def take_over_at_once(self):
        self.read_row()
        self.send_takeover()
        if self.takeover:
            self.apply_takeover()

    @rule()
    def restart_candidate(self):
        self.start_candidate()

    @invariant()
    def one_renewer(self):
        """G1, G2: an owner that was superseded may not renew task leases."""
        if self.is_superseded:
            now = self.clock.now()
            assert not may_renew_task_leases(self.renewal_state, now, POLICY)


TestOwnership = Ownership.TestCase
TestOwnership.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=50, deadline=None
)
