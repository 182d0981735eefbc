"""Stand-in for a minion."""

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.control.minions import StartRequest
from dragonflynotch.testing.minion_model import MinionModel, RunLog

TASK = 'j.0.0.0'
REQUEST = StartRequest(TASK, 1, 'text', '', 10_000_000)


class AdvancingLog(RunLog):
    """Log that ends the runs that are due before it records a start."""

    def record_start(self, task, run, minion_id):
        self.model.advance()
        super().record_start(task, run, minion_id)


def test_run_that_ends_at_its_start_is_not_active():
    """The end of a run must not be recorded before its start.

    The soak test with seed 1 took such a run for one that went on for ever.
    """
    log = AdvancingLog()
    log.model = MinionModel('m1', ManualSteadyClock(), log, lambda _: 0)
    log.model.start(REQUEST, 1)
    log.model.advance()
    assert not log.active_minions[TASK]


def test_task_that_crashes_minions_ends_all_runs():
    """A crash must end the runs of other tasks without a report."""
    log = RunLog()
    model = MinionModel('m1', ManualSteadyClock(), log)
    model.start(StartRequest('other.0.0.0', 1, 'text', '', 10_000_000), 1)
    log.crashing_tasks.add(TASK)
    model.start(REQUEST, 1)
    assert model.is_crashed
    assert not any(log.active_minions.values())
    assert not model.poll(1, 0, 0).running
