"""Applies the faults of a schedule to the fleet."""

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

__all__ = ('FaultRunner',)

_ThingT = TypeVar('_ThingT')
# A process that was asked to leave ends within the grace of the platform.
_GRACE_S = 6.0
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
# Changes that are no faults: they excuse no delay.
_CHANGES = frozenset(
    (
        FaultKind.configuration_changed,
        FaultKind.jobs_cancelled,
        FaultKind.jobs_burst,
    )
)


class FaultRunner:
    """Carries out faults, each of which may overlap with others."""

    def __init__(
        self, fleet: Fleet, callers: Callers, timeline: Timeline
    ) -> None:
        """Apply faults to ``fleet``."""
        self._fleet = fleet
        self._callers = callers
        self._timeline = timeline
        # Faults under way at one place; the last to end restores it.
        self._depth: dict[object, int] = {}

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Carry out all faults at their times and wait for their ends."""
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run_one(fault))

    async def _run_one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0, fault.at_s - self._timeline.now_s()))
        number = None
        if fault.kind not in _CHANGES:
            number = self._timeline.fault_begins(fault.kind)
        try:
            await self._apply(fault)
        finally:
            if number is not None:
                self._timeline.fault_ends(number)

    async def _apply(self, fault: Fault) -> None:
        match fault.kind:
            case kind if kind in _STORE_FAULTS:
                await self._store_fault(_STORE_FAULTS[kind], fault.for_s)
            case kind if kind in _LINK_FAULTS:
                process = self._process(fault)
                await self._link_fault(
                    [process], _LINK_FAULTS[kind], fault.for_s
                )
            case kind if kind in _MINION_FAULTS:
                await self._minion_fault(fault, _MINION_FAULTS[kind])
            case FaultKind.store_slow:
                await self._link_fault(
                    self._fleet.processes, LinkFault.delayed, fault.for_s
                )
            case FaultKind.minion_crashed:
                await self._crash_minion(fault)
            case FaultKind.power_lost:
                await self._lose_power(fault)
            case _:
                await self._other(fault)

    async def _other(self, fault: Fault) -> None:
        entry = _choose(self._fleet.entries, fault)
        guard = _choose(self._fleet.guards, fault)
        actions: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.entry_killed: lambda: self._kill(entry, fault.for_s),
            FaultKind.guard_killed: lambda: self._kill(guard, fault.for_s),
            FaultKind.entry_stopped: lambda: self._stop_entry(fault),
            FaultKind.guard_stopped: lambda: self._stop(guard, fault.for_s),
            FaultKind.entry_frozen: lambda: self._freeze(entry, fault.for_s),
            FaultKind.guard_frozen: lambda: self._freeze(guard, fault.for_s),
            FaultKind.configuration_changed: self._callers.change_queues,
            FaultKind.jobs_cancelled: self._callers.cancel_some,
            FaultKind.jobs_burst: self._callers.submit_many,
        }
        action = actions.get(fault.kind)
        if action is not None:
            await action()
        elif fault.kind is FaultKind.store_history_lost:
            self._fleet.site.store.forget_history()
        elif fault.kind is FaultKind.link_reset:
            self._process(fault).link.reset()
        elif fault.kind is FaultKind.callers_reset:
            _choose(self._fleet.caller_links, fault).reset()

    def _process(self, fault: Fault) -> LinkedProcess:
        return _choose(self._fleet.processes, fault)

    async def _kill(self, process: LinkedProcess, for_s: float) -> None:
        await process.kill()
        await asyncio.sleep(for_s)
        await process.start()

    async def _stop(self, process: LinkedProcess, for_s: float) -> None:
        process.send(signal.SIGCONT)
        is_starting = process.is_starting
        try:
            async with asyncio.timeout(_GRACE_S):
                status = await process.terminate()
        except TimeoutError:
            self._timeline.find('planned stops end in time', process.name)
            return
        # Another fault may have killed it meanwhile.
        if status and not is_starting and status != -signal.SIGKILL:
            self._timeline.find(
                'planned stops succeed', f'{process.name}: {status}'
            )
        await asyncio.sleep(for_s)
        await process.start()

    async def _stop_entry(self, fault: Fault) -> None:
        entry = _choose(self._fleet.entries, fault)
        number = self._fleet.entries.index(entry)
        self._callers.expect_answers(number, is_leaving=True)
        await self._stop(entry, fault.for_s)
        self._callers.expect_answers(number, is_leaving=False)

    async def _freeze(self, process: LinkedProcess, for_s: float) -> None:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        process.send(signal.SIGCONT)

    async def _lose_power(self, fault: Fault) -> None:
        processes = self._fleet.processes
        await asyncio.gather(*(process.kill() for process in processes))
        await asyncio.sleep(fault.for_s)
        await asyncio.gather(*(process.start() for process in processes))

    async def _store_fault(self, kind: StoreFault, for_s: float) -> None:
        store = self._fleet.site.store
        store.fault = kind
        await asyncio.sleep(for_s / 2)
        # Some late writes arrive while others are still held back.
        store.apply_late()
        await asyncio.sleep(for_s / 2)
        store.fault = StoreFault.none
        store.apply_late()

    async def _link_fault(
        self, processes: list[LinkedProcess], kind: LinkFault, for_s: float
    ) -> None:
        for process in processes:
            process.link.set_fault(kind)
        await asyncio.sleep(for_s)
        for process in processes:
            process.link.set_fault(LinkFault.none)

    async def _minion_fault(self, fault: Fault, kind: MinionFault) -> None:
        model = _choose(self._fleet.minions, fault).model
        model.fault = kind
        await asyncio.sleep(fault.for_s)
        model.fault = MinionFault.none
        model.apply_late()

    async def _crash_minion(self, fault: Fault) -> None:
        number = fault.target % len(self._fleet.minions)
        place = ('minion', number)
        if self._depth.get(place):
            return
        self._depth[place] = 1
        await self._fleet.replace_minion(number, fault.for_s)
        self._depth[place] = 0


def _choose(things: Sequence[_ThingT], fault: Fault) -> _ThingT:
    return things[fault.target % len(things)]
