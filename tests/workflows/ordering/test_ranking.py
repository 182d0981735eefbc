"""Tests of the order in which waiting steps get resources."""

import pytest

from dragonflynotch.workflows.jobs import StepSpec
from tests.workflows.site import Site


@pytest.fixture
def site():
    """Return a site whose only worker is taken by guaranteed work."""
    site = Site(racks=('r1',))
    site.submit('x', 'urgent', StepSpec(1, 1000, 1000, 8, 60_000))
    site.decide()
    return site


def test_least_work_comes_first_under_overload(site):
    """One large urgent job must not make many small ones late.

    By the latest start it came first, since it had waited a little longer.
    """
    site.submit('large', 'urgent', StepSpec(1, 1000, 1000, 8, 5000))
    site.decide(advance_ms=10)
    for number in range(8):
        site.submit(f's{number}', 'urgent', StepSpec(1, 1000, 1000, 1, 5000))
    site.decide(advance_ms=10)
    site.end('x.0.0.0')
    assert 'large.0.0.0' not in site.ordered_tasks()
    assert len(site.ordered_tasks()) == 8


def test_urgent_queue_comes_before_smaller_jobs_of_others(site):
    """The small jobs of other queues must not delay urgent work."""
    site.submit('n', 'normal', StepSpec(1, 1000, 1000, 8, 100))
    site.submit('u', 'urgent', StepSpec(1, 1000, 1000, 8, 5000))
    site.decide(advance_ms=10)
    site.end('x.0.0.0')
    assert site.ordered_tasks() == ['u.0.0.0']


def test_only_the_work_that_is_left_counts(site):
    """A job that is nearly done must not wait behind a smaller new one."""
    first = StepSpec(1, 1000, 1000, 8, 8000)
    last = StepSpec(1, 1000, 1000, 8, 2000, after=(0,))
    site.end('x.0.0.0')
    site.submit('old', 'normal', first, last)
    site.decide()
    site.submit('new', 'normal', StepSpec(1, 1000, 1000, 8, 4000))
    site.decide(advance_ms=8000)
    site.end('old.0.0.0')
    assert site.ordered_tasks() == ['old.0.1.0']
