"""Workers of a partition and the use of their accelerators."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import datetime
from enum import Enum

from sortedcontainers import SortedList

from dragonflynotch.core.capacity import CapacityMap, RackKey
from dragonflynotch.core.jobs import JobSpec
from dragonflynotch.core.topology import Worker

__all__ = ('Allocation', 'Demand', 'Inventory', 'Use', 'WorkerState')

_MILLI = 1000


class Use(Enum):
    """Right under which a gang holds accelerators."""

    guaranteed = 'guaranteed'
    firm = 'firm'
    lent = 'lent'


@dataclass(frozen=True, slots=True)
class Demand:
    """Need of a job for each accelerator, or as a whole if it has none."""

    millicores: int
    memory_mb: int

    @classmethod
    def of(cls, spec: JobSpec) -> 'Demand':
        """Return the demand of a specification."""
        return cls(
            round(spec.cores_per_accelerator * _MILLI),
            spec.memory_mb_per_accelerator,
        )


@dataclass(frozen=True, slots=True)
class Allocation:
    """What one gang member holds on a worker."""

    worker_id: str
    accelerators: tuple[int, ...]
    millicores: int
    memory_mb: int
    use: Use

    def under(self, use: Use) -> 'Allocation':
        """Return the same allocation under another right."""
        return replace(self, use=use)


class _Amount:
    """Accelerators, cores and memory in use."""

    __slots__ = ('accelerators', 'memory_mb', 'millicores')

    def __init__(self) -> None:
        """Start at zero."""
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
    """A worker with its use.

    The accelerators set aside for guarantees are a number, not a choice of
    indexes: gangs outside of guarantees may hold any accelerators of the
    worker, and those that cannot be reclaimed hold at most the rest.
    """

    __slots__ = (
        'busy',
        'claimed',
        'cooldown_until',
        'firm',
        'general',
        'guaranteed',
        'is_quarantined',
        'is_verified',
        'lost_at',
        'reserved',
        'successor',
        'urgent',
        'used',
        'worker',
    )

    def __init__(self, worker: Worker) -> None:
        """Start with an idle worker."""
        self.worker = worker
        self.busy = 0
        self.used = _Amount()
        self.general = _Amount()
        self.firm = _Amount()
        self.guaranteed = 0
        self.urgent = 0
        self.claimed = _Amount()
        self.reserved = 0
        self.lost_at: datetime | None = None
        self.successor: Worker | None = None
        self.is_verified = True
        self.cooldown_until: datetime | None = None
        self.is_quarantined = False

    @property
    def rack(self) -> RackKey:
        """Key of the worker's rack."""
        return (self.worker.rack_position, self.worker.rack)

    @property
    def is_usable(self) -> bool:
        """Whether new gangs may be placed here."""
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
        """Accelerators that no gang holds and no claim covers."""
        return max(0, self.idle - self.claimed.accelerators)

    @property
    def idle_amounts(self) -> tuple[int, int, int]:
        """Accelerators, cores (in thousandths) and memory not in use."""
        return (
            self.idle,
            self.worker.cores * _MILLI - self.used.millicores,
            self.worker.memory_mb - self.used.memory_mb,
        )

    @property
    def free(self) -> int:
        """Accelerators that may be lent now."""
        if not self.is_usable:
            return 0
        return max(0, self.unclaimed - self.reserved)

    @property
    def open(self) -> int:
        """Free accelerators outside of the guarantees."""
        outside = (
            self.worker.accelerators
            - self.guaranteed
            - self.general.accelerators
            - self.reserved
        )
        return max(0, min(self.free, outside))

    @property
    def stoppable(self) -> int:
        """Free accelerators outside of the urgent guarantees."""
        outside = (
            self.worker.accelerators
            - self.urgent
            - self.general.accelerators
            - self.reserved
        )
        return max(0, min(self.free, outside))

    @property
    def spare_millicores(self) -> int:
        """Cores that the idle accelerators do not need."""
        return self._outside_cores() - self.general.millicores

    def limit(self, demand: Demand, accelerators: int, use: Use) -> int:
        """Return for how many of the accelerators there is all else.

        Parameters
        ----------
        demand : Demand
            Need for each accelerator.
        accelerators : int
            Upper bound of the answer.
        use : Use
            Firm gangs leave the share of the guarantees untouched.
        """
        _, cores, memory = self.idle_amounts
        cores -= self.claimed.millicores
        memory -= self.claimed.memory_mb
        if use is Use.firm:
            cores = min(cores, self._outside_cores() - self.firm.millicores)
            memory = min(memory, self._outside_memory() - self.firm.memory_mb)
        return max(
            0,
            min(
                accelerators,
                cores // max(1, demand.millicores),
                memory // max(1, demand.memory_mb),
            ),
        )

    def machine_limit(self, demand: Demand, accelerators: int) -> int:
        """Return for how many accelerators the idle machine has all else."""
        return min(
            accelerators,
            self.worker.cores * _MILLI // max(1, demand.millicores),
            self.worker.memory_mb // max(1, demand.memory_mb),
        )

    def has_firm_room(self, accelerators: int) -> bool:
        """Whether gangs that cannot be reclaimed may hold so many more."""
        outside = self.worker.accelerators - self.guaranteed
        return self.firm.accelerators + accelerators <= outside

    def share_covers(self, demand: Demand) -> bool:
        """Whether an accelerator's share of the worker meets the demand."""
        total = max(1, self.worker.accelerators)
        return (
            demand.millicores * total <= self.worker.cores * _MILLI
            and demand.memory_mb * total <= self.worker.memory_mb
        )

    def allocate(
        self, accelerators: int, demand: Demand, use: Use
    ) -> Allocation:
        """Take the lowest idle accelerators."""
        chosen: list[int] = []
        index = 0
        while len(chosen) < accelerators:
            if not self.busy >> index & 1:
                chosen.append(index)
            index += 1
        allocation = self.describe(tuple(chosen), demand, use)
        self.hold(allocation)
        return allocation

    def describe(
        self, accelerators: tuple[int, ...], demand: Demand, use: Use
    ) -> Allocation:
        """Return the allocation of given accelerators without taking them."""
        units = max(1, len(accelerators))
        return Allocation(
            self.worker.worker_id,
            accelerators,
            demand.millicores * units,
            demand.memory_mb * units,
            use,
        )

    def hold(self, allocation: Allocation) -> None:
        """Mark an allocation as in use."""
        for index in allocation.accelerators:
            if self.busy >> index & 1:
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
            self.busy ^= 1 << index
        self.used.add(allocation, sign)
        if allocation.use is not Use.guaranteed:
            self.general.add(allocation, sign)
        if allocation.use is Use.firm:
            self.firm.add(allocation, sign)

    def _outside_cores(self) -> int:
        total = max(1, self.worker.accelerators)
        return self.worker.cores * _MILLI * (total - self.guaranteed) // total

    def _outside_memory(self) -> int:
        total = max(1, self.worker.accelerators)
        return self.worker.memory_mb * (total - self.guaranteed) // total


