"""Log entries about steps that wait, and about the health of workers."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.site import Site

WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)


def entries(site, event):
    return [entry.fields for entry in site.log_entries if entry.event == event]


def test_wait_names_the_room_that_is_reserved():
    """A full site must be distinguishable from one whose room is reserved."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.submit('s', 'batch', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide(advance_ms=100)
    wait = next(
        fields for fields in entries(site, 'step_waits') if fields['job'] == 's'
    )
    assert (
        wait['fit_total'],
        wait['fit_free'],
        wait['fit_unreserved'],
    ) == (2, 1, 0)


def test_wait_is_logged_once_per_interval():
    """A step that waits must not write a line in every round."""
    site = Site(racks=('r1',))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('y', 'normal', WHOLE_WORKER_STEP)
    for _ in range(9):
        site.decide(advance_ms=500)
    assert len(entries(site, 'step_waits')) == 1


def test_wait_names_what_decides_the_order():
    """It must be visible why one of two waiting jobs comes first."""
    site = Site(racks=('r1',))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('y', 'batch', StepSpec(2, 1000, 1000, 8, 4000))
    site.decide(advance_ms=100)
    [wait] = entries(site, 'step_waits')
    # Two tasks of one core and eight accelerators, which count as 64 cores.
    assert (wait['priority'], wait['work_left_core_s']) == (2, 520)


def test_order_tells_of_earlier_failures():
    """A retry on the worker that failed must be visible in the logs."""
    site = Site(racks=('r1',))
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    first, retry = entries(site, 'run_ordered')
    assert not first['is_avoided_worker']
    assert retry['is_avoided_worker']
    assert (retry['task_failures'], retry['worker_failed_jobs']) == (1, 1)


def test_success_that_clears_failures_is_logged():
    """It must be visible why a worker with failures counts as sound again."""
    site = Site(racks=('r1',))
    site.submit('a')
    site.submit('b')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    site.decide(advance_ms=300)
    site.end('a.0.0.0')
    (cleared,) = entries(site, 'worker_failures_cleared')
    assert cleared['failed_jobs'] == 1
    assert cleared['run_age_ms'] == 300
