"""Stand-in of a minion that runs tasks under a lease."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from dragonflynotch.control.clocks import BootClock, SteadyClock
from dragonflynotch.control.minions import (
    MinionClient,
    MinionState,
    NoAnswer,
    OtherIncarnation,
    RefusalReason,
    Started,
    StartRefused,
    StartRequest,
    Stopped,
    Unhealthy,
)
from dragonflynotch.testing.gang_registry import GangRegistry
from dragonflynotch.workflows.records import EndKind, RunEnd, RunningTask

__all__ = ('MinionFault', 'MinionModel', 'ModelMinionClient', 'RunLog')

_PERCENT = 100
_POLL_S = 0.005
_CLOCK_START_MS = 400_000
_UNENDING_MS = 1_000_000_000
_FAILURE_MS = 100


class MinionFault(Enum):
    """What the stand-in does wrong."""

    none = 'none'
    # Nothing reaches it; what runs there runs on.
    cut = 'cut'
    # Starts are not answered and carried out when told to.
    late_starts = 'late_starts'
    # Starts are carried out and not answered.
    lose_answers = 'lose_answers'
    # Every run fails soon after its start.
    failing = 'failing'
    # Runs make no progress.
    stuck = 'stuck'


@dataclass(slots=True)
class _Run:
    run: int
    began_ms: int
    checkpoint: str


@dataclass(slots=True)
class RunLog:
    """All starts and ends on all stand-ins, to check what happened.

    Parameters
    ----------
    gangs : GangRegistry
        Gangs, whose members may run on several stand-ins.
    overlaps : list of str
        Tasks that were started while another run of them was present.
    """

    gangs: GangRegistry = field(
        default_factory=lambda: GangRegistry(BootClock())
    )
    active: dict[str, set[str]] = field(default_factory=dict)
    starts: list[tuple[str, int, str]] = field(default_factory=list)
    ends: list[tuple[str, int, str]] = field(default_factory=list)
    overlaps: list[str] = field(default_factory=list)

    def begin(self, task: str, run: int, minion_id: str) -> None:
        """Take note of a start."""
        running = self.active.setdefault(task, set())
        if running:
            self.overlaps.append(task)
        running.add(minion_id)
        self.starts.append((task, run, minion_id))
        self.gangs.begin(task, run)

    def end(self, task: str, run: int, minion_id: str, kind: str) -> None:
        """Take note of an end."""
        self.active.get(task, set()).discard(minion_id)
        self.ends.append((task, run, kind))

    def acknowledge(self, end: RunEnd) -> None:
        """Take note that a minion was told to forget an end."""


def _never_ends(_: str) -> int:
    return _UNENDING_MS


class MinionModel:
    """One incarnation of a minion.

    Parameters
    ----------
    duration_ms : callable
        Returns how long a task runs.
    """

    def __init__(
        self,
        minion_id: str,
        clock: SteadyClock,
        log: RunLog,
        duration_ms: Callable[[str], int] | None = None,
    ) -> None:
        """Start without runs."""
        self.minion_id = minion_id
        self.fault = MinionFault.none
        self.is_crashed = False
        self._clock = clock
        self._log = log
        self._duration_ms = duration_ms or _never_ends
        self._origin_ms = clock.now_ms() - _CLOCK_START_MS
        self._lease_end_ms = 0
        self._token = 0
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[RunEnd] = []
        self._number = 0
        self._late: list[tuple[StartRequest, int]] = []

    @property
    def clock_ms(self) -> int:
        """Time of the minion's clock."""
        return self._clock.now_ms() - self._origin_ms

    def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int
    ) -> MinionState | StartRefused:
        """Extend the lease and return the runs."""
        self.advance()
        if token < self._token:
            return StartRefused(RefusalReason.fence)
        self._token = token
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)
        self._forget(recorded_up_to)
        return MinionState(
            self.clock_ms,
            tuple(
                RunningTask(
                    task, run.run, run.checkpoint, self._percent(task, run)
                )
                for task, run in self._runs.items()
            ),
            tuple(self._ends),
        )

    def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused:
        """Start a run."""
        self.advance()
        if token < self._token:
            return StartRefused(RefusalReason.fence)
        self._token = token
        present = self._runs.get(request.task)
        if present is not None and present.run == request.run:
            return Started(self.clock_ms)
        if request.run <= self._highest.get(request.task, 0):
            return StartRefused(RefusalReason.old)
        if request.lease_end_ms <= self.clock_ms:
            return StartRefused(RefusalReason.late)
        self._lease_end_ms = max(self._lease_end_ms, request.lease_end_ms)
        self._runs[request.task] = _Run(
            request.run, self.clock_ms, request.checkpoint
        )
        self._log.begin(request.task, request.run, self.minion_id)
        return Started(self.clock_ms)

    def stop(self, task: str, run: int, token: int) -> Stopped | StartRefused:
        """Stop a run, or refuse it when it arrives."""
        self.advance()
        if token < self._token:
            return StartRefused(RefusalReason.fence)
        self._token = token
        self._highest[task] = max(self._highest.get(task, 0), run)
        present = self._runs.get(task)
        if present is not None and present.run <= run:
            self.finish(task, EndKind.stopped)
        return Stopped(self.clock_ms)

    def finish(self, task: str, kind: EndKind) -> None:
        """End a run."""
        run = self._runs.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), run.run)
        self._number += 1
        self._ends.append(
            RunEnd(self._number, task, run.run, kind, run.checkpoint)
        )
        self._log.end(task, run.run, self.minion_id, kind.value)
        self._log.gangs.leave(task, run.run, kind)

    def advance(self) -> None:
        """End what is due and what has lost its lease."""
        if self.clock_ms > self._lease_end_ms:
            for task in list(self._runs):
                self.finish(task, EndKind.lapsed)
        for task, run in list(self._runs.items()):
            kind = self._due_end(task, run)
            if kind is not None:
                self.finish(task, kind)

    def crash(self) -> None:
        """Lose everything."""
        self.is_crashed = True
        for task, run in self._runs.items():
            self._log.end(task, run.run, self.minion_id, 'crashed')
            self._log.gangs.leave(task, run.run, None)
        self._runs.clear()

    def hold_back(self, request: StartRequest, token: int) -> None:
        """Keep a start to carry it out late."""
        self._late.append((request, token))

    def apply_late(self) -> list[Started | StartRefused]:
        """Carry out the starts that were held back."""
        late = self._late
        self._late = []
        return [self.start(request, token) for request, token in late]

    def _forget(self, recorded_up_to: int) -> None:
        kept = [end for end in self._ends if end.number > recorded_up_to]
        for forgotten in self._ends[: len(self._ends) - len(kept)]:
            self._log.acknowledge(forgotten)
        self._ends = kept

    def _due_end(self, task: str, run: _Run) -> EndKind | None:
        elapsed_ms = self.clock_ms - run.began_ms
        if self.fault is MinionFault.failing and elapsed_ms > _FAILURE_MS:
            return EndKind.failed
        if self._log.gangs.is_gang(task):
            return self._log.gangs.due_end(
                task, run.run, elapsed_ms, self._duration_ms(task)
            )
        is_over = elapsed_ms >= self._duration_ms(task)
        if is_over and self.fault is not MinionFault.stuck:
            return EndKind.done
        return None

    def _percent(self, task: str, run: _Run) -> int:
        if self.fault is MinionFault.stuck:
            return 0
        elapsed_ms = self.clock_ms - run.began_ms
        return min(
            _PERCENT - 1, elapsed_ms * _PERCENT // self._duration_ms(task)
        )


