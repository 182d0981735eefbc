"""Interface and HTTP client of a worker, the machine with accelerators."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from enum import Enum

import msgspec

from dragonflynotch.core.errors import LinkError
from dragonflynotch.links.http11 import exchange

__all__ = (
    'LAPSE_LABEL',
    'CheckpointTask',
    'ForgetTask',
    'HttpWorkerRuntime',
    'LaunchTask',
    'StartTask',
    'StopTask',
    'TaskCommand',
    'TaskPhase',
    'TaskStatus',
    'ThrottleTask',
    'WorkerCall',
    'WorkerRuntime',
    'WorkerView',
)

# All members of a gang lapse under this label, so that their parts fit.
LAPSE_LABEL = 'lapse'
_HTTP_OK = 200
_MAX_VIEW_BYTES = 1024 * 1024


class TaskPhase(Enum):
    """State of a task on its worker."""

    held = 'held'
    running = 'running'
    stopping = 'stopping'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'


class _TaskCommand(msgspec.Struct, frozen=True, tag_field='command'):
    job_id: str
    attempt: int


class LaunchTask(_TaskCommand, frozen=True, tag='launch'):
    """Launch a task, held before its first step."""

    accelerators: tuple[int, ...]
    cores: float
    memory_mb: int
    program: str
    checkpoint: str
    is_checkpointable: bool


class StartTask(_TaskCommand, frozen=True, tag='start'):
    """Let a held task compute."""


class CheckpointTask(_TaskCommand, frozen=True, tag='checkpoint'):
    """Write a checkpoint and continue.

    The checkpoint is named ``checkpoint/{job}/{attempt}/{label}``; the members
    of a gang get the same label.
    """

    label: str = ''


class ThrottleTask(_TaskCommand, frozen=True, tag='throttle'):
    """Limit a task to its declared size."""


class StopTask(_TaskCommand, frozen=True, tag='stop'):
    """Stop a task, with a checkpoint if the limit is not zero."""

    checkpoint_limit_ms: int = 0
    label: str = ''


class ForgetTask(_TaskCommand, frozen=True, tag='forget'):
    """Stop a task if it still runs and drop its outcome."""


TaskCommand = (
    LaunchTask
    | StartTask
    | CheckpointTask
    | ThrottleTask
    | StopTask
    | ForgetTask
)


class WorkerCall(msgspec.Struct, frozen=True):
    """One call: fence, end of the lease on the worker's clock, commands.

    ``lease_end_ms`` is 0 to leave the lease as it is.
    """

    fence: int = 0
    lease_end_ms: int = 0
    commands: tuple[TaskCommand, ...] = ()


class TaskStatus(msgspec.Struct, frozen=True):
    """A task as its worker sees it."""

    job_id: str
    attempt: int
    phase: TaskPhase
    accelerators: tuple[int, ...]
    is_checkpointable: bool = True
    checkpoint: str = ''
    work_done_ms: int = 0
    cores_used: float = 0
    memory_used_mb: int = 0
    reason: str = ''


class WorkerView(msgspec.Struct, frozen=True):
    """All tasks of a worker with its clock, lease and highest fence."""

    clock_ms: int
    lease_end_ms: int
    highest_fence: int
    tasks: tuple[TaskStatus, ...] = ()


class WorkerRuntime(ABC):
    """Runs tasks on one worker, under a lease on the worker's own clock.

    A task whose lease ends stops computing and writes a checkpoint with the
    label ``LAPSE_LABEL``.
    """

    @abstractmethod
    async def apply(
        self,
        *,
        fence: int = 0,
        lease_end_ms: int = 0,
        commands: Sequence[TaskCommand] = (),
    ) -> WorkerView:
        """Set the lease, carry out commands and return all tasks.

        Commands are idempotent. A worker refuses a fence below the highest
        that it has seen.

        Raises
        ------
        LinkError
            If no whole answer arrived, or the worker refused the call.
        """


class HttpWorkerRuntime(WorkerRuntime):
    """Worker reached over HTTP."""

    def __init__(self, address: tuple[str, int], timeout: timedelta) -> None:
        """Talk to the worker at ``address`` with a limit for each call."""
        self._address = address
        self._timeout = timeout

    async def apply(
        self,
        *,
        fence: int = 0,
        lease_end_ms: int = 0,
        commands: Sequence[TaskCommand] = (),
    ) -> WorkerView:
        """Set the lease, carry out commands and return all tasks."""
        call = WorkerCall(fence, lease_end_ms, tuple(commands))
        reply = await exchange(
            self._address,
            'POST',
            '/v1/tasks',
            body=msgspec.json.encode(call),
            timeout=self._timeout,
            max_body_bytes=_MAX_VIEW_BYTES,
        )
        peer = f'{self._address[0]}:{self._address[1]}'
        if reply.status != _HTTP_OK:
            raise LinkError(
                f'worker answered with status {reply.status}',
                step='command worker',
                peer=peer,
            )
        try:
            return msgspec.json.decode(reply.body, type=WorkerView)
        except msgspec.DecodeError as error:
            raise LinkError(
                f'malformed answer: {error}', step='command worker', peer=peer
            ) from error
