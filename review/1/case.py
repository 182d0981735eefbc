"""One job of many subtasks beside small jobs of another queue."""

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

# Two steps of 200 subtasks, six times. The largest shape in a site file
# (grown/tks-suva-grown.toml): three steps of up to 230 subtasks, six times.
_WIDTH = 200
_TIMES = 6
_MILLICORES = 500
_DURATION_MS = 800
_WORK_LIMIT_S = 45
_SMALL = [StepSpec(count=1, millicores=_MILLICORES, estimated_ms=_DURATION_MS)]
_STEP: dict[str, object] = {
    'count': _WIDTH,
    'cpu': _MILLICORES,
    'estimated_ms': _DURATION_MS,
}


async def _submit(deployment: Deployment, times: int) -> str:
    steps = [_STEP, {**_STEP, 'after': [0]}]
    return await deployment.hand_in(
        BATCH,
        lambda caller, job_id: caller.submit_repeated(
            BATCH.name, job_id, steps, times
        ),
        f'2 steps of {_WIDTH} subtasks, {times} times',
    )


async def _case(deployment: Deployment) -> bool:
    before = await deployment.submit(URGENT, 'text', _SMALL, 'small job before')
    await deployment.wait_until_final(URGENT, before, 10, 'small job before')
    # The same work in both cases: in one job, or in several.
    parts = 1 if has_trouble() else _TIMES
    jobs = [await _submit(deployment, _TIMES // parts) for _ in range(parts)]
    async with asyncio.TaskGroup() as group:
        for job in jobs:
            group.create_task(
                deployment.wait_until_final(
                    BATCH, job, _WORK_LIMIT_S, 'large job'
                )
            )
    after = await deployment.submit(URGENT, 'text', _SMALL, 'small job after')
    await asyncio.sleep(FINISH_S)
    is_lost = await deployment.lies_idle(
        URGENT, after, _MILLICORES, 'small job after'
    )
    for job in jobs:
        is_lost |= await deployment.lies_idle(
            BATCH, job, _MILLICORES, 'large job'
        )
    return is_lost


if __name__ == '__main__':
    folder = Path(__file__).parent
    site = Deployment(folder, 4, lambda _: _DURATION_MS)
    sys.exit(run_case(site, _case))
