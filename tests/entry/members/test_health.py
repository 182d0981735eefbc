"""An entry is ready only while it can serve callers."""

import pytest

from dragonflynotch.entry.members.health import Health


@pytest.mark.parametrize(
    ('is_configured', 'has_discovered_guards', 'is_ready'),
    [(True, True, True), (False, True, False), (True, False, False)],
)
def test_readiness_needs_configuration_and_members(
    is_configured, has_discovered_guards, is_ready
):
    """Guards against requests sent to an entry that must refuse them.

    The entry has no current configuration, does not know the guards yet, or
    is stopping.
    """
    health = Health(lambda: is_configured, lambda: has_discovered_guards)
    assert health.is_ready is is_ready
    health.stop()
    assert not health.is_ready
