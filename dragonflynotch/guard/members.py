"""Gang members that a guard holds, and the accelerators they reserve."""

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

# Bounds the memory for attempts that must not be prepared any more; an order
# can only arrive late by as much as its sender retries it.
_CLOSED_LIMIT = 4096


@dataclass(slots=True)
class Member:
    """One gang member and what the guard still has to do with it."""

    order: PrepareOrder
    phase: MemberPhase = MemberPhase.preparing
    is_confirmed: bool = False
    confirm_by: datetime | None = None
    stop_limit_ms: int = 0
    is_released: bool = False
    stop_label: str = ''
    wanted_label: str = ''
    wants_throttle: bool = False
    checkpoint: str = ''
    work_done_ms: int = 0
    cores_used: float = 0
    memory_used_mb: int = 0
    reason: str = ''

    @property
    def key(self) -> MemberKey:
        """Job and attempt."""
        return (self.order.job_id, self.order.attempt)

    @property
    def status(self) -> MemberStatus:
        """The member as the report shows it."""
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
        self, limit_ms: int, reason: str, label: str = LAPSE_LABEL
    ) -> None:
        """Stop the member unless it ended; the first reason stays."""
        if self.phase.is_final:
            return
        if self.phase is MemberPhase.stopping:
            self.stop_limit_ms = min(self.stop_limit_ms, limit_ms)
            return
        self.phase = MemberPhase.stopping
        self.stop_limit_ms = limit_ms
        self.stop_label = label
        self.reason = reason

    def end(self, phase: MemberPhase, reason: str = '') -> None:
        """Record the outcome; the accelerators are free."""
        self.phase = phase
        self.reason = self.reason or reason

    def observe(self, task: TaskStatus) -> None:
        """Take over what the worker says of the task."""
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
    """Members by job and attempt; an accelerator holds one member."""

    def __init__(self, accelerators: int) -> None:
        """Create an empty table for a worker with that many accelerators."""
        self._accelerators = accelerators
        self._members: dict[MemberKey, Member] = {}
        self._closed: OrderedDict[str, int] = OrderedDict()

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all members, also those that ended."""
        return iter(tuple(self._members.values()))

    @property
    def active(self) -> tuple[Member, ...]:
        """Members that hold their accelerators."""
        return tuple(each for each in self if not each.phase.is_final)

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators without a member."""
        return self._accelerators - len(self._taken())

    @property
    def statuses(self) -> tuple[MemberStatus, ...]:
        """All members as the report shows them."""
        return tuple(member.status for member in self)

    @property
    def progress(self) -> tuple[tuple[MemberKey, MemberPhase, str], ...]:
        """What the owner has to learn of without delay."""
        return tuple(
            (member.key, member.phase, member.checkpoint) for member in self
        )

    def digest(self, fence: int) -> int:
        """Return a checksum that changes with the report."""
        content = msgspec.json.encode((fence, self.statuses))
        return zlib.crc32(content)

    def find(self, key: MemberKey) -> Member | None:
        """Return a member, or ``None`` if the guard does not know it."""
        return self._members.get(key)

    def refusal(self, order: PrepareOrder) -> str:
        """Return why the member can't be reserved; empty if it can."""
        if order.attempt <= self._closed.get(order.job_id, 0):
            return 'attempt_closed'
        wanted = set(order.accelerators)
        if not wanted <= set(range(self._accelerators)):
            return 'unknown_accelerator'
        return 'accelerators_taken' if wanted & self._taken() else ''

    def add(self, member: Member) -> None:
        """Reserve the accelerators of a member."""
        self._members[member.key] = member

    def close(self, key: MemberKey) -> None:
        """Refuse the attempt, and earlier ones of the job, from now on."""
        job_id, attempt = key
        self._closed[job_id] = max(attempt, self._closed.get(job_id, 0))
        self._closed.move_to_end(job_id)
        if len(self._closed) > _CLOSED_LIMIT:
            self._closed.popitem(last=False)

    def remove(self, key: MemberKey) -> None:
        """Forget a member."""
        self._members.pop(key, None)

    def _taken(self) -> set[int]:
        return {
            index
            for member in self.active
            for index in member.order.accelerators
        }
