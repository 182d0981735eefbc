"""The guard accepts configuration updates for its own process only."""

import pytest

from dragonflynotch.core.configuration import Change, Changes, RecordKey
from dragonflynotch.guard.configuration import ConfigurationCopy
from dragonflynotch.links.configuration_messages import (
    decode_copy,
    encode_copy,
)

FIRST = encode_copy(
    Changes(0, (Change(1, RecordKey('workspace', 'a'), b'{}'),))
)


def test_copy_of_this_process_is_applied_and_returned():
    """Guards against a copy that cannot be read back by an entry."""
    copy = ConfigurationCopy(7)
    assert copy.put(FIRST, '7')
    assert decode_copy(copy.get()).revision == 1


@pytest.mark.parametrize(
    ('payload', 'incarnation'), [(FIRST, '6'), (FIRST, ''), (b'{', '7')]
)
def test_copy_for_a_former_process_or_malformed_is_refused(
    payload, incarnation
):
    """Guards against an old copy that arrives after a restart."""
    copy = ConfigurationCopy(7)
    assert not copy.put(payload, incarnation)
    assert copy.revision == 0
