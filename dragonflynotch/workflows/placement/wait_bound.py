"""Bound on how long a job with nothing at work waits beside free room.

Load: under half of the capacity is in use, and all of the free room is kept
from a job: reserved for a gang that waits for a late run, on workers that are
excluded or that the task avoids, or on other racks than the one wanted. Each
such preference earns something by itself. Together, or one after the other,
they can keep the job waiting without an end.

A job of which nothing has run for a short time gets one run or, for a gang, one
run of each member, by the hard requirements alone. What is used is judged by
the runs that guards report, not by orders. No input or output.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.allocations import may_be_reclaimed
from dragonflynotch.workflows.placement.observed_room import ObservedRoom
from dragonflynotch.workflows.placement.run_orderer import RunOrderer
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.progress import Job
from dragonflynotch.workflows.runs.run_activity import RunActivity

__all__ = ('IDLE_LIMIT_MS', 'BoundedStep', 'WaitBound')

# A job waits this long beside free room before preferences no longer count.
IDLE_LIMIT_MS = 1500
# How much longer it waits while runs stop for a step that comes earlier. Longer
# than a stop, so that the step starts before its room is used again.
_MAX_STOPPING_MS = 1000
# Free room for this many times the tasks that start together is required.
_MIN_FIT_FACTOR = 2
# Room is only taken while less than this share of a service is in use.
_MAX_SHARE_IN_USE = 0.5
# A wait that the conditions interrupt for less than this long goes on.
_MAX_INTERRUPTION_MS = 1000
# Most jobs that are started in one round, which keeps the rounds short.
_MAX_STARTS_PER_ROUND = 200


class Relaxation(StrEnum):
    """What no longer counts for a step; each includes the ones before it."""

    reservations = 'reservations'
    racks = 'racks'
    preferences = 'preferences'


@dataclass(frozen=True, slots=True)
class BoundedStep:
    """A waiting step of a job with nothing at work.

    Parameters
    ----------
    demand : Demand
        Its placement requirements in the round.
    is_behind_stops : bool
        Whether runs stop for a step of the service that comes earlier.
    """

    waiting: WaitingStep
    demand: Demand
    is_behind_stops: bool

    @property
    def job(self) -> Job:
        """The job of the step."""
        return self.waiting.job

    @property
    def relaxed_demands(self) -> Iterator[tuple[Relaxation, Demand]]:
        """The demand with fewer and fewer preferences.

        Runs that cannot be stopped for other work leave reserved room alone:
        the step that reserves it might never start.
        """
        demand = replace(
            self.demand,
            may_try_excluded=True,
            uses_idle_room=may_be_reclaimed(self.demand.step.spec),
        )
        yield Relaxation.reservations, demand
        demand = replace(demand, may_leave_data_rack=True, may_span_racks=True)
        yield Relaxation.racks, demand
        yield (
            Relaxation.preferences,
            replace(
                demand, ignores_preferences=True, avoided_minions=frozenset()
            ),
        )

    @property
    def hard_demand(self) -> Demand:
        """The demand without any preferences."""
        return dict(self.relaxed_demands)[Relaxation.preferences]


@dataclass(slots=True)
class _Wait:
    since_ms: int
    # Store time of the last round in which the job could have run.
    seen_ms: int
    # Since when runs have been stopping for an earlier step, if they are.
    stopping_since_ms: int | None = None


class WaitBound:
    """Starts jobs that have waited beside free room for too long."""

    def __init__(
        self, run_orderer: RunOrderer, decision_log: DecisionLogBuffer
    ) -> None:
        """Create a bound that has seen no job wait."""
        self._run_orderer = run_orderer
        self._decision_log = decision_log
        self._waits: dict[str, _Wait] = {}
        self._is_first_round = True

    def enforce(
        self,
        pool: WorkerPool,
        activity: RunActivity,
        steps: Sequence[BoundedStep],
    ) -> None:
        """Order a run for each job that has waited for too long.

        Parameters
        ----------
        steps : sequence of BoundedStep
            Waiting steps of jobs with nothing at work, by urgency.
        """
        room = ObservedRoom(pool, activity)
        able = [step for step in steps if _could_run(room, step)]
        self._update_waits(able, pool.now_ms)
        due = [
            step
            for step in able
            if self._is_due(step, pool.now_ms)
            and not activity.is_starting(step.job.job_id)
        ]
        due.sort(key=lambda step: self._waits[step.job.job_id].since_ms)
        started: set[str] = set()
        for step in due:
            if len(started) >= _MAX_STARTS_PER_ROUND:
                return
            if step.job.job_id not in started and self._start(pool, room, step):
                started.add(step.job.job_id)

    def _update_waits(self, able: Sequence[BoundedStep], now_ms: int) -> None:
        self._waits = {
            job_id: wait
            for job_id, wait in self._waits.items()
            if now_ms - wait.seen_ms <= _MAX_INTERRUPTION_MS
        }
        for step in able:
            job = step.job
            wait = self._waits.setdefault(
                job.job_id, _Wait(self._first_seen_ms(job, now_ms), now_ms)
            )
            wait.seen_ms = now_ms
            if not step.is_behind_stops:
                wait.stopping_since_ms = None
            elif wait.stopping_since_ms is None:
                wait.stopping_since_ms = now_ms
        self._is_first_round = False

    def _first_seen_ms(self, job: Job, now_ms: int) -> int:
        """Return since when a job that is seen now counts as waiting.

        A new leader does not know since when jobs have waited. It takes them
        for due, so that successive takeovers do not add up to a long wait.
        """
        if not self._is_first_round:
            return now_ms
        return max(min(job.spec.accepted_ms, now_ms), now_ms - IDLE_LIMIT_MS)

    def _is_due(self, step: BoundedStep, now_ms: int) -> bool:
        wait = self._waits[step.job.job_id]
        if now_ms - wait.since_ms < IDLE_LIMIT_MS:
            return False
        stopping_since_ms = wait.stopping_since_ms
        return (
            stopping_since_ms is None
            or now_ms - stopping_since_ms >= _MAX_STOPPING_MS
        )

    def _start(
        self, pool: WorkerPool, room: ObservedRoom, step: BoundedStep
    ) -> bool:
        """Order a run, or the runs of a gang; return whether any fits."""
        if not _could_run(room, step):
            return False
        share = room.share_in_use(step.demand.service)
        for relaxation, demand in step.relaxed_demands:
            if not self._place(pool, demand, step.job):
                continue
            room.add_start(demand)
            urgency = step.waiting.urgency
            self._decision_log.record(
                'wait_ended_by_bound',
                job=urgency.job_id,
                step=urgency.step,
                runs=demand.step.start_count,
                waited_ms=pool.now_ms - self._waits[step.job.job_id].since_ms,
                without=relaxation.value,
                share_in_use=round(share, 2),
                share_ordered=round(pool.use_of(demand.service).share, 2),
            )
            return True
        return False

    def _place(self, pool: WorkerPool, demand: Demand, job: Job) -> bool:
        if demand.step.spec.is_gang:
            return self._run_orderer.place_gang(pool, demand, job)
        by_minion = count_step_tasks(demand.step)
        return any(
            self._run_orderer.place_task(pool, demand, job, task, by_minion)
            for task in demand.step.waiting_tasks
        )


def _could_run(room: ObservedRoom, step: BoundedStep) -> bool:
    """Return whether the job waits although the service is mostly idle."""
    if room.share_in_use(step.demand.service) >= _MAX_SHARE_IN_USE:
        return False
    wanted = _MIN_FIT_FACTOR * step.waiting.step.start_count
    return room.has_room_for(step.hard_demand, wanted)
