"""Tests of the delay of candidates with little capacity."""

from datetime import timedelta

import pytest

from dragonflynotch.control.claim_delay import claim_delay
from dragonflynotch.control.leader import _CAMPAIGN_INTERVAL_S


def test_unlimited_candidate_does_not_wait():
    """Deployments without these settings elect their leader as before."""
    assert claim_delay(None, None) == timedelta()


@pytest.mark.parametrize(
    'weak, weaker',
    [((0.9, 100), (0.39, 100)), ((2, 10), (2, 5)), ((2.15, 100), (0.39, 5))],
)
def test_candidate_with_less_capacity_waits_longer(weak, weaker):
    """The more capable of two candidates should win."""
    assert claim_delay(*weak) < claim_delay(*weaker)


def test_scarcer_resource_decides():
    """A fast link must not make up for a processor that is too slow."""
    assert claim_delay(0.5, 100) == claim_delay(0.5, None)
    assert claim_delay(4, 5) == claim_delay(None, 5)


def test_delay_is_bounded():
    """Without a capable candidate the gap must stay short."""
    assert claim_delay(0.001, 0.001) < timedelta(milliseconds=500)


@pytest.mark.parametrize(
    'cores, link_mbps',
    [(0.99, None), (0.5, 100), (None, 24.9), (2, 10), (2, 5), (0.001, 0.001)],
)
def test_any_weak_candidate_waits_for_the_next_read_of_others(cores, link_mbps):
    """A capable candidate must have read the free lease before.

    A front with 5 Mbit/s waited 360 ms, others read the row every 400 ms.
    """
    campaign_interval = timedelta(seconds=_CAMPAIGN_INTERVAL_S)
    assert claim_delay(cores, link_mbps) > campaign_interval
