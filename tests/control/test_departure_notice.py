"""When a worker leaves, by heartbeats with delays and unreadable fields."""

import pytest

from dragonflynotch.control.clocks import ManualSteadyClock, StoreClock
from dragonflynotch.control.departure_notice import DepartureNotice
from dragonflynotch.control.minions import Heartbeat


class NoticeHarness:
    """A notice whose store clock is 900 to 1000 ms ahead of the local one."""

    def __init__(self):
        self.clock = ManualSteadyClock(100_000)
        self.store_clock = StoreClock(self.clock)
        sent_ms = self.clock.now_ms()
        self.clock.advance(100)
        self.store_clock.observe(101_000, sent_ms)
        self.notice = DepartureNotice(self.clock, self.store_clock)

    def observe(self, remaining_ms, *, is_draining=True):
        return self.notice.observe(
            Heartbeat(
                'm', 's', ('h', 1), 1, is_draining, remaining_ms=remaining_ms
            )
        )


@pytest.fixture
def harness():
    return NoticeHarness()


def test_departure_is_rounded_to_the_earliest_store_time(harness):
    """A worker must not seem to stay for longer than it does."""
    assert harness.observe(5000)
    assert harness.notice.leaves_at_ms() == 101_000 + 5000


@pytest.mark.parametrize('delay_ms', [100, 300, 500, 1000])
def test_late_heartbeat_does_not_extend_the_notice(harness, delay_ms):
    """Delays of heartbeats must neither move the time nor cause writes."""
    harness.observe(5000)
    harness.clock.advance(600 + delay_ms)
    assert not harness.observe(4400)
    assert harness.notice.leaves_at_ms() == 106_000


def test_notice_that_changes_is_reported(harness):
    """A shorter notice leaves less time, a longer one spares runs."""
    harness.observe(5000)
    assert harness.observe(3000)
    assert harness.notice.leaves_at_ms() == 104_000
    assert harness.observe(9000)
    assert harness.notice.leaves_at_ms() == 110_000


def test_end_of_the_notice_is_kept_while_the_worker_stays(harness):
    """A worker that stays on must not be reported anew at each heartbeat."""
    harness.observe(1000)
    for _ in range(5):
        harness.clock.advance(1000)
        assert not harness.observe(0)
    assert harness.notice.leaves_at_ms() == 102_000


def test_withdrawn_notice_is_discarded(harness):
    """The runs of a worker that stays must not be moved."""
    harness.observe(5000)
    assert harness.observe(0, is_draining=False)
    assert harness.notice.leaves_at_ms() is None


def test_unreadable_remaining_time_changes_nothing(harness):
    """A known notice remains in force, and an unknown one stays unknown."""
    assert not harness.observe(None)
    assert harness.notice.leaves_at_ms() is None
    harness.observe(5000)
    assert not harness.observe(None)
    assert harness.notice.leaves_at_ms() == 106_000


def test_notice_is_unknown_before_the_store_has_answered():
    """A time of the store that is not known must not become a time of 0."""
    clock = ManualSteadyClock(100_000)
    notice = DepartureNotice(clock, StoreClock(clock))
    notice.observe(
        Heartbeat('m', 's', ('h', 1), 1, is_draining=True, remaining_ms=5000)
    )
    assert notice.leaves_at_ms() is None
