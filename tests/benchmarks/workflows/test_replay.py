"""Tests of the replay of loads against the scheduler."""

from dataclasses import replace

import pytest

from benchmarks.workflows.loads import LOADS, generate_arrivals
from benchmarks.workflows.replay import replay
from dragonflynotch.workflows.ordering.fair_order import FairOrder


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


def test_order_of_one_workspace_ignores_shares(monkeypatch):
    """Under overload by one workspace, the order must stay that by work."""
    load = replace(LOADS['overload'], workspaces=('team-0',))
    arrivals = generate_arrivals(load, 1)[:25]
    expected = replay(load, arrivals)
    monkeypatch.setattr(FairOrder, 'sort', _sort_by_urgency)
    assert replay(load, arrivals) == expected


def test_order_with_room_for_all_ignores_shares(monkeypatch):
    """Where less is waiting than there is room, nothing may change."""
    load = replace(LOADS['competing'], flood=None, workers=200)
    arrivals = generate_arrivals(load, 1)[:40]
    expected = replay(load, arrivals)
    monkeypatch.setattr(FairOrder, 'sort', _sort_by_urgency)
    assert replay(load, arrivals) == expected


def _sort_by_urgency(self, waiting, pool):
    entries = [entry for _, entry in waiting]
    return sorted(entries, key=lambda entry: entry.urgency)
