"""Workers on which runs become slow get new work last."""

from itertools import accumulate

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunningTask
from tests.workflows.site import Site

TASK = 'a.0.0.0'
SMALL = StepSpec(1, 1000, 1000, 1, 20_000)
# Percent done in each second: 20 s in all, then ten times slower.
SOUND = [5] * 4
SLOW = [1, 0] * 4


def _run(spec, percents):
    """Run job ``a`` and report the sum of its percents each second."""
    site = Site(racks=('r1', 'r1', 'r1'))
    site.submit('a', 'normal', spec)
    site.decide()
    for percent in accumulate(percents):
        site.now_ms += 1000
        site.report_all()
        running = [RunningTask(TASK, 1, '', percent)]
        site.report(site.node_of(TASK), running=running)
        site.decide()
    return site


def _minion_of_next(site):
    site.submit('b', 'normal', SMALL)
    site.decide()
    return site.minion_of('b.0.0.0')


def test_new_work_prefers_a_worker_that_is_not_slow():
    """A repeat was placed on the fullest worker, which was slow."""
    site = _run(SMALL, SOUND + SLOW)
    assert _minion_of_next(site) != site.minion_of(TASK)


def test_worker_stays_slow_after_its_runs_have_ended():
    """The next run started on the worker, where nothing showed its pace."""
    site = _run(SMALL, SOUND + SLOW)
    slow = site.minion_of(TASK)
    site.end(TASK, EndKind.done)
    assert _minion_of_next(site) != slow


def test_worker_of_a_long_task_is_not_slow():
    """A task that takes five times its estimate does so on each worker."""
    site = _run(SMALL, [1] * 60)
    assert _minion_of_next(site) == site.minion_of(TASK)


def test_worker_of_a_gang_member_that_waits_is_not_slow():
    """A member stays at 100 percent until the slowest has caught up."""
    gang = StepSpec(1, 1000, 1000, 1, 20_000, is_gang=True)
    site = _run(gang, [25, 25, 25, 25, 0, 0, 0, 0])
    assert _minion_of_next(site) == site.minion_of(TASK)
