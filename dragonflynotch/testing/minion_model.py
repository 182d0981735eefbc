"""Stand-in for a minion that runs tasks under a lease."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from dragonflynotch.control.clocks import BootClock, SteadyClock
from dragonflynotch.control.minions import (
    ConnectionClosed,
    MinionClient,
    MinionState,
    NoAnswer,
    NotListening,
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
# Reading of the minion's own clock when the minion is created.
_CLOCK_START_MS = 400_000
_UNLIMITED_DURATION_MS = 1_000_000_000
_FAIL_AFTER_MS = 100


class MinionFault(Enum):
    """Faults that the stand-in injects."""

    none = 'none'
    # No call reaches the minion; its tasks continue to run.
    cut = 'cut'
    # Starts are not answered; ``apply_deferred_starts`` carries them out.
    late_starts = 'late_starts'
    # Starts are carried out but not answered.
    lose_answers = 'lose_answers'
    # Every run fails shortly after its start.
    failing = 'failing'
    # Runs make no progress.
    stuck = 'stuck'


@dataclass(slots=True)
class _Run:
    run: int
    started_ms: int
    checkpoint: str


@dataclass(slots=True)
class RunLog:
    """Log of all starts and ends on all stand-ins, for assertions.

    Parameters
    ----------
    gangs : GangRegistry
        Coordinates gangs whose members run on several stand-ins.
    active_minions : dict of str to set of str
        Minions on which each task currently runs.
    starts : list of tuple
        Task, run and minion of each start.
    ends : list of tuple
        Task, run and kind of each end.
    overlapping_tasks : list of str
        Tasks that were started while another run of the same task was active.
    crashing_tasks : set of str
        Tasks that crash each stand-in that starts them.
    """

    gangs: GangRegistry = field(
        default_factory=lambda: GangRegistry(BootClock())
    )
    active_minions: dict[str, set[str]] = field(default_factory=dict)
    starts: list[tuple[str, int, str]] = field(default_factory=list)
    ends: list[tuple[str, int, str]] = field(default_factory=list)
    overlapping_tasks: list[str] = field(default_factory=list)
    crashing_tasks: set[str] = field(default_factory=set)

    def record_start(self, task: str, run: int, minion_id: str) -> None:
        """Record the start of a run."""
        running = self.active_minions.setdefault(task, set())
        if running:
            self.overlapping_tasks.append(task)
        running.add(minion_id)
        self.starts.append((task, run, minion_id))
        self.gangs.record_start(task, run)

    def record_end(
        self, task: str, run: int, minion_id: str, kind: str
    ) -> None:
        """Record the end of a run."""
        self.active_minions.get(task, set()).discard(minion_id)
        self.ends.append((task, run, kind))

    def acknowledge(self, end: RunEnd) -> None:
        """Record that an end was acknowledged; subclasses may override."""


def _unlimited_duration(_: str) -> int:
    return _UNLIMITED_DURATION_MS


class MinionModel:
    """One incarnation of a minion.

    Parameters
    ----------
    duration_ms : callable
        Returns the running time of a task.
    """

    def __init__(
        self,
        minion_id: str,
        clock: SteadyClock,
        log: RunLog,
        duration_ms: Callable[[str], int] | None = None,
    ) -> None:
        """Create a minion without runs."""
        self.minion_id = minion_id
        self.fault = MinionFault.none
        self.is_crashed = False
        self._clock = clock
        self._run_log = log
        self._duration_ms = duration_ms or _unlimited_duration
        self._clock_origin_ms = clock.now_ms() - _CLOCK_START_MS
        self._lease_end_ms = 0
        self._highest_token = 0
        self._runs: dict[str, _Run] = {}
        self._highest_runs: dict[str, int] = {}
        self._ends: list[RunEnd] = []
        self._last_end_number = 0
        self._deferred_starts: list[tuple[StartRequest, int]] = []

    @property
    def clock_ms(self) -> int:
        """Current time of the minion's clock."""
        return self._clock.now_ms() - self._clock_origin_ms

    def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int
    ) -> MinionState | StartRefused:
        """Extend the lease and return the state of all runs."""
        self.advance()
        if token < self._highest_token:
            return StartRefused(RefusalReason.fence)
        self._highest_token = token
        self._lease_end_ms = max(self._lease_end_ms, lease_end_ms)
        self._discard_ends(recorded_up_to)
        return MinionState(
            self.clock_ms,
            tuple(
                RunningTask(
                    task,
                    run.run,
                    run.checkpoint,
                    self._progress_percent(task, run),
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
        if token < self._highest_token:
            return StartRefused(RefusalReason.fence)
        self._highest_token = token
        current = self._runs.get(request.task)
        if current is not None and current.run == request.run:
            return Started(self.clock_ms)
        if request.run <= self._highest_runs.get(request.task, 0):
            return StartRefused(RefusalReason.old)
        if request.lease_end_ms <= self.clock_ms:
            return StartRefused(RefusalReason.late)
        self._lease_end_ms = max(self._lease_end_ms, request.lease_end_ms)
        # The log may end runs that are due, which must not include one whose
        # start it has not recorded yet.
        self._run_log.record_start(request.task, request.run, self.minion_id)
        self._runs[request.task] = _Run(
            request.run, self.clock_ms, request.checkpoint
        )
        if request.task in self._run_log.crashing_tasks:
            self.crash()
        return Started(self.clock_ms)

    def stop(self, task: str, run: int, token: int) -> Stopped | StartRefused:
        """Stop a run, or refuse its start if that arrives later."""
        self.advance()
        if token < self._highest_token:
            return StartRefused(RefusalReason.fence)
        self._highest_token = token
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
        current = self._runs.get(task)
        if current is not None and current.run <= run:
            self.finish(task, EndKind.stopped)
        return Stopped(self.clock_ms)

    def finish(self, task: str, kind: EndKind) -> None:
        """End a run and record its end."""
        run = self._runs.pop(task)
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run.run)
        self._last_end_number += 1
        self._ends.append(
            RunEnd(self._last_end_number, task, run.run, kind, run.checkpoint)
        )
        self._run_log.record_end(task, run.run, self.minion_id, kind.value)
        self._run_log.gangs.record_end(task, run.run, kind)

    def advance(self) -> None:
        """End runs that are due, and all runs once the lease has expired."""
        if self.clock_ms > self._lease_end_ms:
            for task in list(self._runs):
                self.finish(task, EndKind.lapsed)
        for task, run in list(self._runs.items()):
            kind = self._end_kind_if_due(task, run)
            if kind is not None:
                self.finish(task, kind)

    def crash(self) -> None:
        """Crash the minion and drop all runs without reporting their ends."""
        self.is_crashed = True
        for task, run in self._runs.items():
            self._run_log.record_end(task, run.run, self.minion_id, 'crashed')
            self._run_log.gangs.record_end(task, run.run, None)
        self._runs.clear()

    def defer_start(self, request: StartRequest, token: int) -> None:
        """Keep a start until ``apply_deferred_starts`` carries it out."""
        self._deferred_starts.append((request, token))

    def apply_deferred_starts(self) -> list[Started | StartRefused]:
        """Carry out the deferred starts."""
        deferred = self._deferred_starts
        self._deferred_starts = []
        return [self.start(request, token) for request, token in deferred]

    def _discard_ends(self, recorded_up_to: int) -> None:
        kept = [end for end in self._ends if end.number > recorded_up_to]
        for discarded in self._ends[: len(self._ends) - len(kept)]:
            self._run_log.acknowledge(discarded)
        self._ends = kept

    def _end_kind_if_due(self, task: str, run: _Run) -> EndKind | None:
        elapsed_ms = self.clock_ms - run.started_ms
        if self.fault is MinionFault.failing and elapsed_ms > _FAIL_AFTER_MS:
            return EndKind.failed
        if self._run_log.gangs.is_gang(task):
            return self._run_log.gangs.end_kind_if_due(
                task, run.run, elapsed_ms, self._duration_ms(task)
            )
        is_complete = elapsed_ms >= self._duration_ms(task)
        if is_complete and self.fault is not MinionFault.stuck:
            return EndKind.done
        return None

    def _progress_percent(self, task: str, run: _Run) -> int:
        if self.fault is MinionFault.stuck:
            return 0
        elapsed_ms = self.clock_ms - run.started_ms
        return min(
            _PERCENT - 1, elapsed_ms * _PERCENT // self._duration_ms(task)
        )


class ModelMinionClient(MinionClient):
    """Client that calls a stand-in within the same process."""

    def __init__(self, model: MinionModel) -> None:
        """Create a client of ``model``."""
        self._model = model

    async def poll(
        self, token: int, recorded_up_to: int, lease_end_ms: int, wait_ms: int
    ) -> MinionState | OtherIncarnation | Unhealthy | NoAnswer:
        """Extend the lease and return the state of all runs."""
        deadline_ms = self._model.clock_ms + wait_ms
        while True:
            await asyncio.sleep(_POLL_S)
            if self._model.is_crashed:
                return NotListening('connection refused')
            if self._is_unreachable:
                return NoAnswer('minion unreachable')
            outcome = self._model.poll(token, recorded_up_to, lease_end_ms)
            if isinstance(outcome, StartRefused):
                return NoAnswer(f'refused: {outcome.reason.value}')
            if outcome.ended or outcome.clock_ms >= deadline_ms:
                return outcome

    async def start(
        self, request: StartRequest, token: int
    ) -> Started | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Start a run."""
        if self._is_unreachable:
            return NoAnswer('minion unreachable')
        if self._model.fault is MinionFault.late_starts:
            self._model.defer_start(request, token)
            return NoAnswer('start deferred')
        outcome = self._model.start(request, token)
        if self._model.is_crashed:
            return ConnectionClosed('minion crashed')
        if self._model.fault is MinionFault.lose_answers:
            return NoAnswer('answer dropped')
        return outcome

    async def stop(
        self, task: str, run: int, token: int
    ) -> Stopped | StartRefused | OtherIncarnation | Unhealthy | NoAnswer:
        """Stop a run."""
        if self._is_unreachable:
            return NoAnswer('minion unreachable')
        return self._model.stop(task, run, token)

    def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    @property
    def _is_unreachable(self) -> bool:
        return self._model.is_crashed or self._model.fault is MinionFault.cut
