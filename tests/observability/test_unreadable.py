"""Log lines about entries that could not be used."""

import os

import msgspec

from dragonflynotch.core.untrusted import Unreadable
from dragonflynotch.observability.decisions import DecisionLog
from dragonflynotch.observability.unreadable import UnreadableEntries


def test_line_tells_source_and_reason_and_is_short():
    """Guards against an odd entry that cannot be found, or fills the log."""
    reader, writer = os.pipe()
    entries = UnreadableEntries(DecisionLog(writer))
    entries.record(
        'report_unreadable', Unreadable('too deep'), key='k' * 100_000
    )
    line = os.read(reader, 200_000)
    os.close(reader)
    os.close(writer)
    assert len(line) < 500
    fields = msgspec.json.decode(line)
    assert fields['event'] == 'report_unreadable'
    assert fields['reason'] == 'too deep'
    assert fields['key'].startswith('kkk')
    assert entries.count == 1
