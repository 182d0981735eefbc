"""A status report without ``born``, before the first report of a new guard.

The entry of KNOWN-RED.txt on ``MinionRestarts.prepare``. Run from the root of
the repository with PYTHONPATH=target/deps:. as python3 -m review.tries_2.born;
exits with 1 if the job never started, and writes born.txt. TROUBLE=0 leaves out
the outage of the store and the report of the other writer.
"""

import asyncio
import time
from pathlib import Path

import msgspec

from dragonflynotch.testing.platform_site import SiteQueue
from dragonflynotch.testing.row_store import StoreFault
from review.parts_2.minion import Minion
from review.parts_2.site import SERVICE, Site, run_case

JOB = '5c0e7a21d94b36f8'
OUTAGE_S = 4.0
ODD_REPORT_S = 2.0
FINISH_S = 14.0


class BornMinion(Minion):
    """Minion that tells when it started."""

    def _heartbeat(self) -> dict[str, object]:
        return {**super()._heartbeat(), **self._start_fields}

    async def send_odd_report(self) -> bool:
        """Send what another writer left: its own report without ``born``."""
        body = self._heartbeat()
        body.pop('born')
        return await self._post('Heartbeat', msgspec.json.encode(body))


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether an accepted job had nothing running on an idle site."""
    if has_trouble:
        site.platform.store.fault = StoreFault.down
        site.record('store: down')
    host = await site.add_host()
    minion = BornMinion(
        site.platform,
        'i-0',
        SERVICE,
        host.link.target,
        host.guard_address,
        site.duration_ms,
        host.link.address,
        site.lasts,
    )
    minion.start_ms = int(time.time() * 1000)
    host.minion = minion
    await host.link.start()
    await minion.start()
    await asyncio.sleep(ODD_REPORT_S)
    if has_trouble:
        is_taken = await minion.send_odd_report()
        site.record(f'other writer: a report without born -> {is_taken}')
    await asyncio.sleep(OUTAGE_S - ODD_REPORT_S)
    if has_trouble:
        site.platform.store.fault = StoreFault.none
        site.record('store: up')
    await asyncio.sleep(4)
    site.durations[JOB] = 2000
    caller = site.callers()[0]
    step: dict[str, object] = {
        'count': 1,
        'cpu': 100,
        'mem_mb': 100,
        'gpu': 1,
        'estimated_ms': 2000,
    }
    answer = await caller.post('batch', JOB, [step])
    site.record(f'caller: POST {JOB} -> {answer.status}')
    await asyncio.sleep(FINISH_S + 3)
    answer = await caller.state('batch', JOB)
    site.record(f'caller: GET {JOB} -> {answer.status} {answer.body}')
    caller.close()
    return not site.runs.starts


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        [SiteQueue('batch')],
        sides=0,
        record_name='born.txt',
    )
