"""Queue of waiting jobs, in groups of jobs with equal requirements."""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from dragonflynotch.core.jobs import Job, JobSpec, PriorityClass
from dragonflynotch.core.shapes import Shape

__all__ = ('GroupKey', 'QueueGroup', 'WaitingQueue', 'queue_key')

QueueKey = tuple[int, float, str]


@dataclass(frozen=True, slots=True)
class GroupKey:
    """Requirements that the jobs of a group have in common.

    Only the first job of a group is tried, because the others need the same.
    """

    workspace: str
    kind: str
    priority: PriorityClass
    shape: Shape
    cores_per_accelerator: float
    memory_mb_per_accelerator: int
    is_checkpointable: bool
    avoided: frozenset[str]


def queue_key(job: Job) -> QueueKey:
    """Return the sort key of a job: priority, submission time, identifier."""
    return (
        job.spec.priority.rank,
        job.submitted_at.timestamp(),
        job.job_id,
    )


def _group_key(spec: JobSpec, avoided: frozenset[str]) -> GroupKey:
    return GroupKey(
        spec.workspace,
        spec.kind,
        spec.priority,
        spec.shape,
        spec.cores_per_accelerator,
        spec.memory_mb_per_accelerator,
        spec.is_checkpointable,
        avoided,
    )


class QueueGroup:
    """Waiting jobs with equal requirements, in queue order.

    Parameters
    ----------
    key : GroupKey
        Requirements that the jobs have in common.
    """

    def __init__(self, key: GroupKey) -> None:
        """Create an empty group."""
        self.key = key
        # Capacity version at which the first job could not start.
        self.blocked_at_version = -1
        self.blocked_reason = ''
        self._jobs = SortedDict()

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the job identifiers in order."""
        return iter(self._jobs.values())

    @property
    def head_key(self) -> QueueKey:
        """Sort key of the first job."""
        key: QueueKey = self._jobs.peekitem(0)[0]
        return key

    @property
    def head(self) -> str:
        """Identifier of the first job."""
        return str(self._jobs.peekitem(0)[1])

    def add(self, job: Job) -> None:
        """Add a job."""
        self._jobs[queue_key(job)] = job.job_id

    def remove(self, job: Job) -> None:
        """Remove a job, if the group contains it."""
        self._jobs.pop(queue_key(job), None)


class WaitingQueue:
    """Groups of waiting jobs."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._groups: dict[GroupKey, QueueGroup] = {}
        self._keys: dict[str, GroupKey] = {}
        # Counts jobs ever added, so that a new job can be noticed.
        self.additions = 0

    @property
    def groups(self) -> tuple[QueueGroup, ...]:
        """All groups with waiting jobs."""
        return tuple(self._groups.values())

    def group_of(self, job_id: str) -> QueueGroup | None:
        """Return the group in which a job waits, or None."""
        key = self._keys.get(job_id)
        return None if key is None else self._groups[key]

    def add(self, job: Job, avoided: frozenset[str]) -> None:
        """Add a waiting job.

        Parameters
        ----------
        job : Job
            The job.
        avoided : frozenset of str
            Workers on which the job must not be placed.
        """
        self.additions += 1
        key = _group_key(job.spec, avoided)
        self._keys[job.job_id] = key
        group = self._groups.get(key)
        if group is None:
            group = QueueGroup(key)
            self._groups[key] = group
        group.add(job)

    def remove(self, job: Job) -> None:
        """Remove a job, if it is in the queue."""
        key = self._keys.pop(job.job_id, None)
        if key is None:
            return
        group = self._groups[key]
        group.remove(job)
        if not group:
            self._groups.pop(key)

    def has(self, job_id: str) -> bool:
        """Whether a job is in the queue."""
        return job_id in self._keys

    def longest_waiting(self) -> Iterator[str]:
        """Yield the first job of each group, the earliest submission first."""
        for group in sorted(self._groups.values(), key=_submission_order):
            yield group.head


def _submission_order(group: QueueGroup) -> tuple[float, str]:
    return group.head_key[1:]
