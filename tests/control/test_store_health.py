"""Tests of the judgement whether the store can be reached."""

import pytest

from dragonflynotch.control.store_health import StoreHealth


@pytest.fixture
def health(clock):
    return StoreHealth(clock)


def test_repeated_failures_make_the_store_unreachable(health, clock):
    """Callers must not wait for an entry whose every call fails."""
    health.record_failure()
    health.record_failure()
    clock.advance(500)
    assert not health.is_reachable


def test_closed_idle_connection_is_no_outage(health, clock):
    """A single failed call must not take an entry out of rotation."""
    health.record_failure()
    clock.advance(5000)
    assert health.is_reachable


def test_failures_among_responses_are_no_outage(health, clock):
    """A store that loses a part of its responses can still be used."""
    for _ in range(9):
        clock.advance(400)
        health.record_failure()
        health.record_failure()
        health.record_response()
        health.record_failure()
    assert health.is_reachable


def test_slow_store_is_reachable(health, clock):
    """An entry must not leave the rotation because responses take long."""
    clock.advance(2000)
    assert health.is_reachable


def test_first_response_ends_the_outage(health, clock):
    """An entry must come back as soon as the store responds."""
    health.record_failure()
    health.record_failure()
    clock.advance(500)
    health.record_response()
    assert health.is_reachable
