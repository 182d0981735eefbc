"""Log entries about steps that wait, and about the health of workers."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind, RunningTask
from tests.workflows.site import Site, entries

WHOLE_WORKER_STEP = StepSpec(1, 8000, 8000, 8, 4000)


def last_wait(site, job_id):
    waits = entries(site, 'step_waits')
    return [fields for fields in waits if fields['job'] == job_id][-1]


def test_wait_names_the_room_that_is_reserved():
    """A full site must be distinguishable from one whose room is reserved."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.submit('s', 'batch', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide(advance_ms=100)
    wait = last_wait(site, 's')
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


def test_wait_names_who_holds_the_room_and_which_runs_are_late():
    """Room that lies idle for a gang must lead to the run that delays it."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('g', 'normal', StepSpec(2, 1000, 1000, 8, 9000, is_gang=True))
    site.decide(advance_ms=1_000)
    site.submit('s', 'batch', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide(advance_ms=100)
    (holder,) = last_wait(site, 's')['reserved_by']
    # The run began 1100 ms ago.
    assert (holder.job, holder.step, holder.starts_in_ms) == ('g', 0, 2_900)
    assert holder.late_tasks == []
    for _ in range(6):
        site.decide(advance_ms=1_000)
    (holder,) = last_wait(site, 's')['reserved_by']
    assert holder.starts_in_ms == 300
    assert (holder.late_runs, holder.late_tasks) == (1, ['x.0.0.0'])


def test_wait_names_no_holder_if_the_room_is_in_use():
    """Reservations must not be blamed for a site that is full."""
    site = Site(racks=('r1',))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    for job in ('y', 'z'):
        site.submit(job, 'normal', WHOLE_WORKER_STEP)
    site.decide(advance_ms=100)
    assert last_wait(site, 'z')['reserved_by'] == []


def test_wait_names_the_room_that_a_retry_avoids():
    """Avoided room must be distinguishable from room that is in use."""
    site = Site(racks=('r1', 'r1'))
    site.submit('x', 'normal', WHOLE_WORKER_STEP)
    site.decide()
    site.submit('a')
    site.decide()
    site.end('a.0.0.0', EndKind.failed)
    wait = last_wait(site, 'a')
    assert (wait['fit_avoided'], wait['fit_unreserved']) == (1, 0)


def test_wait_names_the_room_of_excluded_workers():
    """Room on workers with failures must be distinguishable from no room."""
    site = Site(racks=('r1', 'r1', 'r1'))
    for job in ('a', 'b'):
        site.submit(job)
        site.decide()
    faulty = site.minion_of('a.0.0.0')
    assert site.minion_of('b.0.0.0') == faulty
    for job in ('a', 'b'):
        site.end(f'{job}.0.0.0', EndKind.failed)
    site.submit('x', 'normal', StepSpec(4, 8000, 8000, 8, 4000))
    site.decide(advance_ms=100)
    wait = last_wait(site, 'x')
    assert (wait['excluded_workers'], wait['fit_excluded']) == (1, 1)


def test_wait_names_the_room_beside_recent_starts():
    """Room beside a suspected task must be distinguishable from no room."""
    site = Site(racks=('r1',))
    site.submit('bad', 'normal', StepSpec(1, 1000, 1000, 1, 60_000))
    site.decide()
    site.crash('n0')
    site.submit('good')
    site.decide()
    wait = last_wait(site, 'good')
    assert (wait['fit_kept_apart'], wait['fit_unreserved']) == (1, 1)


def test_lost_run_is_logged_with_its_last_progress():
    """It must be visible whether a run that is repeated may have ended."""
    site = Site(racks=('r1',))
    site.submit('a')
    site.decide()
    [node] = site.incarnations
    site.report(node, running=[RunningTask('a.0.0.0', 1, '', 90)])
    site.now_ms += 700
    site.report(node, is_live=False)
    site.decide()
    [lost] = entries(site, 'run_lost')
    assert (lost['run'], lost['percent'], lost['progress_age_ms']) == (
        1,
        90,
        700,
    )
    assert site.scheduler.status.lost_runs == 1
