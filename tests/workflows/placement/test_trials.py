"""Trials of excluded workers by single runs."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.site import Site

SMALL_STEP = StepSpec(1, 1000, 1000, 1, 2000)
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
    """Guards against idle workers that have recovered from failing all runs.

    Each of the others holds a small run.
    """
    site, excluded = excluding_site()
    site.submit('w', 'batch', WHOLE_WORKER_STEP)
    assert wait_for_order(site, 'w.0.0.0', 10_000) <= MAX_WAIT_MS
    assert site.minion_of('w.0.0.0') == excluded


def test_excluded_worker_is_tried_by_one_task_at_a_time():
    """A worker that still fails all runs must not use up many attempts."""
    site = Site(racks=('r1', 'r1', 'r3', 'r3', 'r2'))
    for job in ('a', 'b'):
        site.submit(
            job, 'normal', StepSpec(1, 1000, 1000, 1, 2000, constraint='r2')
        )
    site.decide()
    for job in ('a', 'b'):
        site.end(f'{job}.0.0.0', EndKind.failed)
        site.scheduler.cancel(job)
    # What is left on the others has too few accelerators or too little memory.
    site.submit(
        'x', 'normal', StepSpec(2, 1000, 1000, 6, 600_000, constraint='r1')
    )
    site.submit(
        'y', 'normal', StepSpec(2, 1000, 200_000, 1, 600_000, constraint='r3')
    )
    site.decide()
    for job in ('v', 'w'):
        site.submit(job, 'batch', StepSpec(1, 1000, 100_000, 3, 15_000))
    for _ in range(MAX_WAIT_MS // ROUND_MS):
        site.decide(advance_ms=ROUND_MS)
    assert len({'v.0.0.0', 'w.0.0.0'} & set(site.ordered_tasks())) == 1


def test_last_attempt_is_not_risked_on_a_worker_that_just_failed():
    """A job must not fail for good on a worker that is known to be faulty."""
    site, _ = excluding_site()
    site.submit('w', 'batch', WHOLE_WORKER_STEP)
    wait_for_order(site, 'w.0.0.0', 10_000)
    site.end('w.0.0.0', EndKind.failed)
    assert wait_for_order(site, 'w.0.0.0', 10_000) is None


def test_recovered_worker_does_not_idle_beside_workers_that_are_full():
    """A whole worker stood empty for 22 s while most of the others were used.

    Trials were made only while under half of the capacity was in use.
    """
    site, excluded = excluding_site()
    site.submit('y', 'normal', StepSpec(2, 1000, 1000, 6, 600_000))
    site.decide()
    site.submit('w', 'batch', WHOLE_WORKER_STEP)
    assert wait_for_order(site, 'w.0.0.0', 10_000) <= MAX_WAIT_MS
    assert site.minion_of('w.0.0.0') == excluded