class Inventory:
    """All workers, with their free accelerators indexed.

    ``free`` counts what may be lent, ``open`` what lies outside of the
    guarantees, ``stoppable`` what lies outside of the urgent ones, and
    ``total`` everything that the workers have.
    """

    def __init__(self) -> None:
        """Start without workers."""
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
        """Forget all workers."""
        self.free = CapacityMap()
        self.open = CapacityMap()
        self.total = CapacityMap()
        self.topology_version = 0
        self.stoppable = CapacityMap()
        self._workers: dict[str, WorkerState] = {}
        self._by_cores = SortedList()
        self._cores_of: dict[str, int] = {}

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
        """Forget a worker."""
        state = self._workers.pop(worker_id)
        self.topology_version += 1
        self.free.remove(state.rack, worker_id)
        self.open.remove(state.rack, worker_id)
        self.total.remove(state.rack, worker_id)
        self.stoppable.remove(state.rack, worker_id)
        self._drop_cores(worker_id)

    def refresh(self, state: WorkerState) -> None:
        """Bring the indexes up to date after a change of a worker."""
        worker_id = state.worker.worker_id
        self.free.set(state.rack, worker_id, state.free)
        self.open.set(state.rack, worker_id, state.open)
        self.stoppable.set(state.rack, worker_id, state.stoppable)
        cores = state.spare_millicores if state.is_usable else 0
        if self._cores_of.get(worker_id) != cores:
            self._drop_cores(worker_id)
            self._cores_of[worker_id] = cores
            self._by_cores.add((cores, worker_id))

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

    def find_cores(self, demand: Demand, use: Use) -> str | None:
        """Return the tightest worker for a job without accelerators."""
        first = self._by_cores.bisect_left((demand.millicores, ''))
        for _, worker_id in self._by_cores.islice(first):
            state = self._workers[worker_id]
            if state.is_usable and state.limit(demand, 1, use):
                return str(worker_id)
        return None

    def _drop_cores(self, worker_id: str) -> None:
        before = self._cores_of.pop(worker_id, None)
        if before is not None:
            self._by_cores.remove((before, worker_id))
