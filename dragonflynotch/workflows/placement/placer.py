"""Places waiting steps on workers, the most urgent first."""

from collections import Counter

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.ordering.blocking_repeats import BlockingRepeats
from dragonflynotch.workflows.ordering.idle_jobs import IdleJobs
from dragonflynotch.workflows.ordering.idle_log import IdleLog
from dragonflynotch.workflows.ordering.ranking import Urgency
from dragonflynotch.workflows.ordering.step_ranking import StepRanking
from dragonflynotch.workflows.ordering.wait_log import WaitingStep, WaitLog
from dragonflynotch.workflows.placement.avoidance import avoided_by_step
from dragonflynotch.workflows.placement.backfill import UnplacedStep
from dragonflynotch.workflows.placement.backfilled_runs import (
    find_backfilled_runs,
)
from dragonflynotch.workflows.placement.backfiller import Backfiller
from dragonflynotch.workflows.placement.best_fit import fits_one_rack
from dragonflynotch.workflows.placement.recent_starts import find_recent_starts
from dragonflynotch.workflows.placement.reservations import plan_reservations
from dragonflynotch.workflows.placement.room_maker import RoomMaker
from dragonflynotch.workflows.placement.run_orderer import RunOrderer
from dragonflynotch.workflows.placement.start_claims import (
    CLAIM_DELAY_MS,
    StartClaims,
)
from dragonflynotch.workflows.placement.step_room import find_room
from dragonflynotch.workflows.placement.wait_bound import (
    IDLE_LIMIT_MS,
    BoundedStep,
    WaitBound,
)
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Allocations
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.run_activity import RunActivity
from dragonflynotch.workflows.runs.run_tracker import RunTracker

__all__ = ('Placer',)

# Most steps of a service per round that reserve resources because they cannot
# start yet.
_MAX_RESERVING_STEPS = 3
# Store calls between the decision to start a run and its start.
_STORE_CALLS_BEFORE_START = 3
# An order after one whose run did not start lasts this many times shorter.
_RETRY_TIMEOUT_DIVISOR = 2
# How long guaranteed work waits for its data rack, or for one rack for a gang.
_GUARANTEED_RACK_WAIT_MS = 1000


