"""Configuration updates never revert, skip or lose a change."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from dragonflynotch.core.configuration import (
    Change,
    Changes,
    ConfigurationLog,
    RecordKey,
    Snapshot,
    members_unable_to_read,
)

KEYS = [RecordKey('workspace', name) for name in 'abc']


@st.composite
def histories(draw):
    documents = draw(
        st.lists(
            st.tuples(
                st.sampled_from(KEYS),
                st.one_of(st.none(), st.binary(max_size=3)),
            ),
            min_size=1,
            max_size=20,
        )
    )
    return [
        Change(revision, key, document)
        for revision, (key, document) in enumerate(documents, start=1)
    ]


def replay(history):
    log = ConfigurationLog()
    for change in history:
        assert log.apply(Changes(change.revision - 1, (change,)))
    return log


@seed(11)
@settings(max_examples=150, deadline=None)
@given(history=histories(), data=st.data())
def test_updates_in_any_order_never_revert(history, data):
    """Guards against an old copy or a delayed update that reverts a change."""
    source = replay(history)
    log = ConfigurationLog()
    steps = data.draw(
        st.lists(st.integers(0, len(history)), min_size=1, max_size=12)
    )
    for known in steps:
        before = log.revision
        update = (
            replay(history[:known]).snapshot
            if known % 2
            else replay(history[:known]).update_since(known // 2)
        )
        log.apply(update)
        assert log.revision >= before
        expected = replay(history[: log.revision]).snapshot
        assert log.snapshot == expected
    log.apply(source.update_since(log.revision))
    assert log.snapshot == source.snapshot


def test_gap_is_refused_until_the_missing_change_arrives():
    """Guards against applying change 2 without change 1."""
    log = ConfigurationLog()
    second = Change(2, KEYS[0], b'{}')
    assert not log.apply(Changes(1, (second,)))
    assert log.revision == 0


def test_process_behind_the_history_receives_a_snapshot():
    """Guards against sending changes that start after a gap."""
    log = replay([Change(number, KEYS[0], b'{}') for number in range(1, 600)])
    assert isinstance(log.update_since(10), Snapshot)
    assert isinstance(log.update_since(590), Changes)


@pytest.mark.parametrize(
    ('versions', 'expected'),
    [
        ({'guard a': (1, 2)}, None),
        ({'guard a': (1, 2), 'entry b': (1,)}, ('entry b',)),
    ],
)
def test_members_that_cannot_read_a_version_are_named(versions, expected):
    """Guards against accepting a record that a running process cannot read."""
    unable = members_unable_to_read(2, versions)
    assert (unable and unable.members) == expected
