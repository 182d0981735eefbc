"""Workspace quotas, the retry budget and the bounded priority queue."""

from dataclasses import replace
from datetime import timedelta

import pytest

from dragonflynotch.core.clock import ManualClock
from dragonflynotch.core.limits import (
    BoundedPriorityQueue,
    RetryBudget,
    TokenBucket,
    WorkspaceQuota,
)
from dragonflynotch.core.workspaces import WorkspaceSpec

NOW = ManualClock().now()
SECOND = timedelta(seconds=1)
RESORT, PHOTO = 1, 9


def test_bucket_allows_the_burst_then_the_rate():
    """Guards against a workspace that exceeds its rate."""
    bucket = TokenBucket(2, 3, NOW)
    waits = [bucket.take(NOW) for _ in range(4)]
    assert waits == [timedelta()] * 3 + [SECOND / 2]
    assert not bucket.take(NOW + SECOND / 2)


@pytest.mark.parametrize(('rate', 'burst'), [(0, 1), (1, 0)])
def test_bucket_refuses_limits_that_allow_nothing(rate, burst):
    """Guards against a division by zero from a bad configuration."""
    with pytest.raises(ValueError, match='must be positive'):
        TokenBucket(rate, burst, NOW)


def test_requests_in_flight_are_limited_and_released():
    """Guards against a workspace that occupies every slot."""
    spec = WorkspaceSpec('resort', max_in_flight=1)
    quota = WorkspaceQuota(spec, NOW)
    assert quota.admit(spec, NOW) is None
    assert quota.admit(spec, NOW).reason == 'too_many_in_flight'
    quota.release()
    assert quota.admit(spec, NOW) is None


def test_changed_rate_applies_to_the_next_request():
    """Guards against limits that ignore a changed configuration."""
    spec = WorkspaceSpec('resort')
    quota = WorkspaceQuota(spec, NOW)
    lowered = replace(spec, requests_per_second=1, burst=1)
    assert quota.admit(lowered, NOW) is None
    assert quota.admit(lowered, NOW).reason == 'rate_exceeded'


@pytest.mark.parametrize(('requests', 'allowed'), [(0, 30), (1000, 100)])
def test_retries_are_a_share_of_recent_requests(requests, allowed):
    """Guards against retries that multiply the load during an outage."""
    budget = RetryBudget()
    for _ in range(requests):
        budget.record_request(NOW)
    assert sum(budget.take(NOW) for _ in range(500)) == allowed
    assert budget.take(NOW + 11 * SECOND)


def test_queue_serves_important_classes_first_then_by_arrival():
    """Guards against serving photo checks before requests of resorts."""
    queue = BoundedPriorityQueue(10)
    for arrival, priority in enumerate((PHOTO, RESORT, PHOTO, RESORT)):
        queue.push((priority, arrival), arrival)
    assert [item for _, item in queue] == [1, 3, 0, 2]


@pytest.mark.parametrize(
    ('priority', 'refused'), [(RESORT, 1), (PHOTO, 2), (PHOTO + 1, 2)]
)
def test_full_queue_refuses_newest_of_least_important_class(priority, refused):
    """Guards against refusing an important request to keep a photo check."""
    queue = BoundedPriorityQueue(2)
    queue.push((PHOTO, 0), 0)
    queue.push((PHOTO, 1), 1)
    assert queue.push((priority, 2), 2) == refused


def test_retry_after_follows_the_recent_rate_of_service():
    """Guards against callers that are told to retry while the queue is full."""
    queue = BoundedPriorityQueue(100)
    for arrival in range(20):
        queue.push((RESORT, arrival), arrival)
    for arrival in range(10):
        queue.remove((RESORT, arrival), served_at=NOW + arrival * SECOND)
    assert queue.retry_after(NOW + 10 * SECOND) == 10 * SECOND
