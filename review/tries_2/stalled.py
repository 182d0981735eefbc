"""A subtask of 900 s whose job says 20 s is stopped as stalled again and again.

No rule names it. Run from the root of the repository with
PYTHONPATH=target/deps:. as python3 -m review.tries_2.stalled; exits with 1 if
the run was stopped at least twice in 60 s, and writes stalled.txt. TROUBLE=0
says 900 s.
"""

import asyncio
from pathlib import Path

from dragonflynotch.testing.platform_site import SiteQueue
from review.parts_2.site import CaseError, Site, run_case

JOB = '5c0e7a21d94b36f8'
WORK_MS = 900_000
WATCH_S = 60.0


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the run was stopped at least twice."""
    site.durations[JOB] = WORK_MS
    caller = site.callers()[0]
    step: dict[str, object] = {
        'count': 1,
        'cpu': 100,
        'mem_mb': 100,
        'gpu': 1,
        'estimated_ms': 20_000 if has_trouble else WORK_MS,
    }
    answer = await caller.post('batch', JOB, [step])
    site.record(f'caller: POST {JOB} {step} -> {answer.status}')
    if not answer.is_accepted:
        raise CaseError('the job was not accepted')
    await asyncio.sleep(WATCH_S)
    caller.close()
    stops = [end for end in site.runs.ends if end[2] == 'stopped']
    site.record(f'stopped {len(stops)} times in {WATCH_S} s')
    return len(stops) >= 2


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        [SiteQueue('batch')],
        sides=2,
        record_name='stalled.txt',
    )