class Placer:
    """Orders runs for waiting tasks.

    Parameters
    ----------
    start_timeout_ms : int
        How long a guard may delay the start of an ordered run before the
        order expires.
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    mechanisms : Mechanisms
        Parts of the policy to use.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
        idle_log: IdleLog,
        start_timeout_ms: int,
        stop_ms: int,
        mechanisms: Mechanisms,
    ) -> None:
        """Create a placer that adds its orders to ``orders``."""
        self._jobs = jobs
        self._orders = orders
        self._room_maker = RoomMaker(
            jobs, tracker, decision_log, stop_ms, mechanisms
        )
        self._mechanisms = mechanisms
        self.start_timeout_ms = start_timeout_ms
        self._wait_log = WaitLog(decision_log)
        self._idle_log = idle_log
        self._run_orderer = RunOrderer(jobs, orders, decision_log)
        self._backfiller = Backfiller(self._run_orderer, decision_log)
        self._wait_bound = WaitBound(self._run_orderer, decision_log)
        self._idle_jobs = IdleJobs()
        self._start_claims = StartClaims()
        self._repeats = BlockingRepeats(jobs, decision_log)

    def apply_stop_ms(self, stop_ms: int) -> None:
        """Use this bound on the time from the order to stop to the end."""
        self._room_maker.stop_ms = stop_ms

    def place(
        self,
        pool: WorkerPool,
        allocations: Allocations,
        activity: RunActivity,
        wall_ms: int,
        write_ms: int,
        latest_start_ms: int | None,
    ) -> None:
        """Order runs for steps that fit and reserve resources for others.

        A step that is urgent enough also stops runs of less urgent queues.
        Reserved room that stays idle is then given to less urgent steps, and
        jobs that have waited beside free room for too long get a run.

        Parameters
        ----------
        activity : RunActivity
            Which of the ordered runs are at work.
        latest_start_ms : int or None
            Store time after which no run may start; ``None`` orders none.
        """
        self._idle_jobs.update(
            self._jobs.open_jobs(), activity, pool.now_ms, wall_ms
        )
        if latest_start_ms is None or latest_start_ms <= pool.now_ms:
            return
        # The guard can start the run only after the order has been written to
        # the store and read from it.
        store_delay_ms = min(
            write_ms * _STORE_CALLS_BEFORE_START, self.start_timeout_ms
        )
        self._run_orderer.start_by_ms = min(
            pool.now_ms + self.start_timeout_ms + store_delay_ms,
            latest_start_ms,
        )
        self._run_orderer.retry_by_ms = min(
            pool.now_ms
            + self.start_timeout_ms // _RETRY_TIMEOUT_DIVISOR
            + store_delay_ms,
            latest_start_ms,
        )
        pool.recent_starts = find_recent_starts(
            self._jobs, self._orders, pool.now_ms
        )
        if self._mechanisms.prefers_repeats:
            self._repeats.update()
        ranking = StepRanking(self._jobs, pool, self._repeats, self._mechanisms)
        backfilled = find_backfilled_runs(self._jobs, allocations, ranking)
        self._room_maker.backfilled = backfilled
        waiting_steps = self._waiting_steps(ranking, wall_ms)
        if pool.recent_starts.minions or self._start_claims.are_active:
            self._start_claims.update(
                pool, self._claiming_demands(pool, waiting_steps)
            )
        unplaced = self._place_by_urgency(pool, waiting_steps, allocations)
        backfilled.clear_marks(unplaced)
        if self._mechanisms.backfills:
            self._backfiller.fill(pool, unplaced)
        if self._mechanisms.bounds_waits:
            self._wait_bound.enforce(
                pool,
                activity,
                self._bounded_steps(pool, waiting_steps, unplaced),
            )

    def _claiming_demands(
        self, pool: WorkerPool, waiting_steps: list[WaitingStep]
    ) -> list[Demand]:
        """Return the demands of steps that may claim workers for a start."""
        return [
            self._demand(pool, waiting)
            for waiting in waiting_steps
            if self._idle_ms(pool, waiting) >= CLAIM_DELAY_MS
        ]

    def _bounded_steps(
        self,
        pool: WorkerPool,
        waiting_steps: list[WaitingStep],
        unplaced: list[UnplacedStep],
    ) -> list[BoundedStep]:
        """Return the steps that still wait, of jobs with nothing at work."""
        # By service, the first step for which runs stop.
        stopping: dict[str, Urgency] = {}
        for entry in unplaced:
            if entry.awaits_stops:
                stopping.setdefault(entry.demand.service, entry.waiting.urgency)
        steps = []
        for waiting in waiting_steps:
            if not self._idle_ms(pool, waiting):
                continue
            if not waiting.step.waiting_tasks:
                continue
            first = stopping.get(waiting.job.policy.service)
            steps.append(
                BoundedStep(
                    waiting,
                    self._demand(pool, waiting),
                    is_behind_stops=first is not None
                    and first < waiting.urgency,
                )
            )
        return steps

    def _place_by_urgency(
        self,
        pool: WorkerPool,
        waiting_steps: list[WaitingStep],
        allocations: Allocations,
    ) -> list[UnplacedStep]:
        """Place steps in this order and return those that still wait."""
        reserving_steps: Counter[str] = Counter()
        unplaced = []
        for waiting in waiting_steps:
            service = waiting.job.policy.service
            may_reserve = reserving_steps[service] < _MAX_RESERVING_STEPS
            if not may_reserve and self._must_only_wait(pool, waiting):
                continue
            demand = self._demand(pool, waiting)
            if self._run_orderer.place_step(pool, demand, waiting.job):
                continue
            entry = self._wait_for_room(
                pool, waiting, demand, allocations, may_reserve=may_reserve
            )
            unplaced.append(entry)
            reserving_steps[service] += entry.reserves
        return unplaced

    def _wait_for_room(
        self,
        pool: WorkerPool,
        waiting: WaitingStep,
        demand: Demand,
        allocations: Allocations,
        *,
        may_reserve: bool,
    ) -> UnplacedStep:
        """Stop runs and reserve resources for a step that does not fit."""
        self._record_wait(pool, waiting, demand, allocations)
        plan = self._room_maker.make_room(pool, waiting, demand, allocations)
        entry = UnplacedStep(
            waiting,
            demand,
            may_reserve or plan.will_fit,
            awaits_stops=plan.will_fit,
        )
        stop_ms = self._room_maker.stop_ms
        if any(run.is_backfill for run in plan.victims):
            self._backfiller.pause(entry, pool.now_ms, stop_ms)
        elif plan.will_fit:
            self._backfiller.extend_pause(entry, pool.now_ms)
        if entry.reserves:
            expected = self._room_maker.backfilled.planned_stops(
                allocations, waiting.urgency, pool.now_ms + stop_ms
            )
            self._reserve(pool, demand, expected)
        return entry

    def _record_wait(
        self,
        pool: WorkerPool,
        waiting: WaitingStep,
        demand: Demand,
        allocations: Allocations,
    ) -> None:
        is_wait_due = self._wait_log.is_due(pool, waiting)
        is_job_due = self._idle_log.needs_room(waiting.job.job_id)
        if not (is_wait_due or is_job_due):
            return
        room = find_room(pool, demand, allocations)
        self._idle_log.add_room(waiting.step, room)
        if is_wait_due:
            self._wait_log.record(pool, waiting, demand, room)

    def _reserve(
        self, pool: WorkerPool, demand: Demand, allocations: Allocations
    ) -> None:
        if self._mechanisms.reserves:
            pool.reservations.extend(
                plan_reservations(pool, demand, allocations)
            )

    def _must_only_wait(self, pool: WorkerPool, waiting: WaitingStep) -> bool:
        """Return whether nothing can be done for a step in this round."""
        return not (
            pool.may_fit(waiting.step, pool.trial_room())
            or self._wait_log.is_due(pool, waiting)
            or self._idle_log.needs_room(waiting.job.job_id)
            or self._room_maker.may_make_room(pool, waiting)
        )

    def _waiting_steps(
        self, ranking: StepRanking, wall_ms: int
    ) -> list[WaitingStep]:
        waiting = [
            WaitingStep(ranking.urgency(job, step), job, step)
            for job in self._jobs.open_jobs()
            for step in job.steps
            if step.waiting_tasks
            and job.spec.due_ms(step.occurrence) <= wall_ms
            and job.is_unblocked(step)
            and job.may_start(step)
        ]
        waiting.sort(key=lambda entry: entry.urgency)
        return waiting

    def _demand(self, pool: WorkerPool, waiting: WaitingStep) -> Demand:
        """Return the placement requirements, relaxed after some wait."""
        # Waiting for the preferred rack pays off up to the estimated run time:
        # beyond that, a slower run on another rack would have cost less.
        job, step = waiting.job, waiting.step
        rack_wait_ms = step.spec.estimated_ms
        if waiting.urgency.is_guaranteed:
            rack_wait_ms = min(rack_wait_ms, _GUARANTEED_RACK_WAIT_MS)
        has_waited = (
            not self._mechanisms.waits_for_rack
            or pool.now_ms - job.spec.accepted_ms > rack_wait_ms
        )
        service = job.policy.service
        return Demand(
            step,
            service,
            step.spec.estimated_ms,
            may_leave_data_rack=has_waited,
            may_span_racks=(
                has_waited
                or not step.spec.wants_one_rack
                or not fits_one_rack(pool, step, service)
            ),
            avoided_minions=avoided_by_step(pool, step, service),
            may_try_excluded=self._may_try_excluded(pool, waiting),
            may_join_suspects=waiting.urgency.is_guaranteed,
            max_attempts=job.policy.max_attempts or 1,
        )

    def _may_try_excluded(self, pool: WorkerPool, waiting: WaitingStep) -> bool:
        """Return whether one start of a step may try an excluded worker."""
        idle_ms = self._idle_ms(pool, waiting)
        return idle_ms >= IDLE_LIMIT_MS and waiting.step.start_count == 1

    def _idle_ms(self, pool: WorkerPool, waiting: WaitingStep) -> int:
        """Return for how long the job of a step has had nothing at work."""
        return self._idle_jobs.idle_ms(waiting.job.job_id, pool.now_ms)
