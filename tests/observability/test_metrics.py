"""Requests are counted by workspace, class and outcome."""

from datetime import timedelta

import pytest

from dragonflynotch.core.requests import NotRun
from dragonflynotch.entry.requests.problems import outcome_name
from dragonflynotch.observability.metrics import EntryMetrics


@pytest.mark.parametrize(
    ('outcome', 'is_timed'),
    [
        ('answered', True),
        ('not_run', False),
        ('rejected', False),
        ('unknown', False),
    ],
)
def test_latency_is_measured_for_answers_only(outcome, is_timed):
    """Guards against fast refusals that improve the reported latency."""
    metrics = EntryMetrics('entry-1', 'lautoka')
    metrics.count_request('resort', 'audit', outcome, timedelta(seconds=2))
    text = metrics.render().decode()
    counted = [line for line in text.splitlines() if 'requests_total{' in line]
    assert len(counted) == 1
    assert f'outcome="{outcome}"' in counted[0]
    assert ('dragonflynotch_request_seconds_count' in text) is is_timed


@pytest.mark.parametrize(
    ('reason', 'name'),
    [
        ('rate_exceeded', 'rejected'),
        ('malformed', 'rejected'),
        ('no_minion', 'not_run'),
        ('queue_full', 'not_run'),
    ],
)
def test_the_fault_of_a_caller_has_its_own_outcome(reason, name):
    """Guards against a caller over quota that burns the error budget."""
    assert outcome_name(NotRun(reason, '', timedelta())) == name
