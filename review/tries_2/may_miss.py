"""A lasting job with ``may_miss`` waits beside a gang that waits.

The entry of KNOWN-RED.txt on tests/workflows/test_idle_mixes.py, with the
programs. Run from the root of the repository with PYTHONPATH=target/deps:. as
python3 -m review.tries_2.may_miss; exits with 1 if the job had nothing running
for 25 s, and writes may_miss.txt. TROUBLE=0 leaves ``may_miss`` out.
"""

import asyncio
from pathlib import Path

from dragonflynotch.testing.platform_site import SiteQueue
from review.parts_2.site import Caller, CaseError, Site, run_case

LONG = '00000000000000b8'
GANG = '7a21d94b36f85c0e'
LASTING = '5c0e7a21d94b36f8'
LONG_MS = 90_000
WATCH_S = 25.0


def _step(count: int, gpu: int, estimated_ms: int) -> dict[str, object]:
    return {
        'count': count,
        'cpu': 100,
        'mem_mb': 100,
        'gpu': gpu,
        'estimated_ms': estimated_ms,
    }


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the lasting job had nothing running all the while."""
    caller = site.callers()[0]
    site.durations.update({LONG: LONG_MS, GANG: 10_000, LASTING: 1_000_000})
    site.lasting.add(LASTING)
    await _post(site, caller, 'batch', LONG, _step(1, 8, LONG_MS))
    await site.until(lambda: len(site.runs.starts) == 1, 10, 'long run')
    await asyncio.sleep(2)
    gang = {**_step(4, 8, 10_000), 'gang': True}
    await _post(site, caller, 'batch', GANG, gang)
    await asyncio.sleep(2)
    lasting = {**_step(2, 1, 600_000), 'long_running': True}
    if has_trouble:
        lasting['may_miss'] = 1
    await _post(site, caller, 'service', LASTING, lasting)
    await asyncio.sleep(WATCH_S)
    site.record('three of four machines have been idle all the while')
    caller.close()
    return not any(task.startswith(LASTING) for task, _, _ in site.runs.starts)


async def _post(
    site: Site, caller: Caller, queue: str, job: str, step: dict[str, object]
) -> None:
    answer = await caller.post(queue, job, [step])
    site.record(f'caller: POST /{queue}/{job} {step} -> {answer.status}')
    if not answer.is_accepted:
        raise CaseError(f'job {job} was not accepted')


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        [SiteQueue('service', priority=2), SiteQueue('batch', priority=1)],
        sides=4,
        record_name='may_miss.txt',
    )
