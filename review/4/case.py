"""A consumer that leaves without an answer and cancels its job."""

import asyncio
import sys
import time
from datetime import timedelta
from pathlib import Path
from random import SystemRandom

import msgspec

from dragonflynotch.core.errors import LinkError
from dragonflynotch.links.http_pool import HttpPool
from dragonflynotch.workflows.jobs import StepSpec
from review.stand_ins.deployment import (
    BATCH,
    URGENT,
    CaseFailedError,
    Deployment,
    has_trouble,
    run_case,
)

_MILLICORES = 13_000
# Within the work of ``deed-verify`` in the site file: 11 s at most.
_DURATION_MS = 10_500
# When the consumer leaves, as in a day of the site file (``x = 900.0``).
_LEAVES = timedelta(milliseconds=900)
# The write is done so much later; the pages allow 1 to 6 s.
_LATE_S = 1.0
# ``contact_ms``, ``cancel_ms`` and ``stop_ms``.
_CONTACT_S = 3.0
_CANCEL_S = 3.0
_STOP_S = 0.9
_SLACK_S = 0.2
_OTHERS = 4
_SMALL = [StepSpec(count=1, millicores=3_700, estimated_ms=2_500)]
_ACKNOWLEDGED = frozenset((200, 202, 204, 410))


async def _case(deployment: Deployment) -> bool:
    # Consumers that stay: one of five leaves, and one of six writes is lost.
    for number in range(_OTHERS):
        await deployment.submit(URGENT, 'text', _SMALL, f'other job {number}')
    job_id = f'{SystemRandom().getrandbits(64):016x}'
    if has_trouble():
        deployment.site.late_s = _LATE_S
        deployment.site.lost_keys.add(f'{job_id}/spec')
        deployment.note('trouble  one answer of the store will be lost')
    sent_s = time.monotonic()
    status = await _hand_in(deployment, job_id)
    deployment.note(f'sent     POST /{BATCH.name}/{job_id}: {status}')
    answer = await deployment.callers[1].cancel(BATCH.name, job_id)
    cancelled_s = time.monotonic()
    deployment.note(f'sent     DELETE /{BATCH.name}/{job_id}: {answer.status}')
    if answer.status not in _ACKNOWLEDGED:
        raise CaseFailedError(f'not acknowledged: {answer.status}')
    # Calm again ``contact_ms`` after the late write; a subtask of a cancelled
    # job has to be gone after a calm stretch of ``cancel_ms`` + ``stop_ms``.
    calm_s = max(cancelled_s, sent_s + _LATE_S + _CONTACT_S)
    gone_s = calm_s + _CANCEL_S + _STOP_S + _SLACK_S
    await asyncio.sleep(gone_s - time.monotonic())
    runs_on = deployment.runs.is_running(job_id)
    deployment.note(
        f'check    {time.monotonic() - cancelled_s:.1f} s after the ack of '
        f'the cancelling a subtask runs: {runs_on}'
    )
    await asyncio.sleep(_DURATION_MS / 1000)
    state = await deployment.state(BATCH, job_id)
    deployment.note(f'answered GET /{BATCH.name}/{job_id}: {state}')
    return runs_on


async def _hand_in(deployment: Deployment, job_id: str) -> str:
    """Hand in the job; leave if there is no answer in time."""
    pool = HttpPool(deployment.front_addresses[0], host='site.example')
    step = {
        'count': 1,
        'cpu': _MILLICORES,
        'estimated_ms': _DURATION_MS,
    }
    try:
        reply = await pool.exchange(
            'POST',
            f'/{BATCH.name}/{job_id}',
            body=msgspec.json.encode({'spec': 'text', 'steps': [step]}),
            headers=(
                ('Dragonflynotch-Credential', 'key'),
                ('Dragonflynotch-Deadline-Ms', '3000'),
            ),
            timeout=_LEAVES,
        )
    except LinkError as error:
        deployment.note(f'left     {error}')
        return 'no answer'
    finally:
        pool.close()
    return str(reply.status)


if __name__ == '__main__':
    folder = Path(__file__).parent
    site = Deployment(folder, 4, lambda _: _DURATION_MS)
    sys.exit(run_case(site, _case))
