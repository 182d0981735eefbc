"""A route is dropped by one config and restored by the next one."""

import asyncio
from pathlib import Path

from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.workflows.records import EndKind
from review.parts_2.site import Caller, CaseError, Site, run_case

JOB = '5c0e7a21d94b36f8'
TASK = f'{JOB}.0.0.0'
MAX_ATTEMPTS = 4
WORK_MS = 12_000
# How long the route is away; longer than config_apply_ms.
AWAY_S = 3.0
OTHER = SiteQueue('other')
BATCH = SiteQueue('batch', max_attempts=MAX_ATTEMPTS)


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the job was shown as failed without cause."""
    site.durations[JOB] = WORK_MS
    caller = site.callers()[0]
    step: dict[str, object] = {
        'count': 1,
        'cpu': 1000,
        'mem_mb': 500,
        'gpu': 1,
        'estimated_ms': WORK_MS,
    }
    answer = await caller.post('batch', JOB, [step])
    site.record(f'caller: POST {JOB} -> {answer.status}')
    await site.until(lambda: site.host_of(TASK) is not None, 10, 'first start')
    await asyncio.sleep(1)
    host = site.host_of(TASK)
    if host is None or host.minion is None:
        raise CaseError('the first run has ended early')
    # The subtask fails once by itself, as some do on each day.
    host.minion.model.finish(TASK, EndKind.failed)
    await site.until(lambda: len(site.runs.starts) == 2, 10, 'second start')
    await asyncio.sleep(1)
    if has_trouble:
        await site.configure(2, [OTHER])
        await asyncio.sleep(AWAY_S)
        await site.configure(3, [BATCH, OTHER])
    state = await _follow(site, caller)
    failed = [end for end in site.runs.ends if end[2] == 'failed']
    site.record(
        f'shown as {state}; ends failed: {len(failed)} of {MAX_ATTEMPTS}'
    )
    caller.close()
    return state == 'failed' and len(failed) < MAX_ATTEMPTS


async def _follow(site: Site, caller: Caller) -> str:
    """Ask for the state until the job has ended, and return it."""
    shown = ''
    for _ in range(50):
        answer = await caller.state('batch', JOB)
        seen = answer.state or str(answer.status)
        if seen != shown:
            shown = seen
            site.record(f'caller: GET {JOB} -> {answer.status} {answer.body}')
        if seen in {'completed', 'failed', 'cancelled'}:
            return seen
        await asyncio.sleep(0.5)
    return shown


if __name__ == '__main__':
    run_case(Path(__file__).parent, play, [BATCH, OTHER], sides=3)
