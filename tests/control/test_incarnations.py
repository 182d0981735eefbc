"""Tests of the identifiers of incarnations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflynotch.control.incarnations import (
    Incarnation,
    is_restart,
    is_same_life,
)
from dragonflynotch.control.machines import MachineList

FIRST = str(Incarnation('m1', 1_000))
SECOND = str(Incarnation('m1', 2_000))
MINION_IDS = st.one_of(
    st.text(st.characters(min_codepoint=0x30, max_codepoint=0x7E), min_size=1),
    st.from_regex('[a@]{1,3}[0-9a-f@]{0,3}', fullmatch=True),
)


@given(MINION_IDS, st.none() | st.integers(0, 2**53))
def test_identifier_tells_minion_and_start(minion_id, started_ms):
    """A minion whose identifier looks like an incarnation is not reached."""
    incarnation = Incarnation(minion_id, started_ms)
    assert Incarnation.parse(str(incarnation)) == incarnation


@pytest.mark.parametrize(
    ('previous_id', 'incarnation_id', 'is_other_life'),
    [
        (FIRST, SECOND, True),
        # The clock of the machine may have been set back.
        (SECOND, FIRST, True),
        (FIRST, FIRST, False),
        # A report of an earlier release does not tell the start.
        ('m1', FIRST, False),
        (FIRST, 'm1', False),
        ('', FIRST, False),
    ],
)
def test_lives_are_told_apart_by_their_start(
    previous_id, incarnation_id, is_other_life
):
    """A new life must not be taken for the one before, nor the reverse."""
    assert is_restart(previous_id, incarnation_id) is is_other_life


def test_lives_of_other_minions_are_not_restarts():
    """The departure of a minion must not end another one."""
    other = str(Incarnation('m2', 1_000))
    assert not is_restart(FIRST, other)
    assert not is_same_life(FIRST, other)


def test_list_of_machines_has_the_minion_of_an_incarnation():
    """A live minion that tells its start must not count as lost."""
    machines = MachineList({'planner': frozenset({'m1'})})
    assert machines.has_minion(FIRST)
    assert machines.has_minion_of('planner', FIRST)
    assert not machines.has_minion(str(Incarnation('m2', 1_000)))
