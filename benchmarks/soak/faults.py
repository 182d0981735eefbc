"""Injects the faults of a schedule into the fleet."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from benchmarks.soak.callers import Callers
from benchmarks.soak.findings import Timeline
from benchmarks.soak.fleet import Fleet, LinkedProcess
from benchmarks.soak.plan import Fault, FaultKind
from dragonflynotch.testing.loopback_proxy import LinkFault
from dragonflynotch.testing.minion_model import MinionFault
from dragonflynotch.testing.row_store import StoreFault

__all__ = ('FaultInjector',)

_ItemT = TypeVar('_ItemT')
# A process that is asked to stop must end within the grace period of the
# platform.
_STOP_TIMEOUT_S = 6.0
# Time from a crash that a task causes to the next start of the minion.
_RESTART_DELAY_S = 1.0
_STORE_FAULTS = {
    FaultKind.store_down: StoreFault.down,
    FaultKind.store_answers_lost: StoreFault.lose_answers,
    FaultKind.store_writes_late: StoreFault.late,
}
_LINK_FAULTS = {
    FaultKind.link_delayed: LinkFault.delayed,
    FaultKind.link_without_requests: LinkFault.no_requests,
    FaultKind.link_without_answers: LinkFault.no_answers,
    FaultKind.link_silent: LinkFault.silent,
}
_MINION_FAULTS = {
    FaultKind.minion_starts_late: MinionFault.late_starts,
    FaultKind.minion_answers_lost: MinionFault.lose_answers,
    FaultKind.minion_failing: MinionFault.failing,
    FaultKind.minion_stuck: MinionFault.stuck,
}
# Changes that are not faults: invariants with time limits stay in force.
_HARMLESS_CHANGES = frozenset(
    (
        FaultKind.configuration_changed,
        FaultKind.jobs_cancelled,
        FaultKind.jobs_burst,
        FaultKind.crashing_job_submitted,
    )
)


class FaultInjector:
    """Injects faults, which may overlap in time."""

    def __init__(
        self, fleet: Fleet, callers: Callers, timeline: Timeline
    ) -> None:
        """Create the injector; ``run`` injects the faults."""
        self._fleet = fleet
        self._callers = callers
        self._timeline = timeline
        # 1 while a minion is being replaced; another crash of it is ignored.
        self._crashed_minions: dict[object, int] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        fleet.on_crash = self._on_crash

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Inject all faults when they are due and wait until they end."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run_one(fault))

    async def _run_one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0, fault.begin_s - self._timeline.now_s()))
        number = None
        if fault.kind not in _HARMLESS_CHANGES:
            number = self._timeline.begin_fault(fault.kind)
        try:
            await self._apply(fault)
        finally:
            if number is not None:
                self._timeline.end_fault(number)

    async def _apply(self, fault: Fault) -> None:
        match fault.kind:
            case kind if kind in _STORE_FAULTS:
                await self._apply_store_fault(
                    _STORE_FAULTS[kind], fault.duration_s
                )
            case kind if kind in _LINK_FAULTS:
                process = self._process(fault)
                await self._apply_link_fault(
                    [process], _LINK_FAULTS[kind], fault.duration_s
                )
            case kind if kind in _MINION_FAULTS:
                await self._apply_minion_fault(fault, _MINION_FAULTS[kind])
            case FaultKind.store_slow:
                await self._apply_link_fault(
                    self._fleet.processes, LinkFault.delayed, fault.duration_s
                )
            case FaultKind.minion_crashed:
                await self._crash_minion(fault)
            case FaultKind.power_lost:
                await self._lose_power(fault)
            case _:
                await self._apply_other(fault)

    async def _apply_other(self, fault: Fault) -> None:
        entry = _choose(self._fleet.entries, fault)
        guard = _choose(self._fleet.guards, fault)
        actions: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.entry_killed: lambda: self._kill(entry, fault.duration_s),
            FaultKind.guard_killed: lambda: self._kill(guard, fault.duration_s),
            FaultKind.entry_stopped: lambda: self._stop_entry(fault),
            FaultKind.guard_stopped: lambda: self._stop(
                guard, fault.duration_s
            ),
            FaultKind.entry_frozen: lambda: self._freeze(
                entry, fault.duration_s
            ),
            FaultKind.guard_frozen: lambda: self._freeze(
                guard, fault.duration_s
            ),
            FaultKind.configuration_changed: self._callers.add_queue,
            FaultKind.jobs_cancelled: self._callers.cancel_half,
            FaultKind.jobs_burst: self._callers.submit_burst,
            FaultKind.crashing_job_submitted: self._callers.submit_crashing_job,
        }
        action = actions.get(fault.kind)
        if action is not None:
            await action()
        elif fault.kind is FaultKind.store_history_lost:
            self._fleet.site.store.truncate_history()
        elif fault.kind is FaultKind.link_reset:
            self._process(fault).link.reset()
        elif fault.kind is FaultKind.callers_reset:
            _choose(self._fleet.caller_links, fault).reset()

    def _process(self, fault: Fault) -> LinkedProcess:
        return _choose(self._fleet.processes, fault)

    async def _kill(self, process: LinkedProcess, duration_s: float) -> None:
        await process.kill()
        await asyncio.sleep(duration_s)
        await process.start()

    async def _stop(self, process: LinkedProcess, duration_s: float) -> None:
        process.send(signal.SIGCONT)
        is_starting = process.is_starting
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                status = await process.terminate()
        except TimeoutError:
            self._timeline.add_finding(
                'planned stops end in time', process.name
            )
            return
        # SIGKILL means that another fault has killed the process meanwhile.
        if status and not is_starting and status != -signal.SIGKILL:
            self._timeline.add_finding(
                'planned stops succeed', f'{process.name} exited with {status}'
            )
        await asyncio.sleep(duration_s)
        await process.start()

    async def _stop_entry(self, fault: Fault) -> None:
        entry = _choose(self._fleet.entries, fault)
        number = self._fleet.entries.index(entry)
        self._callers.set_stopping(number, is_stopping=True)
        await self._stop(entry, fault.duration_s)
        self._callers.set_stopping(number, is_stopping=False)

    async def _freeze(self, process: LinkedProcess, duration_s: float) -> None:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send(signal.SIGCONT)

    async def _lose_power(self, fault: Fault) -> None:
        processes = self._fleet.processes
        await asyncio.gather(*(process.kill() for process in processes))
        await asyncio.sleep(fault.duration_s)
        await asyncio.gather(*(process.start() for process in processes))

    async def _apply_store_fault(
        self, kind: StoreFault, duration_s: float
    ) -> None:
        store = self._fleet.site.store
        store.fault = kind
        await asyncio.sleep(duration_s / 2)
        # Applies some late writes while the store still delays others.
        store.apply_deferred_commits()
        await asyncio.sleep(duration_s / 2)
        store.fault = StoreFault.none
        store.apply_deferred_commits()

    async def _apply_link_fault(
        self, processes: list[LinkedProcess], kind: LinkFault, duration_s: float
    ) -> None:
        for process in processes:
            process.link.set_fault(kind)
        await asyncio.sleep(duration_s)
        for process in processes:
            process.link.set_fault(LinkFault.none)

    async def _apply_minion_fault(
        self, fault: Fault, kind: MinionFault
    ) -> None:
        model = _choose(self._fleet.minions, fault).model
        model.fault = kind
        await asyncio.sleep(fault.duration_s)
        model.fault = MinionFault.none
        model.apply_deferred_starts()

    def _on_crash(self, minion: int) -> None:
        restart = asyncio.create_task(self._restart_crashed(minion))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_crashed(self, minion: int) -> None:
        fault = self._timeline.begin_fault(FaultKind.minion_crashed)
        await self._replace_minion(minion, _RESTART_DELAY_S)
        self._timeline.end_fault(fault)

    async def _crash_minion(self, fault: Fault) -> None:
        number = fault.target % len(self._fleet.minions)
        await self._replace_minion(number, fault.duration_s)

    async def _replace_minion(self, number: int, downtime_s: float) -> None:
        key = ('minion', number)
        if self._crashed_minions.get(key):
            return
        self._crashed_minions[key] = 1
        await self._fleet.replace_minion(number, downtime_s)
        self._crashed_minions[key] = 0


def _choose(items: Sequence[_ItemT], fault: Fault) -> _ItemT:
    return items[fault.target % len(items)]
