"""Tests of the random days."""

import pytest

from benchmarks.idle_search.days import draw_day
from benchmarks.idle_search.faults import FaultKind

ALL_KINDS = frozenset(FaultKind)


def test_day_repeats_for_a_seed():
    """A finding could not be played again."""
    assert draw_day(3, ALL_KINDS) == draw_day(3, ALL_KINDS)
    assert draw_day(3, ALL_KINDS) != draw_day(4, ALL_KINDS)


@pytest.mark.parametrize('kind', [FaultKind.bad, FaultKind.leaders])
def test_faults_do_not_depend_on_other_kinds(kind):
    """A fault could not be switched off while a finding is traced."""
    alone = draw_day(3, frozenset({kind}))
    mixed = draw_day(3, ALL_KINDS)
    assert set(alone.faults) <= set(mixed.faults)
    assert set(alone.absences) <= set(mixed.absences)
    assert alone.faults or alone.absences


def test_jobs_do_not_depend_on_faults():
    """Days with and without a fault would not be comparable."""
    plain = draw_day(3, frozenset())
    faulty = draw_day(3, frozenset({FaultKind.lost, FaultKind.leader}))
    assert plain.arrivals == faulty.arrivals