class ModelMinionClient(MinionClient):
    """Calls a stand-in in this process."""

    def __init__(self, model: MinionModel) -> None:
        """Call ``model``."""
        self._model = model

    async def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int, wait_ms: int
    ) -> MinionState | OtherIncarnation | Unhealthy | NoAnswer:
        """Extend the lease and return the runs."""
        limit_ms = self._model.clock_ms + wait_ms
        while True:
            await asyncio.sleep(_POLL_S)
            if self._is_unreachable:
                return NoAnswer('cut')
            outcome = self._model.poll(token, recorded_up_to, lease_end_ms)
            if isinstance(outcome, StartRefused):
                return NoAnswer(f'refused: {outcome.reason.value}')
            if outcome.ended or outcome.clock_ms >= limit_ms:
                return outcome

    async def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Start a run."""
        if self._is_unreachable:
            return NoAnswer('cut')
        if self._model.fault is MinionFault.late_starts:
            self._model.hold_back(request, token)
            return NoAnswer('held back')
        outcome = self._model.start(request, token)
        if self._model.fault is MinionFault.lose_answers:
            return NoAnswer('lost')
        return outcome

    async def stop(
        self, task: str, run: int, token: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Stop a run."""
        if self._is_unreachable:
            return NoAnswer('cut')
        return self._model.stop(task, run, token)

    def close(self) -> None:
        """Do nothing; there is no connection."""

    @property
    def _is_unreachable(self) -> bool:
        return self._model.is_crashed or self._model.fault is MinionFault.cut
