"""Gang members of a guard and their accelerator reservations."""

import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

import msgspec

from dragonflynotch.links.orders import MemberPhase, MemberStatus, PrepareOrder
from dragonflynotch.services.worker import LAPSE_LABEL, TaskPhase, TaskStatus

__all__ = ('Member', 'MemberKey', 'MemberTable')

MemberKey = tuple[str, int]

# Jobs whose closed attempts are kept. The limit bounds memory use; an order can
# only arrive late while its sender still retries it.
_MAX_CLOSED_JOBS = 4096


@dataclass(slots=True)
class Member:
    """State of one gang member and the actions that are still pending.

    Parameters
    ----------
    order : PrepareOrder
        The order that reserved the member.
    phase : MemberPhase
        Current phase.
    is_confirmed : bool
        Whether the owner confirmed that all members of the gang run.
    confirmation_deadline : datetime, optional
        When an unconfirmed member is stopped.
    checkpoint_limit_ms : int
        Time for the checkpoint of a stop; 0 stops without a checkpoint.
    is_released : bool
        Whether the member is removed once the worker dropped its task.
    stop_checkpoint_label : str
        Label of the checkpoint that a stop writes.
    requested_checkpoint_label : str
        Label of a requested checkpoint that has not been sent to the worker.
    is_throttle_requested : bool
        Whether the task is limited to its declared size.
    is_launch_sent : bool
        Whether the worker may have launched the task.
    checkpoint, work_done_ms, cores_used, memory_used_mb : str, int, float, int
        Last values that the worker reported.
    reason : str
        Why the member stopped or failed.
    """

    order: PrepareOrder
    phase: MemberPhase = MemberPhase.preparing
    is_confirmed: bool = False
    confirmation_deadline: datetime | None = None
    checkpoint_limit_ms: int = 0
    is_released: bool = False
    stop_checkpoint_label: str = ''
    requested_checkpoint_label: str = ''
    is_throttle_requested: bool = False
    is_launch_sent: bool = False
    checkpoint: str = ''
    work_done_ms: int = 0
    cores_used: float = 0
    memory_used_mb: int = 0
    reason: str = ''

    @property
    def key(self) -> MemberKey:
        """Job id and attempt number."""
        return (self.order.job_id, self.order.attempt)

    @property
    def status(self) -> MemberStatus:
        """Status of the member for the report."""
        return MemberStatus(
            self.order.job_id,
            self.order.attempt,
            self.phase,
            self.order.accelerators,
            self.is_confirmed,
            self.checkpoint,
            self.work_done_ms,
            self.cores_used,
            self.memory_used_mb,
            self.reason,
        )

    def stop(
        self, checkpoint_limit_ms: int, reason: str, label: str = LAPSE_LABEL
    ) -> None:
        """Stop the member unless it ended.

        A repeated stop can only shorten the checkpoint limit; label and reason
        of the first one are kept.
        """
        if self.phase.is_final:
            return
        if self.phase is MemberPhase.stopping:
            self.checkpoint_limit_ms = min(
                self.checkpoint_limit_ms, checkpoint_limit_ms
            )
            return
        self.phase = MemberPhase.stopping
        self.checkpoint_limit_ms = checkpoint_limit_ms
        self.stop_checkpoint_label = label
        self.reason = reason

    def end(self, phase: MemberPhase, reason: str = '') -> None:
        """Record the outcome, which frees the accelerators."""
        self.phase = phase
        self.reason = self.reason or reason

    def update_from_task(self, task: TaskStatus) -> None:
        """Update the member from the task status of the worker."""
        self.checkpoint = task.checkpoint
        self.work_done_ms = task.work_done_ms
        self.cores_used = task.cores_used
        self.memory_used_mb = task.memory_used_mb
        match task.phase:
            case TaskPhase.held:
                if self.phase is MemberPhase.preparing:
                    self.phase = MemberPhase.prepared
            case TaskPhase.running | TaskPhase.stopping:
                if self.phase is not MemberPhase.stopping:
                    self.phase = MemberPhase.running
            case TaskPhase.finished:
                self.reason = ''
                self.end(MemberPhase.finished)
            case TaskPhase.failed:
                self.end(MemberPhase.failed, task.reason)
            case TaskPhase.stopped:
                self.end(MemberPhase.stopped, task.reason)


class MemberTable:
    """Members by job and attempt; each accelerator has at most one member."""

    def __init__(self, accelerators: int) -> None:
        """Create an empty table for a worker with that many accelerators."""
        self._accelerators = accelerators
        self._members: dict[MemberKey, Member] = {}
        self._closed_attempts: OrderedDict[str, int] = OrderedDict()

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members, including those that ended."""
        return iter(tuple(self._members.values()))

    @property
    def active(self) -> tuple[Member, ...]:
        """Members that have not ended, so they reserve accelerators."""
        return tuple(member for member in self if not member.phase.is_final)

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators that no member reserves."""
        return self._accelerators - len(self._reserved_accelerators())

    @property
    def statuses(self) -> tuple[MemberStatus, ...]:
        """Statuses of all members for the report."""
        return tuple(member.status for member in self)

    @property
    def progress(self) -> tuple[tuple[MemberKey, MemberPhase, str], ...]:
        """State whose changes are announced to the owner immediately."""
        return tuple(
            (member.key, member.phase, member.checkpoint) for member in self
        )

    def digest(self, fence: int) -> int:
        """Return a checksum of the report contents."""
        content = msgspec.json.encode((fence, self.statuses))
        return zlib.crc32(content)

    def find(self, key: MemberKey) -> Member | None:
        """Return the member, or ``None`` if there is none."""
        return self._members.get(key)

    def refusal_reason(self, order: PrepareOrder) -> str:
        """Return why the order can't be reserved; empty if it can."""
        if order.attempt <= self._closed_attempts.get(order.job_id, 0):
            return 'attempt_closed'
        requested = set(order.accelerators)
        if not requested <= set(range(self._accelerators)):
            return 'unknown_accelerator'
        return (
            'accelerators_taken'
            if requested & self._reserved_accelerators()
            else ''
        )

    def add(self, member: Member) -> None:
        """Add a member, which reserves its accelerators."""
        self._members[member.key] = member

    def close(self, key: MemberKey) -> None:
        """Refuse to prepare this attempt and earlier ones of the job."""
        job_id, attempt = key
        self._closed_attempts[job_id] = max(
            attempt, self._closed_attempts.get(job_id, 0)
        )
        self._closed_attempts.move_to_end(job_id)
        if len(self._closed_attempts) > _MAX_CLOSED_JOBS:
            self._closed_attempts.popitem(last=False)

    def remove(self, key: MemberKey) -> None:
        """Remove a member if it is present."""
        self._members.pop(key, None)

    def _reserved_accelerators(self) -> set[int]:
        return {
            index
            for member in self.active
            for index in member.order.accelerators
        }
