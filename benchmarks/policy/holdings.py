"""Which accelerators are really held, and which workers are usable."""

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
        self._size = {
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
        """Workers that fail everything."""
        return frozenset(self._failing)

    @property
    def held(self) -> int:
        """Number of accelerators held by members."""
        return sum(len(used) for used in self._used.values())

    @property
    def present(self) -> int:
        """Number of accelerators of workers that are not lost."""
        return sum(
            size for name, size in self._size.items() if name not in self._lost
        )

    @property
    def free(self) -> dict[str, int]:
        """Free accelerators of each usable worker."""
        unusable = self._lost | self._failing
        return {
            name: self._size[name] - len(used)
            for name, used in self._used.items()
            if name not in unusable
        }

    def holders(self, worker_id: str) -> tuple[str, ...]:
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

    def lose(self, worker_id: str) -> None:
        """Mark a worker as lost."""
        self._lost.add(worker_id)

    def make_failing(self, worker_id: str) -> None:
        """Mark a worker as failing everything."""
        self._failing.add(worker_id)

    def restore(self, worker_id: str) -> None:
        """Mark a worker as usable."""
        self._lost.discard(worker_id)
        self._failing.discard(worker_id)
