"""JSON messages for orders of a partition owner and reports of a guard."""

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
    """Phase of a gang member on its guard."""

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
        """Whether the member ended and uses no resources of the worker."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset(
    (MemberPhase.finished, MemberPhase.failed, MemberPhase.stopped)
)


class _Order(msgspec.Struct, frozen=True, tag_field='order'):
    job_id: str
    attempt: int


class PrepareOrder(_Order, frozen=True, tag='prepare'):
    """Reserve the accelerators and launch the task without starting it."""

    accelerators: tuple[int, ...]
    cores: float
    memory_mb: int
    command: str
    checkpoint: str
    is_checkpointable: bool


class StartOrder(_Order, frozen=True, tag='start'):
    """Start the prepared task."""


class ConfirmOrder(_Order, frozen=True, tag='confirm'):
    """Confirm that all members of the attempt run.

    A member stops on its own if the confirmation does not arrive in time.
    """


class CheckpointOrder(_Order, frozen=True, tag='checkpoint'):
    """Write a checkpoint and continue.

    All members of a gang get the same ``label``, so that their parts form one
    checkpoint.
    """

    label: str = ''


class ThrottleOrder(_Order, frozen=True, tag='throttle'):
    """Limit the task to its declared size."""


class StopOrder(_Order, frozen=True, tag='stop'):
    """Stop the task, with a checkpoint unless the limit is zero."""

    checkpoint_limit_ms: int = 0
    label: str = ''


class ReleaseOrder(_Order, frozen=True, tag='release'):
    """Stop the task if it still runs and drop its outcome."""


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
    """Orders of one owner, applied in this sequence.

    ``incarnation`` identifies the guard process that the batch is meant for. A
    restarted guard no longer knows which attempts it was told to stop, so it
    must not apply older orders.
    """

    owner: str
    fence: int
    orders: tuple[Order, ...]
    incarnation: int


class Refusal(msgspec.Struct, frozen=True):
    """An order that was not applied and never will be."""

    job_id: str
    attempt: int
    reason: str


class OrderReply(msgspec.Struct, frozen=True):
    """Response to a batch.

    ``reason`` says why the whole batch was refused. It is empty if the batch
    was applied; ``refusals`` then lists single orders that were refused.
    """

    highest_fence: int
    reason: str = ''
    refusals: tuple[Refusal, ...] = ()


class MemberStatus(msgspec.Struct, frozen=True):
    """State of a member in a report."""

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
        """Job id and attempt number."""
        return (self.job_id, self.attempt)


class GuardReport(msgspec.Struct, frozen=True):
    """All members of a guard, including ended ones until their release."""

    guard_id: str
    incarnation: int
    highest_fence: int
    task_digest: int
    members: tuple[MemberStatus, ...]
