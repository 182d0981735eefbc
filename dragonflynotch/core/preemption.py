"""Places that less important gangs give up for a waiting job."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from dragonflynotch.core.capacity import CapacityMap
from dragonflynotch.core.gangs import Gang, GangPhase
from dragonflynotch.core.guarantees import Place
from dragonflynotch.core.inventory import Demand, Use, WorkerState
from dragonflynotch.core.jobs import Job
from dragonflynotch.core.state import PartitionState

__all__ = ('GivenPlace', 'find_takeover')

# Bounds the cost in a large data centre; the gangs that started first are
# examined first.
_MOST_EXAMINED = 64
# Sizes of the victims, as multiples of the job, that are tried in this order.
# Larger gangs do not give way: they leave most of their accelerators idle and
# find room again only after a long wait.
_SIZES = (2, 4)


@dataclass(frozen=True, slots=True)
class GivenPlace:
    """A place that becomes free when some gangs are stopped."""

    shares: Place
    victims: frozenset[str]


def find_takeover(
    state: PartitionState, job: Job, use: Use
) -> GivenPlace | None:
    """Return a place held by less important gangs, or None.

    Only gangs that can be checkpointed give way, so little work is lost.

    Parameters
    ----------
    state : PartitionState
        State of the partition.
    job : Job
        A waiting job that fits nowhere.
    use : Use
        Right under which the job would hold the place.
    """
    candidates = list(islice(_candidates(state, job), _MOST_EXAMINED))
    wanted = job.spec.shape.accelerators
    tried = 0
    for size in _SIZES:
        smaller = [gang for gang in candidates if _size(gang) <= size * wanted]
        if len(smaller) > tried:
            tried = len(smaller)
            shares = _place(state, job, use, smaller)
            if shares:
                names = frozenset(gang.job_id for gang in smaller)
                return GivenPlace(shares, names)
    return None


def _candidates(state: PartitionState, job: Job) -> Iterator[Gang]:
    for gang in state.gangs.values():
        spec = state.jobs[gang.job_id].spec
        is_less_important = spec.priority.rank > job.spec.priority.rank
        if (
            is_less_important
            and gang.use is Use.lent
            and gang.phase is GangPhase.running
            and spec.is_checkpointable
        ):
            yield gang


def _size(gang: Gang) -> int:
    return gang.accelerators


def _place(
    state: PartitionState, job: Job, use: Use, victims: list[Gang]
) -> Place:
    given_up: Counter[str] = Counter()
    for gang in victims:
        for worker_id, member in gang.members.items():
            given_up[worker_id] += len(member.allocation.accelerators)
    avoided = state.avoided.get(job.job_id, ())
    demand = Demand.of(job.spec)
    capacity = CapacityMap()
    for worker_id, count in given_up.items():
        worker = state.inventory.find(worker_id)
        if worker is None or not worker.is_usable or worker_id in avoided:
            continue
        room = _room(
            worker, count, use, has_no_checkpoint=not job.spec.is_checkpointable
        )
        usable = worker.machine_limit(demand, max(0, room))
        capacity.set(worker.rack, worker_id, usable)
    return state.placer.place(job.spec.shape, capacity, _unlimited)


def _room(
    worker: WorkerState, given_up: int, use: Use, *, has_no_checkpoint: bool
) -> int:
    room = worker.unclaimed + given_up
    if not has_no_checkpoint:
        return room
    set_aside = worker.guaranteed if use is Use.firm else worker.urgent
    others = worker.general.accelerators - given_up
    return min(room, worker.worker.accelerators - set_aside - others)


def _unlimited(_worker_id: str, accelerators: int) -> int:
    return accelerators
