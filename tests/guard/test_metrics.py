"""A guard serves its metrics."""

import httpx

from dragonflynotch.core.requests import content_digest
from dragonflynotch.testing.deployment import SitePlan, plan_deployment
from dragonflynotch.testing.running_deployment import RunningDeployment

_EMPTY_DIGEST = content_digest(b'')
_GUARD = 'data_centre="nadi",guard="nadi-guard-1"'


async def test_a_guard_serves_its_metrics():
    """Guards against missing readiness, slot and attempt metrics."""
    plan = plan_deployment((SitePlan('nadi'),), stop_notice_ms=0)
    url = plan.guards[0].listen.url
    transport = httpx.AsyncHTTPTransport(retries=5)
    async with (
        RunningDeployment(plan),
        httpx.AsyncClient(transport=transport) as client,
    ):
        refused = await client.post(
            f'{url}/v1/requests',
            headers={
                'Request-Id': 'r1',
                'Attempt': 'a1',
                'Guard-Incarnation': '1',
                'Request-Deadline-Ms': '1000',
                'Request-Expires-At-Ms': '1',
                'Content-Digest': _EMPTY_DIGEST,
            },
        )
        reply = await client.get(f'{url}/metrics')
    lines = reply.text.splitlines()
    assert refused.status_code == 503
    assert f'dragonflynotch_guard_ready{{{_GUARD}}} 1' in lines
    assert f'dragonflynotch_guard_free_slots{{{_GUARD}}} 8' in lines
    labels = f'{_GUARD},outcome="refused"'
    assert f'dragonflynotch_guard_attempts_total{{{labels}}} 1' in lines
