"""Runs that become slow are moved to sound workers."""

from itertools import accumulate

import pytest
from msgspec.structs import replace

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunningTask
from tests.workflows.site import Site, entries

TASK = 'a.0.0.0'
WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}
PLAIN = StepSpec(1, **WHOLE, estimated_ms=20_000)
RESUMABLE = StepSpec(1, **WHOLE, estimated_ms=20_000, has_checkpoints=True)
# Percent done in each second: 20 s in all, then ten times slower.
BEFORE = [5] * 4
SLOW = [1, 0] * 8


def _run(spec, percents, racks=('r1', 'r1')):
    """Run job ``a`` and report the sum of its percents each second."""
    site = Site(racks=racks)
    site.submit('a', 'normal', spec)
    site.decide()
    _work(site, accumulate(percents))
    return site


def _work(site, percents):
    for percent in percents:
        site.now_ms += 1000
        site.report_all()
        for (minion, task), order in list(site.orders.items()):
            node = site.node_of(task)
            running = [RunningTask(task, order.run, '', percent)]
            assert site.incarnations[node][0] == minion
            site.report(node, running=running)
        site.decide()


def _stops(site):
    return [
        entry
        for entry in entries(site, 'stop_ordered')
        if entry['reason'] == 'straggler'
    ]


def test_slow_run_moves_once_its_end_is_reported():
    """A job waited for the one run that was on a worker ten times slower.

    The task must not start elsewhere before the end of the run is certain.
    """
    site = _run(RESUMABLE, BEFORE + SLOW)
    (stop,) = _stops(site)
    assert stop['expected_here_ms'] > 2 * stop['expected_elsewhere_ms']
    assert stop['slow_ms'] >= stop['move_ms']
    (minion,) = [minion for minion, task in site.orders if task == TASK]
    site.end(TASK, EndKind.stopped)
    assert site.ordered_tasks() == [TASK]
    assert site.minion_of(TASK) != minion
    assert site.progress['a'].tasks[0].failures == 0


def test_run_without_checkpoint_stays():
    """A move threw away more work than it saved before the fault had passed."""
    assert not _stops(_run(PLAIN, BEFORE + SLOW))


def test_run_stays_while_the_fault_is_short():
    """A stop must not cost more than a fault that passes at once."""
    assert not _stops(_run(RESUMABLE, BEFORE + SLOW[:2] + [5] * 10))


def test_long_task_is_not_moved():
    """A task that takes five times its estimate does so on each worker."""
    assert not _stops(_run(RESUMABLE, [1] * 60))


def test_slow_run_stays_without_room_on_a_sound_worker():
    """A stop without room elsewhere would only lose the work."""
    assert not _stops(_run(RESUMABLE, BEFORE + SLOW, racks=('r1',)))


def test_task_is_not_moved_twice_in_short_succession():
    """A task must not lose its work again and again."""
    site = _run(RESUMABLE, BEFORE + SLOW[:5])
    site.end(TASK, EndKind.stopped)
    _work(site, [20, 21, 21, 22, 22, 23])
    assert len(_stops(site)) == 1


@pytest.mark.parametrize(
    'fields',
    [
        {'is_gang': True},
        {'is_long_running': True},
        {'max_unavailable': 0},
    ],
    ids=['gang', 'long running', 'limited stops'],
)
def test_run_that_must_not_be_stopped_stays(fields):
    """A gang must not break, and a service must not lose a task."""
    spec = replace(RESUMABLE, **fields)
    assert not _stops(_run(spec, BEFORE + SLOW))


def test_new_work_prefers_a_worker_that_is_not_slow():
    """A repeat was placed on the fullest worker, which was slow."""
    small = StepSpec(1, 1000, 1000, 1, 20_000)
    site = _run(small, BEFORE + SLOW[:4])
    site.submit('b', 'normal', small)
    site.decide()
    assert site.minion_of('b.0.0.0') != site.minion_of(TASK)


def test_worker_stays_slow_after_its_runs_have_moved():
    """The next run started on the worker from which one had just moved."""
    small = StepSpec(1, 1000, 1000, 1, 20_000, has_checkpoints=True)
    site = _run(small, BEFORE + SLOW[:8], racks=('r1', 'r1', 'r1'))
    slow = site.minion_of(TASK)
    site.end(TASK, EndKind.stopped)
    _work(site, range(25, 100, 5))
    site.submit('b', 'normal', StepSpec(8, 1000, 1000, 1, 20_000))
    site.decide()
    assert slow not in {minion for minion, _ in site.orders}


def test_worker_of_a_gang_member_that_waits_is_not_slow():
    """A member stays at 100 percent until the slowest has caught up."""
    gang = StepSpec(1, 1000, 1000, 1, 20_000, is_gang=True)
    site = _run(gang, [25, 25, 25, 25, 0, 0, 0, 0])
    site.submit('b', 'normal', StepSpec(1, 1000, 1000, 1, 20_000))
    site.decide()
    assert site.minion_of('b.0.0.0') == site.minion_of(TASK)
