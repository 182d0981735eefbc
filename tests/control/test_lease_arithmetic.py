"""Tests of leases on the clock of a minion."""

from hypothesis import given
from hypothesis import strategies as st

from dragonflynotch.control.clocks import ManualSteadyClock
from dragonflynotch.control.lease_arithmetic import MinionLease

SLOWEST_CLOCK_RATE = 0.98


@given(
    delay_ms=st.integers(0, 2000),
    rate=st.floats(SLOWEST_CLOCK_RATE, 1.0),
    lease_ms=st.integers(1, 10_000),
    idle_ms=st.integers(0, 5000),
)
def test_lease_is_over_when_it_counts_as_expired(
    delay_ms, rate, lease_ms, idle_ms
):
    """A slow minion must not continue after its lease counts as expired."""
    clock = ManualSteadyClock(0)
    lease = MinionLease(clock)
    # The minion reads 1000 on its clock at time 0; the response is delayed.
    clock.advance(delay_ms)
    lease.observe(1000)
    clock.advance(idle_ms)
    end_ms = lease.grant(clock.now_ms() + lease_ms)
    while not lease.is_expired:
        clock.advance(50)
    assert 1000 + clock.now_ms() * rate >= end_ms


def test_nothing_is_granted_without_a_reading():
    """Without a reading no lease end on the minion's clock is known."""
    assert MinionLease(ManualSteadyClock(0)).grant(5000) == 0


def test_nothing_is_granted_for_the_past():
    """A process that was paused must not extend a lease that has expired."""
    clock = ManualSteadyClock(0)
    lease = MinionLease(clock)
    lease.observe(1000)
    clock.advance(6000)
    assert lease.grant(5000) == 0
