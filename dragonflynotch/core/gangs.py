"""State of a gang attempt as its owner sees it."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from dragonflynotch.core.inventory import Allocation, Use

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
    """What happens to the job once its gang has stopped; later ones win."""

    requeue = 1
    fail = 2
    cancel = 3


@dataclass(slots=True)
class GangMember:
    """A gang member and what it holds.

    Parameters
    ----------
    allocation : Allocation
        Accelerators, cores and memory.
    phase : MemberPhase
        Latest phase known.
    missing_reports : int
        Reports of its guard in a row that do not list the member.
    oversize_reports : int
        Reports in a row with usage above the declared size.
    """

    allocation: Allocation
    phase: MemberPhase = MemberPhase.ordered
    missing_reports: int = 0
    oversize_reports: int = 0

    @property
    def holds(self) -> bool:
        """Whether the member still holds its accelerators."""
        return self.phase not in _ENDED


_ENDED = frozenset((MemberPhase.finished, MemberPhase.released))


@dataclass(slots=True)
class Gang:
    """One attempt to run a job.

    Parameters
    ----------
    job_id : str
        Job that the gang runs.
    attempt : int
        Attempt number.
    use : Use
        Right under which the accelerators are held.
    guarantee : int or None
        Identifier of the guarantee that covers the gang.
    members : dict of str to GangMember
        Members by worker.
    """

    job_id: str
    attempt: int
    use: Use
    guarantee: int | None
    members: dict[str, GangMember]
    phase: GangPhase = GangPhase.preparing
    outcome: Outcome = Outcome.requeue
    reason: str = ''
    started_at: datetime | None = None
    safe_at: datetime | None = None
    work_before: timedelta = timedelta()
    stop_ordered_at: datetime | None = None
    retry_after: timedelta = timedelta()
    checkpoint_limit: timedelta = timedelta()
    checkpoints: dict[str, dict[str, timedelta]] = field(default_factory=dict)
    pending: int = 0
    counted: int = 0

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
        return self.all_in(MemberPhase.finished)

    @property
    def holders(self) -> Iterator[str]:
        """Workers on which the gang still holds accelerators."""
        for worker_id, member in self.members.items():
            if member.holds:
                yield worker_id

    def all_in(self, *phases: MemberPhase) -> bool:
        """Whether every member is in one of the phases."""
        return all(member.phase in phases for member in self.members.values())

    def work_at_risk(self, now: datetime) -> timedelta:
        """Accelerator time that an immediate stop would lose."""
        if self.started_at is None or self.phase is GangPhase.stopping:
            return timedelta()
        since = max(self.started_at, self.safe_at or self.started_at)
        return (now - since) * max(1, self.accelerators)
