"""Tests of the bounds on the time of the store."""

from dragonflynotch.control.clocks import ManualSteadyClock, StoreClock


def test_bounds_enclose_the_time_of_the_store():
    """With a wrong bound a lease would be valid for too long."""
    clock = ManualSteadyClock(100)
    store_clock = StoreClock(clock)
    clock.advance(40)
    # Sent at 100, read at some time up to 140.
    store_clock.observe(5000, sent_ms=100)
    clock.advance(10)
    assert store_clock.earliest_ms() == 5010
    assert store_clock.latest_ms() == 5050


def test_older_response_leaves_the_bounds_unchanged():
    """Responses on different connections can arrive out of order."""
    clock = ManualSteadyClock(100)
    store_clock = StoreClock(clock)
    store_clock.observe(5000, sent_ms=100)
    store_clock.observe(4000, sent_ms=90)
    assert store_clock.earliest_ms() == 5000


def test_long_poll_response_does_not_widen_the_bounds():
    """Otherwise orders would seem expired after a long poll."""
    clock = ManualSteadyClock(100)
    store_clock = StoreClock(clock)
    store_clock.observe(5000, sent_ms=100)
    clock.advance(1000)
    # Sent at 100; the response arrives after 1 s.
    store_clock.observe(6000, sent_ms=100)
    assert store_clock.earliest_ms() == 6000
    assert store_clock.latest_ms() == 6000


def test_old_readings_are_replaced():
    """Clocks drift, so a tight bound becomes wrong with time."""
    clock = ManualSteadyClock(0)
    store_clock = StoreClock(clock)
    store_clock.observe(5000, sent_ms=0)
    clock.advance(20_000)
    # The clock of the store gains 100 ms in 20 s.
    store_clock.observe(25_100, sent_ms=clock.now_ms() - 5)
    assert store_clock.earliest_ms() == 25_100
    assert store_clock.latest_ms() == 25_105
