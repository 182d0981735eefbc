"""Bounds on the time of the store."""

from dragonflynotch.control.clocks import ManualSteadyClock, StoreClock


def test_bounds_enclose_the_time_of_the_store():
    """A lease counted with a wrong bound would be valid for too long."""
    clock = ManualSteadyClock(100)
    store_clock = StoreClock(clock)
    clock.advance(40)
    # Sent at 100, read at some time up to 140.
    store_clock.observe(5000, sent_ms=100)
    clock.advance(10)
    assert store_clock.earliest_ms() == 5010
    assert store_clock.latest_ms() == 5050


def test_older_answer_changes_nothing():
    """Answers on different connections may overtake each other."""
    clock = ManualSteadyClock(100)
    store_clock = StoreClock(clock)
    store_clock.observe(5000, sent_ms=100)
    store_clock.observe(4000, sent_ms=90)
    assert store_clock.earliest_ms() == 5000
