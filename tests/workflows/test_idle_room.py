"""States other than reservations in which a job waits beside idle room."""

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.records import EndKind
from tests.workflows.running_site import MAX_IDLE_MS, ROUND_MS, RunningSite

SMALL_STEP = StepSpec(1, 1000, 1000, 1, 15_000)


def longest_idle_ms(site, job_id, total_ms, on_round=None):
    """Longest time without a run of a job while under half is in use."""
    times = [0]

    def measure():
        if on_round is not None:
            on_round()
        is_idle = site.share_in_use() < 0.5 and not site.has_runs(job_id)
        times.append(times[-1] + ROUND_MS if is_idle else 0)

    site.advance(total_ms, measure)
    return max(times)


def test_retry_does_not_wait_for_workers_that_are_too_full():
    """A task avoided the only worker with room for it for 15 s."""
    site = RunningSite(racks=('r1',) * 4)
    site.submit('job', 'batch', StepSpec(1, 1000, 1000, 4, 15_000))
    site.decide()
    for number in range(3):
        site.submit(f'o{number}', 'normal', StepSpec(1, 1000, 1000, 5, 60_000))
    site.decide()
    site.end('job.0.0.0', EndKind.failed)
    assert longest_idle_ms(site, 'job', 10_000) <= MAX_IDLE_MS


def test_job_does_not_wait_for_the_only_worker_that_may_run_it():
    """An excluded worker was the only one that met the constraint."""
    site = RunningSite(racks=('r1', 'r1', 'r1', 'r2'))
    step = StepSpec(1, 1000, 1000, 1, 2000, constraint='r2')
    for job_id in ('a', 'b'):
        site.submit(job_id, 'normal', step)
    site.decide()
    for job_id in ('a', 'b'):
        site.end(f'{job_id}.0.0.0', EndKind.failed)
        site.scheduler.cancel(job_id)
    long_step = StepSpec(1, 1000, 1000, 1, 15_000, constraint='r2')
    site.submit('job', 'normal', long_step)
    assert longest_idle_ms(site, 'job', 10_000) <= MAX_IDLE_MS


def test_suspected_task_does_not_wait_for_a_worker_without_starts():
    """Short runs that start on each worker keep a suspect waiting."""
    site = RunningSite(racks=('r1',) * 4)
    numbers = iter(range(1000))
    short = StepSpec(4, 1000, 1000, 1, 500, max_per_worker=1)

    def submit_short():
        site.submit(f's{next(numbers)}', 'normal', short)

    site.submit('job', 'batch', SMALL_STEP)
    site.decide()
    site.advance(1000, submit_short)
    submit_short()
    site.crash(
        site.node_of('job.0.0.0'), ages={'job.0.0.0': 10}, restart_ms=250
    )
    idle_ms = longest_idle_ms(site, 'job', 12_000, submit_short)
    assert idle_ms <= MAX_IDLE_MS


def test_task_does_not_wait_for_a_full_data_rack():
    """A task waits for the rack of its data for its whole estimate."""
    site = RunningSite(racks=('r1', 'r1', 'r1', 'r2'))
    site.submit(
        'x', 'normal', StepSpec(1, 1000, 1000, 8, 60_000, constraint='r2')
    )
    site.decide()
    step = StepSpec(1, 2800, 7392, 1, 15_200, data_rack='r2')
    site.submit('job', 'batch', step)
    assert longest_idle_ms(site, 'job', 20_000) <= MAX_IDLE_MS


def test_gang_does_not_wait_for_one_rack():
    """A gang waits for one rack for its whole estimate."""
    racks = ('r1', 'r2', 'r3', 'r4')
    site = RunningSite(racks=2 * racks)
    for rack in racks:
        site.submit(
            rack, 'normal', StepSpec(1, 1000, 1000, 1, 60_000, constraint=rack)
        )
    site.decide()
    step = StepSpec(2, 2800, 7392, 8, 15_200, is_gang=True, wants_one_rack=True)
    site.submit('job', 'normal', step)
    assert longest_idle_ms(site, 'job', 20_000) <= MAX_IDLE_MS


def test_long_running_task_starts_beside_a_gang_that_waits():
    """A task that lasts is kept from idle room, and is no backfill."""
    site = RunningSite(racks=('r1',) * 4)
    site.submit(
        'late', 'normal', StepSpec(1, 1000, 1000, 8, 4000), run_ms=40_000
    )
    site.decide()
    site.submit(
        'gang', 'normal', StepSpec(4, 1000, 1000, 8, 9000, is_gang=True)
    )
    step = StepSpec(1, 1000, 1000, 1, 15_000, is_long_running=True)
    site.advance(5000)
    site.submit('job', 'batch', step)
    assert longest_idle_ms(site, 'job', 6000) <= MAX_IDLE_MS


def test_siblings_do_not_wait_for_a_task_that_avoids_a_worker():
    """A step stopped at its first task that fits on no worker."""
    site = RunningSite(racks=('r1',) * 4)
    for number in range(3):
        site.submit(f'o{number}', 'normal', StepSpec(1, 1000, 1000, 5, 60_000))
    site.decide()
    site.submit('job', 'batch', StepSpec(4, 1000, 1000, 4, 15_000))
    site.decide()
    site.end('job.0.0.0', EndKind.failed)
    site.end('job.0.0.1', EndKind.stopped)
    assert longest_idle_ms(site, 'job', 6000) <= MAX_IDLE_MS
