"""Simulated task of the stand-in worker."""

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

_STEP_INTERVAL_S = 0.02
_CHECKPOINT_TIMEOUT_S = 2.0


class TaskProgram(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour of a simulated task, as JSON in ``LaunchTask.program``.

    Parameters
    ----------
    seconds : float
        Computing time of the task.
    cores_used, memory_used_mb : float, int
        Usage that is reported while the task runs.
    fails : bool
        Whether the task fails instead of finishing.
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
    """One task, held until its start, then running until it ends.

    A task ends when its computing time is reached, when it is stopped or when
    the lease of the worker expires.

    Parameters
    ----------
    command : LaunchTask
        Command that launched the task.
    store : ObjectStore
        Store for the checkpoints.
    lease_end_s : callable
        Returns the end of the worker's lease on the monotonic clock.
    usage_lag_s : float
        Delay with which resource usage is reported.
    """

    def __init__(
        self,
        command: LaunchTask,
        store: ObjectStore,
        lease_end_s: Callable[[], float],
        usage_lag_s: float,
    ) -> None:
        """Create the task in the held phase."""
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
        self._checkpointed_work_s: float = 0
        self._periodic_checkpoints = 0
        self._work_s: float = 0
        self._usage_history: deque[tuple[float, float, int]] = deque()
        self._stop_checkpoint_limit_s: float = 0
        self._stop_checkpoint_label = ''
        self._requested_label = ''

    @property
    def is_final(self) -> bool:
        """Whether the task has ended and released its accelerators."""
        return self.phase in {
            TaskPhase.finished,
            TaskPhase.failed,
            TaskPhase.stopped,
        }

    @property
    def status(self) -> TaskStatus:
        """Status of the task as reported by the worker."""
        _, cores, memory_mb = self._lagged_usage()
        return TaskStatus(
            self._command.job_id,
            self._command.attempt,
            self.phase,
            self._command.accelerators,
            self._command.is_checkpointable,
            self._checkpoint,
            int(self._checkpointed_work_s * 1000),
            cores,
            memory_mb,
            self.reason,
        )

    def start(self) -> bool:
        """Start a held task and return whether it was held."""
        was_held = self.phase is TaskPhase.held
        if was_held:
            self.phase = TaskPhase.running
        return was_held

    def request_checkpoint(self, label: str) -> None:
        """Request a checkpoint at the next step."""
        self._requested_label = label

    def throttle(self) -> None:
        """Limit the reported usage to the declared size."""
        self._is_throttled = True

    def stop(self, limit_s: float, label: str = LAPSE_LABEL) -> None:
        """Stop the task; a checkpointable task first writes a checkpoint."""
        if self.phase is TaskPhase.held:
            self.phase = TaskPhase.stopped
        elif self.phase is TaskPhase.running:
            self.phase = TaskPhase.stopping
            self._stop_checkpoint_limit_s = limit_s
            self._stop_checkpoint_label = label

    def fail(self, reason: str) -> None:
        """End the task with a failure."""
        self.phase = TaskPhase.failed
        self.reason = reason

    async def run(self) -> None:
        """Run the task in small steps until it ends."""
        await self._restore_checkpoint()
        last_s = time.monotonic()
        while not self.is_final:
            await asyncio.sleep(_STEP_INTERVAL_S)
            now_s = time.monotonic()
            lease_end_s = self._lease_end_s()
            if self.phase is TaskPhase.running:
                # Time after the end of the lease does not count as work.
                self._work_s += max(min(now_s, lease_end_s) - last_s, 0)
                self._record_usage(now_s)
            last_s = now_s
            if now_s >= lease_end_s:
                await self._expire()
            else:
                await self._step()

    async def _step(self) -> None:
        if self.phase is TaskPhase.stopping:
            await self._write_checkpoint(
                self._stop_checkpoint_limit_s, self._stop_checkpoint_label
            )
            self.phase = TaskPhase.stopped
        elif self.phase is TaskPhase.running:
            if self._work_s >= self._program.seconds:
                self._end()
            elif self._requested_label:
                label = self._requested_label
                self._requested_label = ''
                await self._write_checkpoint(_CHECKPOINT_TIMEOUT_S, label)
            elif self._is_checkpoint_due():
                self._periodic_checkpoints += 1
                label = f'periodic-{self._periodic_checkpoints}'
                await self._write_checkpoint(_CHECKPOINT_TIMEOUT_S, label)

    def _end(self) -> None:
        if self._program.fails:
            self.fail('program ended with a failure')
        else:
            self.phase = TaskPhase.finished

    def _is_checkpoint_due(self) -> bool:
        interval_s = self._program.checkpoint_interval_s
        return 0 < interval_s <= self._work_s - self._checkpointed_work_s

    async def _expire(self) -> None:
        was_running = self.phase is not TaskPhase.held
        self.phase = TaskPhase.stopped
        self.reason = 'lease expired'
        if was_running:
            await self._write_checkpoint(_CHECKPOINT_TIMEOUT_S, LAPSE_LABEL)

    async def _restore_checkpoint(self) -> None:
        if not self._command.checkpoint:
            return
        content = None
        with suppress(PlatformUnavailableError):
            content = await self._store.get(self._command.checkpoint)
        if content is None:
            self.fail(
                f'checkpoint {self._command.checkpoint!r} is not readable'
            )
            return
        saved = msgspec.json.decode(content, type=_Checkpoint)
        self._work_s = saved.work_done_s
        self._checkpointed_work_s = saved.work_done_s

    async def _write_checkpoint(self, limit_s: float, label: str) -> None:
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
        self._checkpointed_work_s = work_s

    def _record_usage(self, now_s: float) -> None:
        cores, memory_mb = (
            self._program.cores_used,
            self._program.memory_used_mb,
        )
        if self._is_throttled:
            cores = min(cores, self._command.cores)
            memory_mb = min(memory_mb, self._command.memory_mb)
        self._usage_history.append((now_s, cores, memory_mb))

    def _lagged_usage(self) -> tuple[float, float, int]:
        oldest_s = time.monotonic() - self._usage_lag_s
        while (
            len(self._usage_history) > 1
            and self._usage_history[1][0] <= oldest_s
        ):
            self._usage_history.popleft()
        if self._usage_history and self._usage_history[0][0] <= oldest_s:
            return self._usage_history[0]
        return (oldest_s, 0, 0)
