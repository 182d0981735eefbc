"""Accelerators in use and usable workers in the simulated data centre."""

from benchmarks.policy.trace import Site
from dragonflynotch.core.jobs import Member

__all__ = ('Holdings',)


class Holdings:
    """Accelerators in use on the workers of one data centre."""

    def __init__(self, site: Site) -> None:
        """Start with idle workers."""
        self._used: dict[str, dict[int, str]] = {
            worker.worker_id: {} for worker in site.workers
        }
        self._accelerators = {
            worker.worker_id: worker.accelerators for worker in site.workers
        }
        self._lost: set[str] = set()
        self._failing: set[str] = set()

    @property
    def lost(self) -> frozenset[str]:
        """Workers that are lost."""
        return frozenset(self._lost)

    @property
    def failing(self) -> frozenset[str]:
        """Workers on which every member fails."""
        return frozenset(self._failing)

    @property
    def held(self) -> int:
        """Number of accelerators held by members."""
        return sum(len(used) for used in self._used.values())

    @property
    def present(self) -> int:
        """Number of accelerators of workers that are not lost."""
        return sum(
            count
            for worker_id, count in self._accelerators.items()
            if worker_id not in self._lost
        )

    @property
    def free(self) -> dict[str, int]:
        """Free accelerators of each usable worker."""
        unusable = self._lost | self._failing
        return {
            worker_id: self._accelerators[worker_id] - len(used)
            for worker_id, used in self._used.items()
            if worker_id not in unusable
        }

    def jobs_on(self, worker_id: str) -> tuple[str, ...]:
        """Return the jobs that hold accelerators of a worker."""
        return tuple(dict.fromkeys(self._used[worker_id].values()))

    def overlaps(self, member: Member) -> bool:
        """Return whether an accelerator of a member is in use."""
        used = self._used[member.worker_id]
        return any(index in used for index in member.accelerators)

    def take(self, job_id: str, member: Member) -> None:
        """Give the accelerators of a member to a job."""
        self._used[member.worker_id].update(
            dict.fromkeys(member.accelerators, job_id)
        )

    def give(self, member: Member) -> None:
        """Free the accelerators of a member."""
        for index in member.accelerators:
            self._used[member.worker_id].pop(index)

    def mark_lost(self, worker_id: str) -> None:
        """Mark a worker as lost."""
        self._lost.add(worker_id)

    def mark_failing(self, worker_id: str) -> None:
        """Mark a worker on which every member fails."""
        self._failing.add(worker_id)

    def restore(self, worker_id: str) -> None:
        """Mark a worker as usable."""
        self._lost.discard(worker_id)
        self._failing.discard(worker_id)
