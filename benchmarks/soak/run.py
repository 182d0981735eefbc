"""One run of the soak."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.soak.callers import Callers
from benchmarks.soak.faults import FaultRunner
from benchmarks.soak.findings import Finding, Timeline
from benchmarks.soak.fleet import Fleet
from benchmarks.soak.jobs import GUARANTEED, QUEUES, URGENT
from benchmarks.soak.plan import Fault
from benchmarks.soak.promises import FINISH_S, RunChecks, check_at_end
from benchmarks.soak.report import draw_run
from dragonflynotch.control.clocks import BootClock
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.testing.platform_site import SiteQueue

__all__ = ('SoakResult', 'run_soak')

_TICK_S = 0.01
_WARM_UP_S = 4.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one seed.

    Parameters
    ----------
    submitted, accepted, completed, starts : int
        Jobs handed in, accepted and completed, and starts of tasks.
    """

    seed: int
    faults: int
    submitted: int
    accepted: int
    completed: int
    starts: int
    findings: tuple[Finding, ...]


async def run_soak(
    seed: int, faults: tuple[Fault, ...], length_s: float, folder: Path
) -> SoakResult:
    """Run the programs under load and faults, and check the promises.

    Parameters
    ----------
    length_s : float
        How long jobs are submitted.
    folder : Path
        Takes settings, logs and the picture.
    """
    with (folder / 'soak.log').open('ab') as log:
        # The stand-ins run in this process and write the same kind of lines.
        decision_log.start('soak', log.fileno())
        return await _run(seed, faults, length_s, folder)


async def _run(
    seed: int, faults: tuple[Fault, ...], length_s: float, folder: Path
) -> SoakResult:
    timeline = Timeline(BootClock())
    checks = RunChecks(timeline, lambda: fleet.advance())
    fleet = Fleet(folder, Random(seed), checks, checks.duration_ms)
    callers = Callers(fleet, checks, timeline, seed)
    ticker = asyncio.create_task(_tick(fleet))
    try:
        await fleet.start(
            [SiteQueue(name, 0 if name == URGENT else 1) for name in QUEUES],
            GUARANTEED,
        )
        await asyncio.sleep(_WARM_UP_S)
        timeline.begin()
        runner = FaultRunner(fleet, callers, timeline)
        await asyncio.gather(runner.run(faults), callers.run(length_s))
        await _finish(callers)
        check_at_end(checks, timeline)
    finally:
        ticker.cancel()
        await _stop(callers, fleet)
    title = f'seed {seed}, {len(timeline.findings)} findings'
    (folder / 'run.svg').write_text(draw_run(timeline, title))
    jobs = checks.jobs.values()
    return SoakResult(
        seed,
        len(faults),
        len(jobs),
        sum(job.accepted_s is not None for job in jobs),
        sum(job.completed_s is not None for job in jobs),
        len(checks.starts),
        tuple(timeline.findings),
    )


async def _finish(callers: Callers) -> None:
    try:
        async with asyncio.timeout(FINISH_S):
            await callers.finish()
    except TimeoutError:
        # The check at the end names the jobs that are still open.
        return


async def _stop(callers: Callers, fleet: Fleet) -> None:
    callers.close()
    await fleet.stop()


async def _tick(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(_TICK_S)
        fleet.advance()
