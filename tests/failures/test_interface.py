"""Refusals, error documents and quotas of the caller interface."""

import httpx
import pytest


@pytest.mark.parametrize(
    ('headers', 'status', 'reason'),
    [
        ({'Authorization': ''}, 401, 'token_missing'),
        ({'Authorization': 'Bearer wrong'}, 403, 'token_refused'),
        ({'Request_Class': 'undefined'}, 400, 'malformed'),
        ({'Request_Idempotent': 'maybe'}, 400, 'malformed'),
    ],
)
def test_refusal_is_a_problem_with_outcome(cluster, headers, status, reason):
    """Detects refusals that do not tell the caller that nothing ran."""
    reply = cluster.send(b'refused', **headers)
    assert (reply.status, reply.reason) == (status, reason)
    assert reply.outcome == 'not_run'
    assert reply.headers['Content-Type'] == 'application/problem+json'
    fields = {'outcome', 'reason', 'detail', 'retry_after_ms', 'step', 'peer'}
    assert fields <= set(reply.problem)
    assert cluster.runs['refused'] == 0


def test_unknown_path_is_a_problem(cluster):
    """Detects error answers in the web framework's own format."""
    url = cluster.plan.entries[0].callers.url
    for reply in (httpx.get(f'{url}/v2'), httpx.get(f'{url}/v1')):
        assert reply.status_code == 404
        assert reply.json()['outcome'] == 'not_run'


def test_requests_over_quota_are_refused_with_retry_after(cluster):
    """Detects a workspace that can exceed its request rate."""
    cluster.put_workspace(1, requests_per_second=1, burst=3)
    replies = [cluster.send(idempotent=True) for _ in range(8)]
    cluster.put_workspace(2)
    refused = [reply for reply in replies if reply.status == 429]
    assert 4 <= len(refused) <= 5
    for reply in refused:
        assert reply.reason == 'rate_exceeded'
        assert int(reply.headers['Retry-After']) >= 1
