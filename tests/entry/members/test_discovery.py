"""An entry knows its guards only after it has listened for some time."""

from datetime import timedelta

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.entry.members.discovery import GuardDiscovery


def test_time_before_the_socket_is_open_does_not_count():
    """A slow start must not make an entry ready before it hears a guard.

    It would refuse requests for lack of a minion.
    """
    clock = ManualClock()
    discovery = GuardDiscovery(clock)
    clock.advance(timedelta(seconds=5))
    assert not discovery.is_complete
    discovery.begin()
    clock.advance(timedelta(seconds=0.9))
    assert not discovery.is_complete
    clock.advance(timedelta(seconds=0.2))
    assert discovery.is_complete
