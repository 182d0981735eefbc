"""Trials of excluded workers by single runs."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.site import Site

SMALL_STEP = StepSpec(1, 1000, 1000, 1, 2000)
LONG_STEP = StepSpec(1, 1000, 1000, 1, 600_000)
WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)
MAX_WAIT_MS = 3_000
ROUND_MS = 250


def excluding_site():
    """Return a site and its excluded worker; the others run a small task each.

    A task of a whole worker only fits on the excluded one.
    """
    site = Site(racks=('r1', 'r1', 'r1'))
    for job in ('a', 'b'):
        site.submit(job, 'normal', SMALL_STEP)
    site.decide()
    excluded = site.minion_of('a.0.0.0')
    for job in ('a', 'b'):
        site.end(f'{job}.0.0.0', EndKind.failed)
        site.scheduler.cancel(job)
    site.submit(
        'x', 'batch', StepSpec(2, 1000, 1000, 1, 600_000, max_per_worker=1)
    )
    site.decide()
    return site, excluded


def wait_for_order(site, task, limit_ms):
    """Return the time until a task is ordered, or ``None``."""
    for waited_ms in range(0, limit_ms, ROUND_MS):
        if task in site.ordered_tasks():
            return waited_ms
        site.decide(advance_ms=ROUND_MS)
    return None


def test_worker_that_recovered_does_not_idle_beside_waiting_work():
    """Guards against LOST: nothing ran although an excluded worker was sound.

    Workers failed for a time, and each of the others held a small run.
    """
    site, excluded = excluding_site()
    site.submit('w', 'batch', WHOLE_WORKER_STEP)
    assert wait_for_order(site, 'w.0.0.0', 10_000) <= MAX_WAIT_MS
    assert site.minion_of('w.0.0.0') == excluded


def test_faulty_worker_is_tried_by_one_task_at_a_time():
    """A worker that still fails all runs must not use up many attempts."""
    site, excluded = excluding_site()
    for number in range(4):
        site.submit(f'w{number}', 'batch', StepSpec(1, 8000, 8000, 4, 4000))
    site.submit('f', 'batch', StepSpec(2, 1000, 1000, 4, 600_000))
    site.decide(advance_ms=MAX_WAIT_MS)
    on_excluded = [task for minion, task in site.orders if minion == excluded]
    assert len(on_excluded) <= 1


def test_last_attempt_is_not_risked_on_a_worker_that_just_failed():
    """A job must not fail for good on a worker that is known to be faulty."""
    site, _ = excluding_site()
    site.submit('w', 'batch', WHOLE_WORKER_STEP)
    wait_for_order(site, 'w.0.0.0', 10_000)
    site.end('w.0.0.0', EndKind.failed)
    assert wait_for_order(site, 'w.0.0.0', 10_000) is None
