"""Bound on waits while no report lists any run."""

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.placement.test_wait_bound import WHOLE, ListingSite


def test_orders_that_start_nothing_do_not_count_as_work_on_an_idle_site():
    """An order without a run kept the other task waiting for its rack."""
    site = ListingSite(racks=('r1', 'r1', 'r1', 'r2'))
    step = StepSpec(2, **WHOLE, estimated_ms=60_000, data_rack='r2')
    site.unstarted.add('job.0.0.0')
    site.submit('job', 'batch', step)
    site.wait(6000)
    assert 'job.0.0.1' in site.ordered_tasks()
