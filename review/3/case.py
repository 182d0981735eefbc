"""A minion that crashes and starts again under the id that it had."""

import asyncio
import sys
import time
from pathlib import Path

from dragonflynotch.workflows.jobs import StepSpec
from review.stand_ins.deployment import (
    BATCH,
    FINISH_S,
    CaseFailedError,
    Deployment,
    has_trouble,
    run_case,
)

_MILLICORES = 13_000
_DURATION_MS = 8_500
# From the start of the subtask to the crash of its minion.
_DELAY_S = 2.0
_DOWN_S = 1.0
_WAIT_S = 10
_LIMIT_S = 30


async def _case(deployment: Deployment) -> bool:
    job = await deployment.submit(
        BATCH,
        'text',
        [StepSpec(count=1, millicores=_MILLICORES, estimated_ms=_DURATION_MS)],
        'job of one subtask',
    )
    task = f'{job}.0.0.0'
    if has_trouble():
        number = await _wait_for_run(deployment, task)
        await asyncio.sleep(_DELAY_S)
        await deployment.restart_minion(number, _DOWN_S, keeps_id=True)
    await deployment.wait_until_final(BATCH, job, _LIMIT_S, 'the job')
    await asyncio.sleep(FINISH_S)
    return await deployment.lies_idle(BATCH, job, _MILLICORES, 'the job')


async def _wait_for_run(deployment: Deployment, task: str) -> int:
    end_s = time.monotonic() + _WAIT_S
    while time.monotonic() < end_s:
        number = deployment.minion_of(task)
        if number is not None:
            return number
        await asyncio.sleep(0.01)
    raise CaseFailedError(f'{task} does not run')


if __name__ == '__main__':
    folder = Path(__file__).parent
    site = Deployment(folder, 7, lambda _: _DURATION_MS)
    sys.exit(run_case(site, _case))
