"""Workers of a partition and the allocation of their resources."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import datetime
from enum import Enum

from sortedcontainers import SortedList

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.topology import Worker

__all__ = ('Allocation', 'AllocationKind', 'Demand', 'Inventory', 'WorkerState')

_MILLICORES_PER_CORE = 1000


class AllocationKind(Enum):
    """Kind of the right under which a gang holds accelerators.

    ``guaranteed`` accelerators belong to a guarantee of the workspace.
    ``firm`` ones lie outside of all guarantees, so no guarantee reclaims
    them. ``lent`` ones may be guaranteed to another workspace, which can
    reclaim them.
    """

    guaranteed = 'guaranteed'
    firm = 'firm'
    lent = 'lent'


@dataclass(frozen=True, slots=True)
class Demand:
    """Cores and memory for each accelerator, or for a job that has none."""

    millicores: int
    memory_mb: int

    @classmethod
    def of(cls, spec: JobSpec) -> 'Demand':
        """Return the demand of a job specification."""
        return cls(
            round(spec.cores_per_accelerator * _MILLICORES_PER_CORE),
            spec.memory_mb_per_accelerator,
        )


@dataclass(frozen=True, slots=True)
class Allocation:
    """Resources that one gang member holds on a worker."""

    worker_id: str
    accelerators: tuple[int, ...]
    millicores: int
    memory_mb: int
    allocation_kind: AllocationKind

    def with_kind(self, allocation_kind: AllocationKind) -> 'Allocation':
        """Return a copy of the allocation of another kind."""
        return replace(self, allocation_kind=allocation_kind)


class _ResourceUse:
    """Totals of the accelerators, cores and memory in use."""

    __slots__ = ('accelerators', 'memory_mb', 'millicores')

    def __init__(self) -> None:
        """Create totals of zero."""
        self.accelerators = 0
        self.millicores = 0
        self.memory_mb = 0

    @property
    def is_zero(self) -> bool:
        """Whether nothing is in use."""
        return not (self.accelerators or self.millicores or self.memory_mb)

    def add(self, allocation: Allocation, sign: int) -> None:
        """Add or subtract an allocation."""
        self.accelerators += sign * len(allocation.accelerators)
        self.millicores += sign * allocation.millicores
        self.memory_mb += sign * allocation.memory_mb


class WorkerState:
    """A worker and the resources in use on it.

    Guarantees set aside a number of accelerators, not particular ones. Gangs
    without a guarantee may hold any accelerators of the worker, but firm gangs
    may hold only as many as no guarantee sets aside.
    """

    __slots__ = (
        'busy_mask',
        'claimed',
        'cooldown_until',
        'firm',
        'guaranteed',
        'is_quarantined',
        'is_verified',
        'lost_at',
        'replacement',
        'reserved',
        'unguaranteed_use',
        'urgent_guaranteed',
        'used',
        'worker',
    )

    def __init__(self, worker: Worker) -> None:
        """Create the state of an idle worker."""
        self.worker = worker
        # Bit mask of the accelerators in use, by index.
        self.busy_mask = 0
        # Resources of all gangs, of those without a guarantee, and of those
        # among them that are firm.
        self.used = _ResourceUse()
        self.unguaranteed_use = _ResourceUse()
        self.firm = _ResourceUse()
        # Accelerators set aside for all guarantees and for urgent ones.
        self.guaranteed = 0
        self.urgent_guaranteed = 0
        # Resources that claims take once other gangs have released them.
        self.claimed = _ResourceUse()
        # Accelerators kept for the reservation of the longest-waiting job.
        self.reserved = 0
        self.lost_at: datetime | None = None
        self.replacement: Worker | None = None
        self.is_verified = True
        self.cooldown_until: datetime | None = None
        self.is_quarantined = False

    @property
    def rack(self) -> RackKey:
        """Key of the rack that holds the worker."""
        return (self.worker.rack_position, self.worker.rack)

    @property
    def is_usable(self) -> bool:
        """Whether new gangs may be placed on the worker."""
        return (
            self.lost_at is None
            and self.is_verified
            and self.cooldown_until is None
            and not self.is_quarantined
        )

    @property
    def idle(self) -> int:
        """Accelerators that no gang holds."""
        return self.worker.accelerators - self.used.accelerators

    @property
    def unclaimed(self) -> int:
        """Accelerators that no gang holds and no claim includes."""
        return max(0, self.idle - self.claimed.accelerators)

    @property
    def idle_resources(self) -> tuple[int, int, int]:
        """Accelerators, millicores and MiB of memory not in use."""
        return (
            self.idle,
            self.worker.cores * _MILLICORES_PER_CORE - self.used.millicores,
            self.worker.memory_mb - self.used.memory_mb,
        )

    @property
    def free(self) -> int:
        """Accelerators on which a gang can be placed now."""
        if not self.is_usable:
            return 0
        return max(0, self.unclaimed - self.reserved)

    @property
    def unguaranteed(self) -> int:
        """Free accelerators outside of the guarantees."""
        outside = (
            self.worker.accelerators
            - self.guaranteed
            - self.unguaranteed_use.accelerators
            - self.reserved
        )
        return max(0, min(self.free, outside))

    @property
    def outside_urgent(self) -> int:
        """Free accelerators outside of the urgent guarantees."""
        outside = (
            self.worker.accelerators
            - self.urgent_guaranteed
            - self.unguaranteed_use.accelerators
            - self.reserved
        )
        return max(0, min(self.free, outside))

    @property
    def spare_unguaranteed_millicores(self) -> int:
        """Unguaranteed millicores minus those of gangs without a guarantee."""
        return (
            self._unguaranteed_millicores() - self.unguaranteed_use.millicores
        )

    def usable_accelerators(
        self, demand: Demand, accelerators: int, allocation_kind: AllocationKind
    ) -> int:
        """Return for how many accelerators cores and memory are available.

        Parameters
        ----------
        demand : Demand
            Cores and memory for each accelerator.
        accelerators : int
            Upper bound of the result.
        allocation_kind : AllocationKind
            Kind of the allocation; a firm gang may not take the cores and
            memory of guaranteed accelerators.
        """
        _, cores, memory = self.idle_resources
        cores -= self.claimed.millicores
        memory -= self.claimed.memory_mb
        if allocation_kind is AllocationKind.firm:
            cores = min(
                cores, self._unguaranteed_millicores() - self.firm.millicores
            )
            memory = min(
                memory, self._unguaranteed_memory_mb() - self.firm.memory_mb
            )
        return max(
            0,
            min(
                accelerators,
                cores // max(1, demand.millicores),
                memory // max(1, demand.memory_mb),
            ),
        )

    def usable_when_idle(self, demand: Demand, accelerators: int) -> int:
        """Return for how many accelerators the idle worker has resources."""
        return min(
            accelerators,
            self.worker.cores
            * _MILLICORES_PER_CORE
            // max(1, demand.millicores),
            self.worker.memory_mb // max(1, demand.memory_mb),
        )

    def can_hold_firm(self, accelerators: int) -> bool:
        """Whether firm gangs may hold this many more accelerators."""
        outside = self.worker.accelerators - self.guaranteed
        return self.firm.accelerators + accelerators <= outside

    def meets_demand_on_all(self, demand: Demand) -> bool:
        """Whether cores and memory suffice for a gang on all accelerators."""
        total = max(1, self.worker.accelerators)
        return (
            demand.millicores * total
            <= self.worker.cores * _MILLICORES_PER_CORE
            and demand.memory_mb * total <= self.worker.memory_mb
        )

    def allocate(
        self, accelerators: int, demand: Demand, allocation_kind: AllocationKind
    ) -> Allocation:
        """Hold the idle accelerators with the lowest indexes."""
        chosen: list[int] = []
        index = 0
        while len(chosen) < accelerators:
            if not self.busy_mask >> index & 1:
                chosen.append(index)
            index += 1
        allocation = self.allocation_of(tuple(chosen), demand, allocation_kind)
        self.hold(allocation)
        return allocation

    def allocation_of(
        self,
        accelerators: tuple[int, ...],
        demand: Demand,
        allocation_kind: AllocationKind,
    ) -> Allocation:
        """Return an allocation of given accelerators without holding it."""
        units = max(1, len(accelerators))
        return Allocation(
            self.worker.worker_id,
            accelerators,
            demand.millicores * units,
            demand.memory_mb * units,
            allocation_kind,
        )

    def hold(self, allocation: Allocation) -> None:
        """Mark an allocation as in use."""
        for index in allocation.accelerators:
            if self.busy_mask >> index & 1:
                raise ValueError(
                    f'accelerator {index!r} of worker '
                    f'{self.worker.worker_id!r} is already in use'
                )
        self._change(allocation, 1)

    def release(self, allocation: Allocation) -> None:
        """Mark an allocation as free."""
        self._change(allocation, -1)

    def _change(self, allocation: Allocation, sign: int) -> None:
        for index in allocation.accelerators:
            self.busy_mask ^= 1 << index
        self.used.add(allocation, sign)
        if allocation.allocation_kind is not AllocationKind.guaranteed:
            self.unguaranteed_use.add(allocation, sign)
        if allocation.allocation_kind is AllocationKind.firm:
            self.firm.add(allocation, sign)

    def _unguaranteed_millicores(self) -> int:
        total = max(1, self.worker.accelerators)
        return (
            self.worker.cores
            * _MILLICORES_PER_CORE
            * (total - self.guaranteed)
            // total
        )

    def _unguaranteed_memory_mb(self) -> int:
        total = max(1, self.worker.accelerators)
        return self.worker.memory_mb * (total - self.guaranteed) // total


class Inventory:
    """All workers, with indexes of their accelerators.

    ``free`` counts the accelerators on which a gang can be placed now,
    ``unguaranteed`` those of them outside of all guarantees,
    ``outside_urgent`` those outside of the urgent guarantees, and ``total``
    all accelerators.
    """

    def __init__(self) -> None:
        """Create an empty inventory."""
        self.clear()

    def __getitem__(self, worker_id: str) -> WorkerState:
        """Return the state of a worker."""
        return self._workers[worker_id]

    def __contains__(self, worker_id: str) -> bool:
        """Whether the worker is known."""
        return worker_id in self._workers

    def __iter__(self) -> Iterator[WorkerState]:
        """Iterate over the workers in the order in which they joined."""
        return iter(self._workers.values())

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._workers)

    def clear(self) -> None:
        """Remove all workers."""
        self.free = CapacityMap()
        self.unguaranteed = CapacityMap()
        self.total = CapacityMap()
        self.topology_version = 0
        self.outside_urgent = CapacityMap()
        self._workers: dict[str, WorkerState] = {}
        self._workers_by_cores = SortedList()
        self._cores_by_worker: dict[str, int] = {}

    def find(self, worker_id: str) -> WorkerState | None:
        """Return the state of a worker, or None."""
        return self._workers.get(worker_id)

    def add(self, worker: Worker) -> WorkerState:
        """Add a worker."""
        state = WorkerState(worker)
        self._workers[worker.worker_id] = state
        self.topology_version += 1
        self.total.set(state.rack, worker.worker_id, worker.accelerators)
        self.refresh(state)
        return state

    def remove(self, worker_id: str) -> None:
        """Remove a worker."""
        state = self._workers.pop(worker_id)
        self.topology_version += 1
        self.free.remove(state.rack, worker_id)
        self.unguaranteed.remove(state.rack, worker_id)
        self.total.remove(state.rack, worker_id)
        self.outside_urgent.remove(state.rack, worker_id)
        self._remove_from_cores_index(worker_id)

    def refresh(self, state: WorkerState) -> None:
        """Update the indexes after a change of a worker."""
        worker_id = state.worker.worker_id
        self.free.set(state.rack, worker_id, state.free)
        self.unguaranteed.set(state.rack, worker_id, state.unguaranteed)
        self.outside_urgent.set(state.rack, worker_id, state.outside_urgent)
        cores = state.spare_unguaranteed_millicores if state.is_usable else 0
        if self._cores_by_worker.get(worker_id) != cores:
            self._remove_from_cores_index(worker_id)
            self._cores_by_worker[worker_id] = cores
            self._workers_by_cores.add((cores, worker_id))

    def hold(self, allocation: Allocation) -> None:
        """Mark an allocation as in use."""
        state = self._workers[allocation.worker_id]
        state.hold(allocation)
        self.refresh(state)

    def release(self, allocation: Allocation) -> None:
        """Mark an allocation as free, if its worker is still known."""
        state = self._workers.get(allocation.worker_id)
        if state is not None:
            state.release(allocation)
            self.refresh(state)

    def find_worker_for_cores(
        self, demand: Demand, allocation_kind: AllocationKind
    ) -> str | None:
        """Return the worker with the fewest cores that suffice, or None.

        The job has no accelerators.
        """
        first = self._workers_by_cores.bisect_left((demand.millicores, ''))
        for _, worker_id in self._workers_by_cores.islice(first):
            state = self._workers[worker_id]
            if state.is_usable and state.usable_accelerators(
                demand, 1, allocation_kind
            ):
                return str(worker_id)
        return None

    def _remove_from_cores_index(self, worker_id: str) -> None:
        before = self._cores_by_worker.pop(worker_id, None)
        if before is not None:
            self._workers_by_cores.remove((before, worker_id))
