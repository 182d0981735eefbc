"""Tests of the shares of workspaces and of the levels that follow."""

import pytest

from dragonflynotch.workflows.ordering.shares import (
    RecentUsage,
    compute_shares,
)
from dragonflynotch.workflows.resources import Resources

TOTAL = Resources(1000, 1000, 100)


def equal_weight(workspace):
    return 0


def usage_of(now_ms=0, **accelerators):
    usage = RecentUsage()
    usage.update(
        [
            (name, Resources(0, 0, count))
            for name, count in accelerators.items()
        ],
        TOTAL,
        now_ms,
    )
    return usage


def test_share_is_that_of_the_scarcest_resource():
    """A workspace that takes all memory must not count as a small one."""
    usage = RecentUsage()
    usage.update(
        [('a', Resources(10, 900, 1)), ('a', Resources(10, 50, 1))], TOTAL, 0
    )
    assert usage.current == {'a': 0.95}


def test_share_is_never_above_the_whole():
    """Runs on workers that are not ready must not make the row invalid."""
    assert usage_of(0, a=150).current == {'a': 1}


def test_usage_counts_what_was_held_and_decays():
    """A flood must count after its runs ended, and be forgotten later."""
    usage = usage_of(0, a=80)
    usage.update([('a', Resources(0, 0, 80))], TOTAL, 15_000)
    assert usage.recent['a'] == pytest.approx(0.4)
    usage.update([], TOTAL, 15_000)
    usage.update([], TOTAL, 30_000)
    assert usage.recent['a'] == pytest.approx(0.2)
    usage.update([], TOTAL, 3_000_000)
    assert not usage.recent


def test_time_that_goes_back_changes_nothing():
    """A leader whose clock lags must not add usage of negative time."""
    usage = usage_of(0, a=80)
    usage.update([('a', Resources(0, 0, 80))], TOTAL, 15_000)
    usage.update([('a', Resources(0, 0, 80))], TOTAL, 14_000)
    assert usage.recent['a'] == pytest.approx(0.4)


def test_stored_usage_is_bounded():
    """The row must stay small, however many workspaces there are."""
    usage = RecentUsage()
    usage.restore({f'w{number}': number / 1000 for number in range(500)}, 0)
    stored = usage.largest()
    assert len(stored) == 100
    assert min(stored.values()) == 0.4


def test_weights_are_at_least_one_and_shares_at_least_equal():
    """Workspaces without a guarantee must not be behind all others."""
    weights = {'a': 30, 'b': 10, 'c': 0}
    shares = compute_shares(usage_of(), weights, weights.__getitem__)
    assert shares['a'].entitled == pytest.approx(30 / 41)
    assert shares['c'].entitled == pytest.approx(1 / 3)


@pytest.mark.parametrize(
    ('accelerators', 'level'),
    [(0, 0), (30, 0), (40, 0), (41, 1), (80, 1), (81, 2)],
)
def test_levels_are_coarse(accelerators, level):
    """Small differences in usage must not overturn least work first."""
    usage = usage_of(0, a=accelerators)
    usage.update([('a', Resources(0, 0, accelerators))], TOTAL, 10**7)
    names = [f'w{number}' for number in range(4)]
    shares = compute_shares(usage, ['a', *names], equal_weight)
    assert shares['a'].level == level
    assert shares['w0'].level == 0


def test_larger_guarantee_allows_a_larger_share():
    """Workspaces that pay for more must not be held to an equal part."""
    usage = usage_of(0, a=80, b=20)
    usage.update(
        [('a', Resources(0, 0, 80)), ('b', Resources(0, 0, 20))], TOTAL, 10**7
    )
    weights = {'a': 16, 'b': 4, 'c': 4}
    shares = compute_shares(usage, weights, weights.__getitem__)
    assert shares['a'].level == 0
    assert compute_shares(usage, weights, equal_weight)['a'].level == 1
