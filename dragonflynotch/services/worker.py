"""Interface and HTTP client of a worker, the machine with accelerators."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from enum import Enum

import msgspec

from dragonflynotch.core.errors import LinkError
from dragonflynotch.core.untrusted import Unreadable, decode_untrusted
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

# Label of the checkpoints written when a lease expires. It is the same for all
# members of a gang, so that their checkpoints belong together.
LAPSE_LABEL = 'lapse'
_HTTP_OK = 200
_MAX_RESPONSE_BYTES = 1024 * 1024


class TaskPhase(Enum):
    """State of a task on its worker.

    A ``held`` task is launched but does not compute yet.
    """

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
    """Launch a task that does not compute until ``StartTask``."""

    accelerators: tuple[int, ...]
    cores: float
    memory_mb: int
    program: str
    checkpoint: str
    is_checkpointable: bool


class StartTask(_TaskCommand, frozen=True, tag='start'):
    """Let a launched task begin to compute."""


class CheckpointTask(_TaskCommand, frozen=True, tag='checkpoint'):
    """Let a task write a checkpoint and continue.

    The checkpoint is named ``checkpoint/{job}/{attempt}/{label}``. All members
    of a gang use the same label.
    """

    label: str = ''


class ThrottleTask(_TaskCommand, frozen=True, tag='throttle'):
    """Limit a task to the cores and the memory of its launch."""


class StopTask(_TaskCommand, frozen=True, tag='stop'):
    """Stop a task.

    If ``checkpoint_limit_ms`` is not 0, the task may first write a checkpoint
    within this time.
    """

    checkpoint_limit_ms: int = 0
    label: str = ''


class ForgetTask(_TaskCommand, frozen=True, tag='forget'):
    """Stop a task if it is still running, and discard its outcome."""


TaskCommand = (
    LaunchTask
    | StartTask
    | CheckpointTask
    | ThrottleTask
    | StopTask
    | ForgetTask
)


class WorkerCall(msgspec.Struct, frozen=True):
    """Body of a call to a worker.

    ``fence`` is the fencing token of the caller. ``lease_end_ms`` is the new
    end of the lease in time of the worker's clock; 0 leaves it unchanged.
    """

    fence: int = 0
    lease_end_ms: int = 0
    commands: tuple[TaskCommand, ...] = ()


class TaskStatus(msgspec.Struct, frozen=True):
    """State of a task, reported by its worker."""

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
    """State of a worker: its clock, its lease and all its tasks.

    ``highest_fence`` is the highest fencing token that the worker has received.
    ``incarnation`` differs after each start of the worker; ``''`` if the worker
    does not tell.
    """

    clock_ms: int
    lease_end_ms: int
    highest_fence: int
    tasks: tuple[TaskStatus, ...] = ()
    incarnation: str = ''

    def is_restart_of(self, earlier: 'WorkerView | None') -> bool:
        """Return whether the worker has certainly restarted in between."""
        if earlier is None or not earlier.incarnation:
            return False
        return self.incarnation not in {'', earlier.incarnation}


_view_decoder = msgspec.json.Decoder(WorkerView)


class WorkerRuntime(ABC):
    """Runs tasks on one worker, under a lease on the worker's own clock.

    When the lease expires, the tasks stop computing and write checkpoints with
    the label ``LAPSE_LABEL``.
    """

    @abstractmethod
    async def apply(
        self,
        *,
        fence: int = 0,
        lease_end_ms: int = 0,
        commands: Sequence[TaskCommand] = (),
    ) -> WorkerView:
        """Set the lease, execute commands and return the worker's state.

        Commands are idempotent. A worker refuses a fencing token below the
        highest that it has received.

        Raises
        ------
        LinkError
            If no complete response arrived, or the worker refused the call.
        """


class HttpWorkerRuntime(WorkerRuntime):
    """Worker reached over HTTP."""

    def __init__(self, address: tuple[str, int], timeout: timedelta) -> None:
        """Create the client; ``timeout`` limits each call."""
        self._address = address
        self._timeout = timeout

    async def apply(
        self,
        *,
        fence: int = 0,
        lease_end_ms: int = 0,
        commands: Sequence[TaskCommand] = (),
    ) -> WorkerView:
        """Set the lease, execute commands and return the worker's state."""
        call = WorkerCall(fence, lease_end_ms, tuple(commands))
        reply = await exchange(
            self._address,
            'POST',
            '/v1/tasks',
            body=msgspec.json.encode(call),
            timeout=self._timeout,
            max_body_bytes=_MAX_RESPONSE_BYTES,
        )
        peer = f'{self._address[0]}:{self._address[1]}'
        if reply.status != _HTTP_OK:
            raise LinkError(
                f'worker responded with status {reply.status}',
                step='command worker',
                peer=peer,
            )
        view = decode_untrusted(_view_decoder.decode, reply.body)
        if isinstance(view, Unreadable):
            raise LinkError(
                f'malformed response: {view.reason}',
                step='command worker',
                peer=peer,
            )
        return view
