"""Free capacity of the workers in one data centre, for the baselines."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Final

from dragonflynotch.core.jobs import JobSpec, Member
from dragonflynotch.core.shapes import Proximity
from dragonflynotch.core.topology import Worker

__all__ = ('NO_WORKERS', 'Capacity', 'Domain', 'WorkerCapacity')

NO_WORKERS: Final[frozenset[str]] = frozenset()


@dataclass(frozen=True, slots=True)
class WorkerCapacity:
    """Free accelerators, cores and memory of one worker."""

    worker: Worker
    accelerators: tuple[int, ...]
    cores: float
    memory_mb: float

    def count_usable(self, spec: JobSpec) -> int:
        """Return how many free accelerators a job can use.

        Cores and memory limit the number too.
        """
        count = len(self.accelerators)
        if spec.cores_per_accelerator > 0:
            count = min(count, int(self.cores // spec.cores_per_accelerator))
        if spec.memory_mb_per_accelerator > 0:
            by_memory = self.memory_mb // spec.memory_mb_per_accelerator
            count = min(count, int(by_memory))
        return max(count, 0)

    def take(
        self, accelerators: Iterable[int], spec: JobSpec
    ) -> 'WorkerCapacity':
        """Return a copy with these accelerators, cores and memory allocated."""
        taken = frozenset(accelerators)
        rest = tuple(index for index in self.accelerators if index not in taken)
        return replace(
            self,
            accelerators=rest,
            cores=self.cores - len(taken) * spec.cores_per_accelerator,
            memory_mb=(
                self.memory_mb - len(taken) * spec.memory_mb_per_accelerator
            ),
        )

    def give(
        self, accelerators: Iterable[int], spec: JobSpec
    ) -> 'WorkerCapacity':
        """Return a copy with these accelerators, cores and memory released."""
        returned = tuple(accelerators)
        return replace(
            self,
            accelerators=tuple(sorted((*self.accelerators, *returned))),
            cores=self.cores + len(returned) * spec.cores_per_accelerator,
            memory_mb=(
                self.memory_mb + len(returned) * spec.memory_mb_per_accelerator
            ),
        )


Domain = tuple[WorkerCapacity, ...]


class Capacity:
    """Free accelerators, cores and memory by worker."""

    def __init__(self, free: Iterable[WorkerCapacity] = ()) -> None:
        """Start with the free capacity of these workers."""
        self._free = {entry.worker.worker_id: entry for entry in free}

    @property
    def worker_ids(self) -> frozenset[str]:
        """Identifiers of the workers that are present."""
        return frozenset(self._free)

    def copy(self) -> 'Capacity':
        """Return an independent copy."""
        return Capacity(self._free.values())

    def add_worker(self, worker: Worker) -> None:
        """Add an idle worker."""
        self._free[worker.worker_id] = WorkerCapacity(
            worker,
            tuple(range(worker.accelerators)),
            worker.cores,
            worker.memory_mb,
        )

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker, if it is present."""
        self._free.pop(worker_id, None)

    def take(self, members: Iterable[Member], spec: JobSpec) -> None:
        """Allocate the capacity that these members use."""
        for member in members:
            free = self._free.get(member.worker_id)
            if free is not None:
                self._free[member.worker_id] = free.take(
                    member.accelerators, spec
                )

    def give(self, members: Iterable[Member], spec: JobSpec) -> None:
        """Release the capacity of these members on workers still present."""
        for member in members:
            free = self._free.get(member.worker_id)
            if free is not None:
                self._free[member.worker_id] = free.give(
                    member.accelerators, spec
                )

    def domains(
        self, proximity: Proximity, excluded: frozenset[str] = NO_WORKERS
    ) -> Iterator[Domain]:
        """Yield groups of workers that satisfy a proximity, in rack order."""
        free = sorted(
            (
                entry
                for worker_id, entry in self._free.items()
                if worker_id not in excluded
            ),
            key=_rack_order,
        )
        if proximity is Proximity.worker:
            yield from ((entry,) for entry in free)
            return
        racks: dict[int, list[WorkerCapacity]] = defaultdict(list)
        for entry in free:
            racks[entry.worker.rack_position].append(entry)
        if proximity is Proximity.rack:
            yield from (tuple(rack) for rack in racks.values())
            return
        yield from _group_adjacent_racks(racks)


def _rack_order(entry: WorkerCapacity) -> tuple[int, str]:
    return (entry.worker.rack_position, entry.worker.worker_id)


def _group_adjacent_racks(
    racks: dict[int, list[WorkerCapacity]],
) -> Iterator[Domain]:
    run: list[WorkerCapacity] = []
    previous: int | None = None
    for position, rack in racks.items():
        if previous is not None and position != previous + 1:
            yield tuple(run)
            run = []
        run.extend(rack)
        previous = position
    if run:
        yield tuple(run)
