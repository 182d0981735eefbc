"""Jobs are ordered on a machine that has just lost power."""

import asyncio
import time
from pathlib import Path

from dragonflynotch.testing.platform_site import SiteQueue
from review.parts_2.site import Caller, CaseError, Host, Site, run_case

LONG = 'long'
SHORT = 'short'
SHORT_JOBS = [f'{number:016x}' for number in range(8)]
# One of seven machines is the share that the pages let lose power at once.
SIDES = 7
LONG_JOBS = [f'{number:016x}' for number in range(100, 100 + SIDES - 1)]
# visible_ms and the age that the count may have.
COUNTED_AFTER_S = 3.0 + 2.0
# Covers the delays of this script.
MARGIN_S = 0.5


def _step(accelerators: int, estimated_ms: int) -> dict[str, object]:
    return {
        'count': 1,
        'cpu': 100,
        'mem_mb': 100,
        'gpu': accelerators,
        'estimated_ms': estimated_ms,
    }


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether under half of the waiting jobs were counted."""
    callers = site.callers()
    for job in LONG_JOBS:
        site.durations[job] = 60_000
        answer = await callers[0].post(LONG, job, [_step(8, 60_000)])
        site.record(f'caller: POST {job} -> {answer.status}')
    await site.until(
        lambda: len(site.runs.starts) == len(LONG_JOBS), 10, 'long runs'
    )
    # Reports of the full machines are there before more work comes.
    await asyncio.sleep(2)
    idle = _idle_host(site)
    if has_trouble:
        site.record(f'side-{idle.number} and its minion lose power')
        await idle.guard.kill()
        await idle.crash()
    for job in SHORT_JOBS:
        site.durations[job] = 5_000
        answer = await callers[0].post(SHORT, job, [_step(1, 5_000)])
        site.record(f'caller: POST {job} -> {answer.status}')
        if not answer.is_accepted:
            raise CaseError(f'job {job} was not accepted')
    accepted_s = time.monotonic()
    is_broken = False
    for _ in range(10):
        wait_s = accepted_s + COUNTED_AFTER_S + MARGIN_S - time.monotonic()
        await asyncio.sleep(max(0.5, wait_s))
        is_broken |= await _is_count_wrong(site, callers)
    for caller in callers:
        caller.close()
    return is_broken


def _idle_host(site: Site) -> Host:
    for host in site.hosts:
        if host.minion is not None and not any(
            host.minion.model.minion_id in minions
            for minions in site.runs.active_minions.values()
        ):
            return host
    raise CaseError('no machine is idle')


async def _is_count_wrong(site: Site, callers: list[Caller]) -> bool:
    """Ask each front for the count of jobs that have not begun."""
    is_wrong = False
    for number, caller in enumerate(callers):
        # A job that begins during the call may be counted or not.
        answer = await caller.count(SHORT)
        begun = {task.partition('.')[0] for task, _, _ in site.runs.starts}
        waiting = len(set(SHORT_JOBS) - begun)
        count = (answer.body or {}).get('pending_count')
        site.record(
            f'caller: GET /{SHORT}/ at front-{number} -> {answer.status} '
            f'{answer.body}; not begun: {waiting}'
        )
        is_wrong |= isinstance(count, int) and count < waiting / 2
    return is_wrong


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        [SiteQueue(LONG), SiteQueue(SHORT)],
        sides=SIDES,
    )
