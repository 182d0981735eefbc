"""Request metrics of an entry: outcomes and latency."""

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
    """Guards against fast refusals that lower the reported latency."""
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
def test_caller_errors_count_as_rejected(reason, name):
    """Guards against callers over quota that use up the error budget."""
    assert outcome_name(NotRun(reason, '', timedelta())) == name
