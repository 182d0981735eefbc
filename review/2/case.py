"""One job whose text takes up much room once it is encoded."""

import asyncio
import sys
from pathlib import Path

from dragonflynotch.workflows.jobs import StepSpec
from review.stand_ins.deployment import (
    BATCH,
    FINISH_S,
    URGENT,
    Deployment,
    has_trouble,
    run_case,
)

_SUBTASKS = 50
_MILLICORES = 500
_DURATION_MS = 800
_WORK_LIMIT_S = 20
# Both have 4,000 bytes, the most that a job's text may have.
_SEPARATORS = '\x1c\x1d\x1e\x1f' * 1000
_LETTERS = 'abcd' * 1000


def _step(count: int) -> list[StepSpec]:
    return [
        StepSpec(count=count, millicores=_MILLICORES, estimated_ms=_DURATION_MS)
    ]


async def _case(deployment: Deployment) -> bool:
    before = await deployment.submit(
        URGENT, 'text', _step(1), 'small job before'
    )
    await deployment.wait_until_final(URGENT, before, 10, 'small job before')
    text = _SEPARATORS if has_trouble() else _LETTERS
    job = await deployment.submit(
        BATCH, text, _step(_SUBTASKS), f'job of {_SUBTASKS} subtasks'
    )
    await deployment.wait_until_final(BATCH, job, _WORK_LIMIT_S, 'the job')
    after = await deployment.submit(URGENT, 'text', _step(1), 'small job after')
    await asyncio.sleep(FINISH_S)
    is_lost = await deployment.lies_idle(
        URGENT, after, _MILLICORES, 'small job after'
    )
    is_job_lost = await deployment.lies_idle(BATCH, job, _MILLICORES, 'the job')
    return is_lost or is_job_lost


if __name__ == '__main__':
    folder = Path(__file__).parent
    site = Deployment(folder, 4, lambda _: _DURATION_MS)
    sys.exit(run_case(site, _case))
