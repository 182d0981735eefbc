"""A simulated task of the worker stand-in."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

import msgspec

from dragonflynotch.core.errors import PlatformUnavailableError
from dragonflynotch.services.object_store import ObjectStore
from dragonflynotch.services.worker import (
    LAPSE_LABEL,
    LaunchTask,
    TaskPhase,
    TaskStatus,
)

__all__ = ('SimulatedTask', 'TaskProgram')

_STEP_S = 0.02
_LAPSE_CHECKPOINT_LIMIT_S = 2.0


class TaskProgram(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a simulated task does; JSON text in ``LaunchTask.program``.

    Parameters
    ----------
    seconds : float
        Computing time until the end.
    cores_used, memory_used_mb : float, int
        Usage that is reported while it runs.
    fails : bool
        Whether it fails at the end instead of finishing.
    checkpoint_interval_s : float
        Time between periodic checkpoints; 0 for none.
    """

    seconds: float = 1.0
    cores_used: float = 1
    memory_used_mb: int = 512
    fails: bool = False
    checkpoint_interval_s: float = 0


class _Checkpoint(msgspec.Struct, frozen=True):
    work_done_s: float


class SimulatedTask:
    """One task: held, then computing until its end, a stop or a lease lapse.

    Parameters
    ----------
    command : LaunchTask
        How it was launched.
    store : ObjectStore
        Receives the checkpoints.
    lease_end_s : callable
        Returns the end of the worker's lease in monotonic seconds.
    usage_lag_s : float
        Age of the reported usage.
    """

    def __init__(
        self,
        command: LaunchTask,
        store: ObjectStore,
        lease_end_s: Callable[[], float],
        usage_lag_s: float,
    ) -> None:
        """Hold the task; it computes after ``start``."""
        self.phase = TaskPhase.held
        self.reason = ''
        self._command = command
        self._store = store
        self._lease_end_s = lease_end_s
        self._usage_lag_s = usage_lag_s
        self._program = msgspec.json.decode(
            command.program or '{}', type=TaskProgram
        )
        self._is_throttled = False
        self._checkpoint = command.checkpoint
        self._saved_s: float = 0
        self._periodic = 0
        self._work_s: float = 0
        self._usage: deque[tuple[float, float, int]] = deque()
        self._stop_limit_s: float = 0
        self._stop_label = ''
        self._wanted_label = ''

    @property
    def is_final(self) -> bool:
        """Whether the task holds no accelerators any more."""
        return self.phase in {
            TaskPhase.finished,
            TaskPhase.failed,
            TaskPhase.stopped,
        }

    @property
    def status(self) -> TaskStatus:
        """The task as the worker reports it."""
        _, cores, memory_mb = self._lagged_usage()
        return TaskStatus(
            self._command.job_id,
            self._command.attempt,
            self.phase,
            self._command.accelerators,
            self._command.is_checkpointable,
            self._checkpoint,
            int(self._saved_s * 1000),
            cores,
            memory_mb,
            self.reason,
        )

    def start(self) -> bool:
        """Let the task compute and return whether it was held."""
        was_held = self.phase is TaskPhase.held
        if was_held:
            self.phase = TaskPhase.running
        return was_held

    def request_checkpoint(self, label: str) -> None:
        """Write a checkpoint at the next step."""
        self._wanted_label = label

    def throttle(self) -> None:
        """Report at most the declared size from now on."""
        self._is_throttled = True

    def stop(self, limit_s: float, label: str = LAPSE_LABEL) -> None:
        """Stop; a held task stops at once."""
        if self.phase is TaskPhase.held:
            self.phase = TaskPhase.stopped
        elif self.phase is TaskPhase.running:
            self.phase = TaskPhase.stopping
            self._stop_limit_s = limit_s
            self._stop_label = label

    def fail(self, reason: str) -> None:
        """End the task with a failure."""
        self.phase = TaskPhase.failed
        self.reason = reason

    async def run(self) -> None:
        """Compute step by step until the task ends."""
        await self._resume()
        last_s = time.monotonic()
        while not self.is_final:
            await asyncio.sleep(_STEP_S)
            now_s = time.monotonic()
            lease_end_s = self._lease_end_s()
            if self.phase is TaskPhase.running:
                # Time after the end of the lease is not computing time.
                self._work_s += max(min(now_s, lease_end_s) - last_s, 0)
                self._record_usage(now_s)
            last_s = now_s
            if now_s >= lease_end_s:
                await self._lapse()
            else:
                await self._step()

    async def _step(self) -> None:
        if self.phase is TaskPhase.stopping:
            await self._save(self._stop_limit_s, self._stop_label)
            self.phase = TaskPhase.stopped
        elif self.phase is TaskPhase.running:
            if self._work_s >= self._program.seconds:
                self._end()
            elif self._wanted_label:
                label = self._wanted_label
                self._wanted_label = ''
                await self._save(_LAPSE_CHECKPOINT_LIMIT_S, label)
            elif self._is_checkpoint_due():
                self._periodic += 1
                label = f'periodic-{self._periodic}'
                await self._save(_LAPSE_CHECKPOINT_LIMIT_S, label)

    def _end(self) -> None:
        if self._program.fails:
            self.fail('program failed')
        else:
            self.phase = TaskPhase.finished

    def _is_checkpoint_due(self) -> bool:
        interval_s = self._program.checkpoint_interval_s
        return 0 < interval_s <= self._work_s - self._saved_s

    async def _lapse(self) -> None:
        was_running = self.phase is not TaskPhase.held
        self.phase = TaskPhase.stopped
        self.reason = 'lease lapsed'
        if was_running:
            await self._save(_LAPSE_CHECKPOINT_LIMIT_S, LAPSE_LABEL)

    async def _resume(self) -> None:
        if not self._command.checkpoint:
            return
        content = None
        with suppress(PlatformUnavailableError):
            content = await self._store.get(self._command.checkpoint)
        if content is None:
            self.fail('checkpoint is not readable')
            return
        saved = msgspec.json.decode(content, type=_Checkpoint)
        self._work_s = saved.work_done_s
        self._saved_s = saved.work_done_s

    async def _save(self, limit_s: float, label: str) -> None:
        if not self._command.is_checkpointable or limit_s <= 0:
            return
        work_s = self._work_s
        key = '/'.join(
            (
                'checkpoint',
                self._command.job_id,
                str(self._command.attempt),
                label,
            )
        )
        content = msgspec.json.encode(_Checkpoint(work_s))
        try:
            async with asyncio.timeout(limit_s):
                await self._store.put(key, content)
        except (TimeoutError, PlatformUnavailableError):
            return
        self._checkpoint = key
        self._saved_s = work_s

    def _record_usage(self, now_s: float) -> None:
        cores, memory_mb = (
            self._program.cores_used,
            self._program.memory_used_mb,
        )
        if self._is_throttled:
            cores = min(cores, self._command.cores)
            memory_mb = min(memory_mb, self._command.memory_mb)
        self._usage.append((now_s, cores, memory_mb))

    def _lagged_usage(self) -> tuple[float, float, int]:
        oldest_s = time.monotonic() - self._usage_lag_s
        while len(self._usage) > 1 and self._usage[1][0] <= oldest_s:
            self._usage.popleft()
        if self._usage and self._usage[0][0] <= oldest_s:
            return self._usage[0]
        return (oldest_s, 0, 0)
