"""Status, headers and quotas of the caller interface."""

import httpx
import pytest


@pytest.mark.parametrize(
    ('headers', 'status', 'reason'),
    [
        ({'Authorization': ''}, 401, 'token_missing'),
        ({'Authorization': 'Bearer wrong'}, 403, 'token_refused'),
        ({'Request_Class': 'party'}, 400, 'malformed'),
        ({'Request_Idempotent': 'maybe'}, 400, 'malformed'),
    ],
)
def test_refusal_is_a_problem_with_outcome(cluster, headers, status, reason):
    """Guards against refusals that a caller cannot tell from a run."""
    reply = cluster.send(b'refused', **headers)
    assert (reply.status, reply.reason) == (status, reason)
    assert reply.outcome == 'not_run'
    assert reply.headers['Content-Type'] == 'application/problem+json'
    fields = {'outcome', 'reason', 'detail', 'retry_after_ms', 'step', 'peer'}
    assert fields <= set(reply.problem)
    assert cluster.runs['refused'] == 0


def test_unknown_path_is_a_problem(cluster):
    """Guards against answers of the web framework in another form."""
    url = cluster.plan.entries[0].callers.url
    for reply in (httpx.get(f'{url}/v2'), httpx.get(f'{url}/v1')):
        assert reply.status_code == 404
        assert reply.json()['outcome'] == 'not_run'


def test_quota_is_refused_with_a_time_to_come_back(cluster):
    """Guards against one workspace that takes the slots of all."""
    cluster.put_workspace(1, requests_per_second=1, burst=3)
    replies = [cluster.send(idempotent=True) for _ in range(8)]
    cluster.put_workspace(2)
    refused = [reply for reply in replies if reply.status == 429]
    assert 4 <= len(refused) <= 5
    for reply in refused:
        assert reply.reason == 'rate_exceeded'
        assert int(reply.headers['Retry-After']) >= 1
