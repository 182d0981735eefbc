"""One run of the soak test."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.soak.callers import Callers
from benchmarks.soak.faults import FaultInjector
from benchmarks.soak.findings import Finding, Timeline
from benchmarks.soak.fleet import Fleet
from benchmarks.soak.invariants import (
    FINISH_LIMIT_S,
    RunChecks,
    check_final_state,
)
from benchmarks.soak.jobs import GUARANTEED_ACCELERATORS, QUEUES, URGENT
from benchmarks.soak.plan import Fault
from benchmarks.soak.report import render_timeline
from dragonflynotch.control.clocks import BootClock
from dragonflynotch.observability.decisions import decision_log
from dragonflynotch.testing.platform_site import SiteQueue

__all__ = ('SoakResult', 'run_soak')

_ADVANCE_INTERVAL_S = 0.01
_WARM_UP_S = 4.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one seed.

    Parameters
    ----------
    submitted, accepted, completed, starts : int
        Numbers of submitted, accepted and completed jobs, and of task starts.
    """

    seed: int
    faults: int
    submitted: int
    accepted: int
    completed: int
    starts: int
    findings: tuple[Finding, ...]


async def run_soak(
    seed: int, faults: tuple[Fault, ...], length_s: float, directory: Path
) -> SoakResult:
    """Run the programs under load and faults, and check the invariants.

    Parameters
    ----------
    length_s : float
        Duration of the load.
    directory : Path
        Where settings, logs and the chart are written.
    """
    with (directory / 'soak.log').open('ab') as log:
        # The simulated minions and store run in this process and log here.
        decision_log.start('soak', log.fileno())
        return await _run(seed, faults, length_s, directory)


async def _run(
    seed: int, faults: tuple[Fault, ...], length_s: float, directory: Path
) -> SoakResult:
    timeline = Timeline(BootClock())
    checks = RunChecks(timeline, lambda: fleet.advance())
    fleet = Fleet(directory, Random(seed), checks, checks.duration_ms)
    callers = Callers(fleet, checks, timeline, seed)
    advancing = asyncio.create_task(_advance_minions(fleet))
    try:
        await fleet.start(
            [SiteQueue(name, 0 if name == URGENT else 1) for name in QUEUES],
            GUARANTEED_ACCELERATORS,
        )
        await asyncio.sleep(_WARM_UP_S)
        timeline.start()
        injector = FaultInjector(fleet, callers, timeline)
        await asyncio.gather(injector.run(faults), callers.run(length_s))
        await _finish(callers)
        check_final_state(checks, timeline)
    finally:
        advancing.cancel()
        await _stop(callers, fleet)
    title = f'seed {seed}, {len(timeline.findings)} findings'
    (directory / 'run.svg').write_text(render_timeline(timeline, title))
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
        async with asyncio.timeout(FINISH_LIMIT_S):
            await callers.finish()
    except TimeoutError:
        # The final check reports the jobs that have not ended.
        return


async def _stop(callers: Callers, fleet: Fleet) -> None:
    callers.close()
    await fleet.stop()


async def _advance_minions(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(_ADVANCE_INTERVAL_S)
        fleet.advance()
