"""Tests of the number of rows that a page should have."""

import pytest

from dragonflynotch.links.page_size import PageSize


@pytest.fixture
def size():
    return PageSize()


def test_limit_follows_the_speed_of_the_link(size):
    """A page must not keep the link busy for seconds."""
    size.record_page(500, 1.5)
    assert size.limit == 100
    size.record_page(100, 0.15)
    assert size.limit == 200


def test_fast_link_lifts_the_limit(size):
    """A link that was busy for a while is used fully again."""
    size.record_page(500, 1.5)
    for _ in range(3):
        size.record_page(size.limit or 500, 0.01)
    assert size.limit is None


def test_limit_grows_step_by_step(size):
    """A few rows that arrive at once do not tell the speed of the link."""
    size.record_page(500, 15)
    assert size.limit == 16
    size.record_page(16, 0)
    assert size.limit == 64


def test_short_page_changes_nothing(size):
    """A few rows do not tell the speed of the link."""
    size.record_page(500, 1.5)
    size.record_page(3, 0)
    assert size.limit == 100


def test_time_outs_reduce_the_limit_to_a_minimum(size):
    """Pages without rows would never complete a table."""
    for _ in range(10):
        size.record_timeout()
    assert size.limit == 16
