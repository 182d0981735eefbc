"""Choice of the overdue job that comes before other work."""

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.running_site import RunningSite

WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}


def test_overdue_job_that_cannot_start_holds_up_no_other():
    """An overdue job starved behind one that waits for a worker in use."""
    site = RunningSite(racks=('r1', 'r2'))
    full = StepSpec(1, **WHOLE, estimated_ms=100_000, constraint='r2')
    site.submit('full', 'normal', full)
    site.submit('busy', 'normal', StepSpec(8, 1000, 1000, 1, 1000))
    site.decide()
    whole = StepSpec(1, **WHOLE, estimated_ms=1000, constraint='r2')
    site.submit('blocked', 'normal', whole)
    site.advance(250)
    site.submit('job', 'batch', StepSpec(1, **WHOLE, estimated_ms=1000))

    def submit_small():
        small = StepSpec(3, 1000, 1000, 1, 1000)
        site.submit(f's{site.now_ms}', 'normal', small)

    site.advance(60_000, submit_small)
    assert 'job.0.0.0' in site.starts
