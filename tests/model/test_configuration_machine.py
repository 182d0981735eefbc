"""Tests core/configuration.py with the events of configuration.pml."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dragonflynotch.core.configuration import (
    Change,
    Changes,
    ConfigurationLog,
    RecordKey,
)

PROCESSES = range(3)
processes = strategies.sampled_from(PROCESSES)
KEYS = tuple(RecordKey('workspace', name) for name in ('a', 'b'))


class Configuration(RuleBasedStateMachine):
    """Three processes of a data centre copy an ordered log from each other."""

    @initialize()
    def start(self):
        self.accepted = []
        self.logs = [ConfigurationLog() for _ in PROCESSES]
        self.in_flight = []  # (receiver, incarnation, update)
        self.incarnations = [0 for _ in PROCESSES]
        self.last_revisions = [0 for _ in PROCESSES]
        self.common_revision = 0

    @rule(key=strategies.sampled_from(KEYS), is_deletion=strategies.booleans())
    def accept_change(self, key, is_deletion):
        revision = len(self.accepted) + 1
        document = None if is_deletion else str(revision).encode()
        self.accepted.append(Change(revision, key, document))

    @rule(process=processes, overlap=strategies.integers(-2, 3))
    def read_table(self, process, overlap):
        """Apply changes that may overlap the log or leave a gap after it."""
        after = max(0, self.logs[process].revision - overlap)
        update = Changes(after, tuple(self.accepted[after:]))
        self._apply(process, update)

    @rule(sender=processes, receiver=processes)
    def send_copy(self, sender, receiver):
        update = self.logs[sender].update_since(self.logs[receiver].revision)
        incarnation = self.incarnations[receiver]
        self.in_flight.append((receiver, incarnation, update))

    @rule(sender=processes, receiver=processes)
    def send_snapshot(self, sender, receiver):
        incarnation = self.incarnations[receiver]
        update = self.logs[sender].snapshot
        self.in_flight.append((receiver, incarnation, update))

    @rule(
        position=strategies.integers(0, 20), is_repeated=strategies.booleans()
    )
    def deliver(self, position, is_repeated):
        """Deliver any update in flight; it may be late or repeated."""
        if not self.in_flight:
            return
        chosen = position % len(self.in_flight)
        receiver, incarnation, update = self.in_flight[chosen]
        if not is_repeated:
            self.in_flight.pop(chosen)
        if incarnation == self.incarnations[receiver]:
            self._apply(receiver, update)

    @rule(process=processes)
    def restart(self, process):
        self.logs[process] = ConfigurationLog()
        self.incarnations[process] += 1
        self.last_revisions[process] = 0

    def _apply(self, process, update):
        before = self.logs[process].revision
        has_advanced = self.logs[process].apply(update)
        assert has_advanced == (self.logs[process].revision > before)

    @invariant()
    def applied_never_falls(self):
        """G8: the revision of a process only falls when it restarts."""
        for process, log in enumerate(self.logs):
            assert log.revision >= self.last_revisions[process]
            self.last_revisions[process] = log.revision

    @invariant()
    def site_never_reverts(self):
        """G8: a configured process keeps any revision that all once had."""
        revisions = [log.revision for log in self.logs]
        self.common_revision = max(self.common_revision, min(revisions))
        assert all(
            revision >= self.common_revision
            for revision in revisions
            if revision
        )

    @invariant()
    def content_follows_revision(self):
        """G8: two processes at one revision hold the same records."""
        for log in self.logs:
            expected = {}
            for change in self.accepted[: log.revision]:
                expected.pop(change.key, None)
                if change.document is not None:
                    expected[change.key] = (change.document, change.revision)
            held = {
                key: (record.document, record.revision)
                for key, record in log.snapshot.records.items()
            }
            assert held == expected


TestConfiguration = Configuration.TestCase
TestConfiguration.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
