"""Draws the jobs of a day: gangs of two queues, and batch jobs of two steps."""

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from benchmarks.idle_search.faults import FaultKind
from benchmarks.idle_search.machine_specs import LABEL, MachineSpec
from dragonflynotch.workflows.deployment import Deployment, Queue, Workspace
from dragonflynotch.workflows.jobs import JobSpec, StepSpec

__all__ = ('DEPLOYMENT', 'SERVICE', 'Arrival', 'JobMix')

SERVICE = 'planner'
_WORKSPACE = 'team'


def _queue(name: str, priority: int, stretch: float) -> Queue:
    return Queue(
        name, name, '/', SERVICE, priority, max_attempts=2, stretch=stretch
    )


DEPLOYMENT = Deployment(
    1,
    queues={
        'urgent': _queue('urgent', 0, 1.5),
        'normal': _queue('normal', 1, 3),
        'batch': _queue('batch', 2, 3),
    },
    workspaces={_WORKSPACE: Workspace(_WORKSPACE, ('key',), 8)},
)

# Shares of the jobs of each queue; a day has one of these.
_QUEUE_SHARES = (
    {'normal': 0.4, 'urgent': 0.37, 'batch': 0.23},
    {'normal': 0.2, 'urgent': 0.2, 'batch': 0.6},
    {'normal': 0.7, 'urgent': 0.15, 'batch': 0.15},
    {'normal': 0.1, 'urgent': 0.6, 'batch': 0.3},
)
# Run time over estimate.
_ESTIMATE_FACTORS = (0.6, 1.9)
# Accelerators of a member of a gang; larger ones are more frequent.
_GANG_ACCELERATORS = (1, 2, 4, 8, 8)
_MAX_GANG = 9
_BATCH_WORK_MS = (5000, 15_000)
_MAX_BATCH_TASKS = 16
_MAX_WIDE_BATCH_TASKS = 40
_MAX_SECOND_TASKS = 12
_MAX_LASTING_TASKS = 3
_CANCELLED_AFTER_MS = (500, 20_000)
_POISON_SHARE = 0.03
_CANCELLED_SHARE = 0.06
_CHECKPOINT_SHARE = 0.3
_WIDE_SHARE = 0.1
_SECOND_STEP_SHARE = 0.5
_LASTING_SHARE = 0.05
_MAX_UNAVAILABLE_SHARE = 0.05
# Shares of the jobs with a wish, if its kind is switched on.
_CONSTRAINT_SHARE = 0.3
_ONE_RACK_SHARE = 0.5
_DATA_RACK_SHARE = 0.3
_APART_SHARE = 0.3
_MAX_PER_WORKER = (1, 2)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, and what its caller does not know.

    Parameters
    ----------
    work_ms : tuple of int
        Time that a task of each step takes on its preferred rack.
    is_poison : bool
        Whether all of its runs fail.
    cancelled_ms : int or None
        Time at which the caller cancels it.
    """

    job_id: str
    at_ms: int
    spec: JobSpec
    work_ms: tuple[int, ...]
    is_poison: bool = False
    cancelled_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _GangClass:
    """Gangs of one queue; ``rate`` is that of their exponential width."""

    millicores: int
    memory_mb: int
    rate: float
    least_ms: int
    most_ms: int


_GANG_CLASSES = {
    'normal': _GangClass(13_000, 26_000, 0.7, 5000, 11_000),
    'urgent': _GangClass(3700, 7600, 0.3, 800, 6000),
}


class JobMix:
    """Draws jobs.

    Wishes have draws of their own, so that the jobs of a seed stay the same
    whichever kinds are switched on.
    """

    def __init__(
        self,
        seed: int,
        kinds: frozenset[FaultKind],
        machines: tuple[MachineSpec, ...],
    ) -> None:
        """Create a mix for these machines."""
        self._random = Random(f'{seed}/jobs')
        self._wishes = Random(f'{seed}/wishes')
        self._queue_shares = self._random.choice(_QUEUE_SHARES)
        self._kinds = kinds
        self._machines = machines

    def draw(self, job_id: str, at_ms: int) -> Arrival:
        """Return the next job, which arrives at this time."""
        random = self._random
        shares = self._queue_shares
        queue = random.choices(tuple(shares), tuple(shares.values()))[0]
        if queue == 'batch':
            steps, work_ms = self._draw_batch()
        else:
            steps, work_ms = self._draw_gang(_GANG_CLASSES[queue])
        cancelled_ms = at_ms + random.randint(*_CANCELLED_AFTER_MS)
        is_cancelled = random.random() < _CANCELLED_SHARE
        return Arrival(
            job_id,
            at_ms,
            JobSpec(
                queue=queue,
                workspace=_WORKSPACE,
                service=SERVICE,
                payload='text',
                steps=steps,
                accepted_ms=at_ms,
            ),
            work_ms,
            is_poison=random.random() < _POISON_SHARE,
            cancelled_ms=(
                cancelled_ms
                if is_cancelled or steps[0].is_long_running
                else None
            ),
        )

    # ---- gangs -------------------------------------------------------------

    def _draw_gang(
        self, gang_class: _GangClass
    ) -> tuple[tuple[StepSpec, ...], tuple[int, ...]]:
        random = self._random
        work_ms = random.randint(gang_class.least_ms, gang_class.most_ms)
        width = int(random.expovariate(gang_class.rate))
        step = StepSpec(
            min(_MAX_GANG, max(1, width)),
            gang_class.millicores,
            gang_class.memory_mb,
            random.choice(_GANG_ACCELERATORS),
            self._estimate(work_ms),
            is_gang=True,
            has_checkpoints=random.random() < _CHECKPOINT_SHARE,
            wants_one_rack=self._has_wish(FaultKind.racks, _ONE_RACK_SHARE),
            constraint=self._draw_constraint(),
        )
        if not self._fit_count(step):
            step = replace(step, constraint='')
        # A gang that never fits would be no fault of placement.
        count = min(step.count, max(1, self._fit_count(step)))
        return (replace(step, count=count),), (work_ms,)

    def _fit_count(self, step: StepSpec) -> int:
        return sum(
            machine.capacity.fit_count(step.needs)
            for machine in self._machines
            if step.constraint in {'', *machine.labels}
        )

    # ---- batch jobs --------------------------------------------------------

    def _draw_batch(self) -> tuple[tuple[StepSpec, ...], tuple[int, ...]]:
        random = self._random
        is_wide = random.random() < _WIDE_SHARE
        is_lasting = random.random() < _LASTING_SHARE
        is_limited = random.random() < _MAX_UNAVAILABLE_SHARE
        most = _MAX_WIDE_BATCH_TASKS if is_wide else _MAX_BATCH_TASKS
        if is_lasting:
            most = _MAX_LASTING_TASKS
        first_ms = random.randint(*_BATCH_WORK_MS)
        limit = self._wishes.randint(*_MAX_PER_WORKER)
        is_apart = self._has_wish(FaultKind.apart, _APART_SHARE)
        first = StepSpec(
            random.randint(1, most),
            2800,
            7392,
            1,
            self._estimate(first_ms),
            has_checkpoints=random.random() < _CHECKPOINT_SHARE,
            is_long_running=is_lasting,
            max_unavailable=1 if is_limited else None,
            max_per_worker=limit if is_apart else 0,
            data_rack=self._draw_data_rack(),
            constraint=self._draw_constraint(),
        )
        has_second = random.random() < _SECOND_STEP_SHARE
        if is_lasting or not has_second:
            return (first,), (first_ms,)
        second_ms = random.randint(*_BATCH_WORK_MS)
        second = replace(
            first,
            count=random.randint(1, _MAX_SECOND_TASKS),
            estimated_ms=self._estimate(second_ms),
            after=(0,),
        )
        return (first, second), (first_ms, second_ms)

    def _estimate(self, work_ms: int) -> int:
        return int(work_ms / self._random.uniform(*_ESTIMATE_FACTORS))

    # ---- wishes ------------------------------------------------------------

    def _has_wish(self, kind: FaultKind, share: float) -> bool:
        is_drawn = self._wishes.random() < share
        return kind in self._kinds and is_drawn

    def _draw_constraint(self) -> str:
        is_drawn = self._has_wish(FaultKind.constraints, _CONSTRAINT_SHARE)
        has_any = any(machine.labels for machine in self._machines)
        return LABEL if is_drawn and has_any else ''

    def _draw_data_rack(self) -> str:
        rack = self._wishes.choice(self._machines).rack
        is_drawn = self._has_wish(FaultKind.racks, _DATA_RACK_SHARE)
        return rack if is_drawn else ''
