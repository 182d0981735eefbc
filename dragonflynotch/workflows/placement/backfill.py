"""Use of room that reservations and exclusions of workers keep idle.

Load: under half of the capacity is in use, a step that needs most workers
waits for a run that is late or long, and smaller steps wait behind its
reservation. Only backfill bounds the time for which the reservation keeps the
free room idle. The exclusion of workers that have recovered keeps room idle as
well, see ``trials``.

Once room has been idle for a short time, the smaller steps use it, until half
of the capacity is in use. Their runs are marked as backfill. They stop as soon
as a step that comes earlier fits without them, so that it waits no longer than
for the stop. No input or output.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from dragonflynotch.workflows.jobs import StepId
from dragonflynotch.workflows.ordering.ranking import Urgency
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.allocations import is_preemptible
from dragonflynotch.workflows.placement.best_fit import (
    choose_gang_workers,
    choose_worker,
)
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    ServiceUse,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.progress import Step
from dragonflynotch.workflows.resources import Resources

__all__ = (
    'IdleRoom',
    'IdleRoomMonitor',
    'UnplacedStep',
)

# Room that reservations or exclusions keep idle for this long is backfilled.
_MAX_IDLE_MS = 1500
# Backfill goes on until this share of the capacity of a service is in use.
_MAX_SHARE_IN_USE = 0.5
# Most runs of a service that are backfilled in one round. Keeps the rounds of a
# large fleet short.
_MAX_RUNS_PER_ROUND = 200
# After backfilled runs were ordered to stop, the service is not backfilled for
# this multiple of the time that a stop takes, nor while the step still waits
# for stops that are not late. Otherwise the runs would be started and stopped
# again.
_STOP_TIME_MULTIPLE = 2


@dataclass(frozen=True, slots=True)
class UnplacedStep:
    """A waiting step of which not all tasks could be placed in the round.

    Parameters
    ----------
    demand : Demand
        Its placement requirements.
    reserves : bool
        Whether resources are reserved for it.
    awaits_stops : bool
        Whether it fits once runs that are ordered to stop have ended.
    """

    waiting: WaitingStep
    demand: Demand
    reserves: bool
    awaits_stops: bool = False

    @property
    def step_id(self) -> StepId:
        """Identifier of the step."""
        return self.waiting.step.step_id

    @property
    def backfill_demand(self) -> Demand:
        """Its placement requirements in room that others have reserved."""
        return replace(self.demand, uses_idle_room=True)


@dataclass(slots=True)
class IdleRoom:
    """Room of a service that is to be backfilled.

    Parameters
    ----------
    idle_ms : int
        For how long it has been idle.
    use : ServiceUse
        Resources in use.
    steps : list of UnplacedStep
        Steps to place there, the first one first.
    holder : Urgency or None
        First step that has a reservation.
    runs : int
        Runs that were placed there in this round.
    """

    idle_ms: int
    use: ServiceUse
    steps: list[UnplacedStep]
    holder: Urgency | None
    runs: int = 0

    @property
    def may_take_more(self) -> bool:
        """Whether more of the room may be used."""
        return (
            self.runs < _MAX_RUNS_PER_ROUND
            and self.use.share < _MAX_SHARE_IN_USE
        )

    def take(self, needs: Resources, runs: int = 1) -> None:
        """Count runs that were placed in the room."""
        self.use.add(needs * runs)
        self.runs += runs


@dataclass(frozen=True, slots=True)
class _Pause:
    """Time in which the room of a service is left to a step."""

    step_id: StepId
    end_ms: int


class IdleRoomMonitor:
    """Observes by service since when room that a step could use is idle.

    A new leader starts without this state, so that room may be idle for
    ``_MAX_IDLE_MS`` longer after a takeover.
    """

    def __init__(self) -> None:
        """Create a monitor that has observed nothing."""
        self._idle_since_ms: dict[str, int] = {}
        self._pauses: dict[str, _Pause] = {}

    def pause(self, entry: UnplacedStep, now_ms: int, stop_ms: int) -> None:
        """Leave the room of a service to a step for which runs stop now.

        Parameters
        ----------
        stop_ms : int
            Longest time from the order to stop a run until the run has ended.
        """
        self._pauses[entry.demand.service] = _Pause(
            entry.step_id, now_ms + _STOP_TIME_MULTIPLE * stop_ms
        )

    def extend_pause(self, entry: UnplacedStep, now_ms: int) -> None:
        """Leave the room to the step while it waits for its stopping runs."""
        service = entry.demand.service
        pause = self._pauses.get(service)
        if pause is None or pause.step_id != entry.step_id:
            return
        self._pauses[service] = replace(
            pause, end_ms=max(pause.end_ms, now_ms + 1)
        )

    def find_due(
        self, pool: WorkerPool, unplaced: Iterable[UnplacedStep]
    ) -> Iterator[IdleRoom]:
        """Yield the room that has been idle for too long, by service.

        Parameters
        ----------
        unplaced : iterable of UnplacedStep
            Steps that still wait at the end of a round, by urgency.
        """
        by_service: dict[str, list[UnplacedStep]] = defaultdict(list)
        for entry in unplaced:
            by_service[entry.demand.service].append(entry)
        for service in self._idle_since_ms.keys() - by_service.keys():
            self._idle_since_ms.pop(service)
        for service, entries in by_service.items():
            found = self._review(pool, service, entries)
            if found is not None:
                yield found

    def _is_paused(self, service: str, now_ms: int) -> bool:
        pause = self._pauses.get(service)
        return pause is not None and now_ms < pause.end_ms

    def _review(
        self, pool: WorkerPool, service: str, entries: list[UnplacedStep]
    ) -> IdleRoom | None:
        use = pool.use_of(service)
        steps = [entry for entry in entries if _may_be_backfilled(entry)]
        if use.share >= _MAX_SHARE_IN_USE or not any(
            _fits_idle_room(pool, entry) for entry in steps
        ):
            self._idle_since_ms.pop(service, None)
            return None
        since_ms = self._idle_since_ms.setdefault(service, pool.now_ms)
        idle_ms = pool.now_ms - since_ms
        if idle_ms < _MAX_IDLE_MS or self._is_paused(service, pool.now_ms):
            return None
        holders = (entry.waiting.urgency for entry in entries if entry.reserves)
        steps.sort(key=_backfill_order)
        return IdleRoom(idle_ms, use, steps, next(holders, None))


def _may_be_backfilled(entry: UnplacedStep) -> bool:
    """Return whether the runs of a step could be stopped again."""
    return is_preemptible(entry.waiting.step.spec)


def _fits_idle_room(pool: WorkerPool, entry: UnplacedStep) -> bool:
    """Return whether a gang, or any task, fits into the idle room."""
    step = entry.waiting.step
    demand = entry.backfill_demand
    if not pool.may_fit(step, pool.trial_room()):
        return False
    if step.spec.is_gang:
        return choose_gang_workers(pool, demand) is not None
    return _any_task_fits(pool, demand, step)


def _any_task_fits(pool: WorkerPool, demand: Demand, step: Step) -> bool:
    by_minion = count_step_tasks(step)
    for task in step.waiting_tasks:
        if choose_worker(pool, demand, task, by_minion) is not None:
            return True
        if task.is_unrestricted:
            return False
    return False


def _backfill_order(entry: UnplacedStep) -> tuple[int, int, bool, Urgency]:
    """Sort by tier and priority, then steps with checkpoints first."""
    urgency = entry.waiting.urgency
    loses_work = not entry.waiting.step.spec.has_checkpoints
    return urgency.tier, urgency.priority, loses_work, urgency
