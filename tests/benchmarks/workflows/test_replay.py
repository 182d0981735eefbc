"""Tests of the replay of loads against the scheduler."""

from dataclasses import replace

import pytest

from benchmarks.workflows.loads import LOADS, generate_arrivals
from benchmarks.workflows.replay import replay


def test_arrivals_repeat_for_a_seed():
    """Policies can only be compared on the same arrivals."""
    load = LOADS['urgent burst']
    assert generate_arrivals(load, 3) == generate_arrivals(load, 3)
    assert generate_arrivals(load, 3) != generate_arrivals(load, 4)


def test_replay_repeats_for_a_seed():
    """A difference between two builds must come from their decisions."""
    load = LOADS['urgent burst']
    arrivals = generate_arrivals(load, 3)
    assert replay(load, arrivals) == replay(load, arrivals)


@pytest.mark.parametrize('seed', [1, 2])
def test_light_load_completes_in_time(seed):
    """The simulated workers must not lose or delay jobs by themselves."""
    load = LOADS['urgent burst']
    arrivals = generate_arrivals(load, seed)[:2]
    outcomes = replay(load, arrivals).outcomes
    assert all(outcome.is_completed for outcome in outcomes)


def test_flood_leaves_the_other_arrivals_unchanged():
    """The jobs of the other workspaces must be comparable without the flood."""
    load = LOADS['competing']
    usual = generate_arrivals(replace(load, flood=None), 3)
    flooded = generate_arrivals(load, 3)
    added = [arrival for arrival in flooded if arrival not in usual]
    assert [arrival for arrival in flooded if arrival in usual] == usual
    assert len(added) > 100
    assert {arrival.spec.workspace for arrival in added} == {'small-7'}
