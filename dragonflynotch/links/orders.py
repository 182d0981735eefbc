"""Orders of a partition owner to a guard and the guard's report, as JSON."""

from enum import Enum

import msgspec

__all__ = (
    'CheckpointOrder',
    'ConfirmOrder',
    'GuardReport',
    'MemberPhase',
    'MemberStatus',
    'Order',
    'OrderBatch',
    'OrderReply',
    'PrepareOrder',
    'Refusal',
    'ReleaseOrder',
    'StartOrder',
    'StopOrder',
    'ThrottleOrder',
)


class MemberPhase(Enum):
    """How far a member is at its guard."""

    preparing = 'preparing'
    prepared = 'prepared'
    starting = 'starting'
    running = 'running'
    stopping = 'stopping'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'

    @property
    def is_final(self) -> bool:
        """Whether the member holds nothing on the worker any more."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset(
    (MemberPhase.finished, MemberPhase.failed, MemberPhase.stopped)
)


class _Order(msgspec.Struct, frozen=True, tag_field='order'):
    job_id: str
    attempt: int


class PrepareOrder(_Order, frozen=True, tag='prepare'):
    """Reserve the accelerators and launch the task, held."""

    accelerators: tuple[int, ...]
    cores: float
    memory_mb: int
    command: str
    checkpoint: str
    is_checkpointable: bool


class StartOrder(_Order, frozen=True, tag='start'):
    """Let the prepared task compute."""


class ConfirmOrder(_Order, frozen=True, tag='confirm'):
    """All members of the attempt run; without it a member stops by itself."""


class CheckpointOrder(_Order, frozen=True, tag='checkpoint'):
    """Write a checkpoint and continue.

    ``label`` is the same for all members, so that their parts form one
    checkpoint of the gang.
    """

    label: str = ''


class ThrottleOrder(_Order, frozen=True, tag='throttle'):
    """Limit the task to its declared size."""


class StopOrder(_Order, frozen=True, tag='stop'):
    """Stop the task; a limit of zero means without a checkpoint."""

    checkpoint_limit_ms: int = 0
    label: str = ''


class ReleaseOrder(_Order, frozen=True, tag='release'):
    """Stop the task if it still runs and forget its outcome."""


Order = (
    PrepareOrder
    | StartOrder
    | ConfirmOrder
    | CheckpointOrder
    | ThrottleOrder
    | StopOrder
    | ReleaseOrder
)


class OrderBatch(msgspec.Struct, frozen=True):
    """Orders of one owner, carried out in this sequence.

    ``incarnation`` is that of the guard's process: a restarted guard has
    forgotten which attempts it was told to stop.
    """

    owner: str
    fence: int
    orders: tuple[Order, ...]
    incarnation: int


class Refusal(msgspec.Struct, frozen=True):
    """An order that was not carried out and never will be."""

    job_id: str
    attempt: int
    reason: str


class OrderReply(msgspec.Struct, frozen=True):
    """Answer to a batch.

    ``reason`` is empty if the batch was carried out; then ``refusals`` names
    the refused orders.
    """

    highest_fence: int
    reason: str = ''
    refusals: tuple[Refusal, ...] = ()


class MemberStatus(msgspec.Struct, frozen=True):
    """A member in a report."""

    job_id: str
    attempt: int
    phase: MemberPhase
    accelerators: tuple[int, ...]
    is_confirmed: bool = False
    checkpoint: str = ''
    work_done_ms: int = 0
    cores_used: float = 0
    memory_used_mb: int = 0
    reason: str = ''

    @property
    def key(self) -> tuple[str, int]:
        """Job and attempt."""
        return (self.job_id, self.attempt)


class GuardReport(msgspec.Struct, frozen=True):
    """All members that a guard holds or has an outcome of."""

    guard_id: str
    incarnation: int
    highest_fence: int
    task_digest: int
    members: tuple[MemberStatus, ...]
