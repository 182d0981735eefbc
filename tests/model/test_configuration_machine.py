"""Drives core/configuration.py with events of configuration.pml."""

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
each_process = strategies.sampled_from(PROCESSES)
KEYS = tuple(RecordKey('workspace', name) for name in ('a', 'b'))


class Configuration(RuleBasedStateMachine):
    """Three processes of a site copy an ordered log from each other."""

    @initialize()
    def start(self):
        self.accepted = []
        self.logs = [ConfigurationLog() for _ in PROCESSES]
        self.updates = []  # receiver, incarnation, update
        self.incarnations = [0 for _ in PROCESSES]
        self.served = [0 for _ in PROCESSES]
        self.in_force = 0

    @rule(key=strategies.sampled_from(KEYS), is_deletion=strategies.booleans())
    def accept_change(self, key, is_deletion):
        revision = len(self.accepted) + 1
        document = None if is_deletion else str(revision).encode()
        self.accepted.append(Change(revision, key, document))

    @rule(process=each_process, first=strategies.integers(-2, 3))
    def read_table(self, process, first):
        """The changes may overlap what the process holds, or leave a gap."""
        after = max(0, self.logs[process].revision - first)
        update = Changes(after, tuple(self.accepted[after:]))
        self._apply(process, update)

    @rule(sender=each_process, receiver=each_process)
    def send_copy(self, sender, receiver):
        update = self.logs[sender].update_since(self.logs[receiver].revision)
        incarnation = self.incarnations[receiver]
        self.updates.append((receiver, incarnation, update))

    @rule(sender=each_process, receiver=each_process)
    def send_snapshot(self, sender, receiver):
        incarnation = self.incarnations[receiver]
        update = self.logs[sender].snapshot
        self.updates.append((receiver, incarnation, update))

    @rule(
        position=strategies.integers(0, 20), is_repeated=strategies.booleans()
    )
    def deliver(self, position, is_repeated):
        """Updates arrive late, in any order and repeatedly."""
        if not self.updates:
            return
        chosen = position % len(self.updates)
        receiver, incarnation, update = self.updates[chosen]
        if not is_repeated:
            self.updates.pop(chosen)
        if incarnation == self.incarnations[receiver]:
            self._apply(receiver, update)

    @rule(process=each_process)
    def restart(self, process):
        self.logs[process] = ConfigurationLog()
        self.incarnations[process] += 1
        self.served[process] = 0

    def _apply(self, process, update):
        before = self.logs[process].revision
        moved = self.logs[process].apply(update)
        assert moved == (self.logs[process].revision > before)

    @invariant()
    def applied_never_falls(self):
        """G8: a process never applies a lower revision than it holds."""
        for process, log in enumerate(self.logs):
            assert log.revision >= self.served[process]
            self.served[process] = log.revision

    @invariant()
    def site_never_reverts(self):
        """G8: no process with a configuration is below what was in force."""
        revisions = [log.revision for log in self.logs]
        self.in_force = max(self.in_force, min(revisions))
        assert all(each >= self.in_force for each in revisions if each)

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
