"""Claims on workers for tasks that start apart from others."""

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.running_site import MAX_IDLE_MS, RunningSite

SHORT_STEP = StepSpec(2, 1000, 1000, 1, 500, max_per_worker=1)
LONG_STEP = StepSpec(1, 1000, 1000, 1, 60_000)


def site_with_suspect():
    """Two workers on which runs start all the time, and a suspected task."""
    site = RunningSite(racks=('r1', 'r1'))
    site.submit('job', 'batch', LONG_STEP)
    site.decide()
    site.crash(
        site.node_of('job.0.0.0'), ages={'job.0.0.0': 10}, restart_ms=250
    )
    return site


def submit_short(site):
    site.submit(f's{site.now_ms}', 'normal', SHORT_STEP)


def test_other_workers_are_used_while_one_is_claimed():
    """A claim must not stop the starts of other jobs."""
    site = site_with_suspect()
    site.advance(MAX_IDLE_MS, lambda: submit_short(site))
    assert 'job.0.0.0' in site.starts
    rounds = [task for task in site.starts if task.startswith('s')]
    assert len(rounds) >= MAX_IDLE_MS // 250


def test_claim_ends_with_the_wait_of_its_job():
    """A worker must not be kept free for a job that was cancelled."""
    site = site_with_suspect()
    site.advance(1500, lambda: submit_short(site))
    site.scheduler.cancel('job')
    site.advance(500)
    site.submit('both', 'normal', SHORT_STEP)
    site.decide()
    assert {'both.0.0.0', 'both.0.0.1'} <= set(site.ordered_tasks())
