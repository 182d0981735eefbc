"""State of a gang attempt as known to the owner of the partition."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from dragonflynotch.core.inventory import Allocation, AllocationKind

__all__ = ('Gang', 'GangMember', 'GangPhase', 'MemberPhase', 'Outcome')


class GangPhase(Enum):
    """Phase of a gang attempt."""

    unconfirmed = 'unconfirmed'
    preparing = 'preparing'
    starting = 'starting'
    running = 'running'
    stopping = 'stopping'


class MemberPhase(Enum):
    """Phase of a gang member."""

    ordered = 'ordered'
    prepared = 'prepared'
    running = 'running'
    finished = 'finished'
    released = 'released'


class Outcome(Enum):
    """What happens to the job once its gang has stopped.

    If several are requested, the one with the highest value is applied.
    """

    requeue = 1
    fail = 2
    cancel = 3


@dataclass(slots=True)
class GangMember:
    """A gang member and the resources that it holds.

    Parameters
    ----------
    allocation : Allocation
        Accelerators, cores and memory on its worker.
    phase : MemberPhase
        Latest known phase.
    consecutive_absences : int
        Number of consecutive reports of its guard without the member.
    oversize_reports : int
        Number of consecutive reports with usage above the declared size.
    """

    allocation: Allocation
    phase: MemberPhase = MemberPhase.ordered
    consecutive_absences: int = 0
    oversize_reports: int = 0

    @property
    def holds(self) -> bool:
        """Whether the member still holds its resources."""
        return self.phase not in _ENDED_PHASES


_ENDED_PHASES = frozenset((MemberPhase.finished, MemberPhase.released))


@dataclass(slots=True)
class Gang:
    """One attempt to run a job.

    Parameters
    ----------
    job_id : str
        Job that the gang runs.
    attempt : int
        Attempt number.
    allocation_kind : AllocationKind
        Whether the accelerators are held as guaranteed, firm or lent.
    guarantee_id : int or None
        Identifier of the guarantee that the gang runs on, or None.
    members : dict of str to GangMember
        Members by worker.
    phase : GangPhase
        Phase of the attempt.
    outcome : Outcome
        What happens to the job after a stop.
    reason : str
        Why the gang is stopped, in one sentence.
    started_at : datetime or None
        When all members had started, or None.
    last_checkpoint_at : datetime or None
        When the latest checkpoint became complete, or None.
    prior_work : timedelta
        Work of the job that was done before this attempt.
    stop_ordered_at : datetime or None
        When the latest stop was ordered, or None.
    retry_after : timedelta
        How long the job waits before it returns to the queue.
    checkpoint_limit : timedelta
        How long the checkpoint before the stop may take; zero for none.
    checkpoints : dict of str to dict of str to timedelta
        Work done by worker, for each checkpoint that is not complete yet.
    awaited_members : int
        Number of members whose confirmation of an order is awaited.
    charged_accelerators : int
        Number of accelerators charged to the quota of the workspace.
    """

    job_id: str
    attempt: int
    allocation_kind: AllocationKind
    guarantee_id: int | None
    members: dict[str, GangMember]
    phase: GangPhase = GangPhase.preparing
    outcome: Outcome = Outcome.requeue
    reason: str = ''
    started_at: datetime | None = None
    last_checkpoint_at: datetime | None = None
    prior_work: timedelta = timedelta()
    stop_ordered_at: datetime | None = None
    retry_after: timedelta = timedelta()
    checkpoint_limit: timedelta = timedelta()
    checkpoints: dict[str, dict[str, timedelta]] = field(default_factory=dict)
    awaited_members: int = 0
    charged_accelerators: int = 0

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return sum(
            len(member.allocation.accelerators)
            for member in self.members.values()
        )

    @property
    def is_complete(self) -> bool:
        """Whether every member ended with success."""
        return self.all_members_in(MemberPhase.finished)

    @property
    def holding_workers(self) -> Iterator[str]:
        """Workers on which the gang still holds resources."""
        for worker_id, member in self.members.items():
            if member.holds:
                yield worker_id

    def all_members_in(self, *phases: MemberPhase) -> bool:
        """Whether every member is in one of the phases."""
        return all(member.phase in phases for member in self.members.values())

    def work_at_risk(self, now: datetime) -> timedelta:
        """Accelerator time since the last checkpoint, lost by a stop now."""
        if self.started_at is None or self.phase is GangPhase.stopping:
            return timedelta()
        since = max(self.started_at, self.last_checkpoint_at or self.started_at)
        return (now - since) * max(1, self.accelerators)
