"""Limits per worker of a step in the room that is planned for it."""

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.running_site import RunningSite

WHOLE = {'millicores': 1000, 'memory_mb': 1000, 'accelerators': 8}


def test_run_is_not_stopped_for_a_step_at_its_limit_per_worker():
    """A run was stopped and started again every 2 s, for no step.

    The waiting task may not run beside the other task of its step, but the
    plan counted the room there.
    """
    site = RunningSite(racks=('r2', 'r2', 'r1', 'r1', 'r1', 'r1'))
    full = StepSpec(1, **WHOLE, estimated_ms=60_000, constraint='r2')
    site.submit('full', 'normal', full)
    site.decide()
    spread = StepSpec(
        2, 1000, 1000, 4, 30_000, max_per_worker=1, constraint='r2'
    )
    site.submit('spread', 'normal', spread)
    site.decide()
    site.submit(
        'job', 'batch', StepSpec(1, 1000, 1000, 4, 50_000, constraint='r2')
    )
    site.advance(10_000)
    assert len(site.starts['job.0.0.0']) == 1
