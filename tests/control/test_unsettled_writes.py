"""Tests of the memory of writes without a response."""

import pytest

from dragonflynotch.control.rows import RowName
from dragonflynotch.control.unsettled_writes import UnsettledWrites

NAME = RowName('submissions', '3', 'a/spec')


@pytest.fixture
def writes(clock):
    return UnsettledWrites(clock)


def test_write_is_unsettled_until_the_store_answers(writes):
    """A call must not be refused while its write may be carried out."""
    assert not writes.contains(NAME)
    writes.add(NAME)
    assert writes.contains(NAME)
    writes.remove(NAME)
    assert not writes.contains(NAME)


def test_write_is_forgotten_once_it_cannot_be_carried_out(writes, clock):
    """A refusal must be possible again after an outage."""
    writes.add(NAME)
    clock.advance(59_000)
    assert writes.contains(NAME)
    clock.advance(2000)
    assert not writes.contains(NAME)


def test_number_of_remembered_writes_is_limited(writes):
    """A long outage under load must not exhaust the memory."""
    names = [RowName('submissions', '3', str(row)) for row in range(10_001)]
    for name in names:
        writes.add(name)
    assert not writes.contains(names[0])
    assert writes.contains(names[1])
    assert writes.contains(names[-1])
