"""Stops or keeps runs on leaving workers.

Answers workers that are withdrawn at short notice, and rolling releases. The
notice is a minimum, so what can still complete continues. All inputs are in
stored rows, so a new leader decides as the previous one would have.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.placement.avoidance import avoided_by_step
from dragonflynotch.workflows.placement.best_fit import (
    fit_gang,
    fits_one_rack,
)
from dragonflynotch.workflows.placement.worker_pool import Demand, WorkerPool
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.runs.expected_end import (
    end_by_estimate,
    end_by_progress,
)
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.run_tracker import RunTracker
from dragonflynotch.workflows.tasks import ActiveRun, Task

__all__ = ('DepartureAction', 'Departures', 'RunOutlook', 'choose_action')

# Store calls from the decision to stop a run to its recorded checkpoint: the
# order is written and read, the end is written and read.
_STORE_CALLS_PER_STOP = 4
# Rounds are up to 250 ms apart; the rest covers polls and the store clock.
_STOP_MARGIN_MS = 500
# Ordinary drains often last this much longer than their notice.
_EXTENDED_STAY_MS = 8_000


class DepartureAction(StrEnum):
    """What is done with the runs of a leaving worker."""

    keep_running = 'keep_running'
    # Stopped while its checkpoint can be saved.
    save = 'save'
    # A gang without checkpoints, stopped because it can start elsewhere.
    move = 'move'


@dataclass(frozen=True, slots=True)
class RunOutlook:
    """A run, or a gang, of which at least one worker leaves.

    Parameters
    ----------
    leaves_at_ms : int
        Store time at which the first of its workers leaves.
    last_stop_ms : int
        Store time after which an order to stop may come too late.
    expected_end_ms : int or None
        Expected end, or ``None`` if it is not known.
    has_progress : bool
        Whether the end is expected from reported progress.
    has_checkpoints : bool
        Whether the run can resume from a checkpoint.
    is_gang : bool
        Whether these are all members of a gang.
    """

    leaves_at_ms: int
    last_stop_ms: int
    expected_end_ms: int | None
    has_progress: bool
    has_checkpoints: bool
    is_gang: bool

    @property
    def cannot_complete(self) -> bool:
        """Whether it cannot complete even if the worker stays for longer."""
        return (
            self.has_progress
            and self.expected_end_ms is not None
            and self.expected_end_ms > self.leaves_at_ms + _EXTENDED_STAY_MS
        )


def choose_action(outlook: RunOutlook, now_ms: int) -> DepartureAction:
    """Return what to do with a run; a move also requires room elsewhere.

    A run with checkpoints goes on until the last time at which they can be
    saved: until then it uses room that no other run may use.
    """
    if outlook.has_checkpoints:
        # An order to stop takes effect no sooner than after this time.
        stop_delay_ms = outlook.leaves_at_ms - outlook.last_stop_ms
        in_time_ms = max(outlook.leaves_at_ms, now_ms + stop_delay_ms)
        end_ms = outlook.expected_end_ms
        if end_ms is not None and end_ms <= in_time_ms:
            return DepartureAction.keep_running
        if now_ms < outlook.last_stop_ms:
            return DepartureAction.keep_running
        return DepartureAction.save
    # Once the notice is over, nothing tells how long the worker stays.
    if (
        outlook.is_gang
        and outlook.cannot_complete
        and now_ms < outlook.leaves_at_ms
    ):
        return DepartureAction.move
    return DepartureAction.keep_running


class Departures:
    """Stops runs that cannot complete before their worker leaves.

    Parameters
    ----------
    stop_ms : int
        Longest time from the order to stop a run until the run has ended.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        tracker: RunTracker,
        decision_log: DecisionLogBuffer,
        stop_ms: int,
    ) -> None:
        """Create the review of leaving workers."""
        self._jobs = jobs
        self._orders = orders
        self._tracker = tracker
        self._decision_log = decision_log
        self.stop_ms = stop_ms
        self._departure_stops = 0

    @property
    def departure_stops(self) -> int:
        """Runs that were stopped because a worker leaves."""
        return self._departure_stops

    def review(
        self,
        pool: WorkerPool,
        workers: Iterable[Worker],
        write_ms: int,
        *,
        may_start: bool = True,
    ) -> None:
        """Order the runs that cannot complete to stop.

        Comes after the placement of a round, so only room that waiting steps
        have left counts.

        Parameters
        ----------
        workers : iterable of Worker
            All workers, including those that leave.
        write_ms : int
            How long the last write to the store took.
        may_start : bool
            Whether runs may start in this round. If not, waiting steps have
            not been placed either, so free resources are no room for a gang.
        """
        leaving = {
            worker.minion_id: worker.leaves_at_ms
            for worker in workers
            if worker.minion_id and worker.leaves_at_ms is not None
        }
        if not leaving:
            return
        stop_delay_ms = (
            self.stop_ms + write_ms * _STORE_CALLS_PER_STOP + _STOP_MARGIN_MS
        )
        for job, step, tasks in self._affected(leaving):
            leaves_at_ms = min(
                leaving[task.active.minion_id]
                for task in tasks
                if task.active and task.active.minion_id in leaving
            )
            outlook = self._outlook(
                step, tasks, leaves_at_ms, stop_delay_ms, pool.now_ms
            )
            action = choose_action(outlook, pool.now_ms)
            if action is DepartureAction.move and not (
                may_start
                and _take_room(pool, self._demand(pool, job, step), tasks)
            ):
                continue
            if action is not DepartureAction.keep_running:
                self._stop(tasks, action, outlook, pool.now_ms)

    def _affected(
        self, leaving: Mapping[str, int]
    ) -> list[tuple[Job, Step, list[Task]]]:
        """Return the runs and gangs that a departure concerns."""
        found: dict[str, tuple[Job, Step, list[Task]]] = {}
        for (minion_id, name), order in self._orders:
            entry = (
                self._find_active(minion_id, name, order.run)
                if minion_id in leaving
                else None
            )
            if entry is None:
                continue
            job, step, task = entry
            if job.state.is_final or step.is_done or step.spec.is_long_running:
                continue
            tasks = step.tasks if step.spec.is_gang else [task]
            # A gang that is stopping or broken is stopped as a whole already.
            if all(map(_is_running, tasks)):
                found[str(tasks[0].task_id)] = (job, step, tasks)
        return list(found.values())

    def _find_active(
        self, minion_id: str, name: str, run: int
    ) -> tuple[Job, Step, Task] | None:
        """Return the task of an order if this is its active run.

        The order of an earlier run may still be stored for another worker.
        """
        found = self._jobs.find(name)
        if found is None or found[2].active is None:
            return None
        return found if found[2].active.matches(minion_id, run) else None

    def _outlook(
        self,
        step: Step,
        tasks: list[Task],
        leaves_at_ms: int,
        stop_delay_ms: int,
        now_ms: int,
    ) -> RunOutlook:
        """Return the outlook; a gang ends with its slowest member."""
        runs = [(task, task.active) for task in tasks if task.active]
        ends = [self._end_by_progress(task, run, now_ms) for task, run in runs]
        has_progress = None not in ends
        if not has_progress:
            ends = [end_by_estimate(run, step.spec, now_ms) for _, run in runs]
        known = [end_ms for end_ms in ends if end_ms is not None]
        return RunOutlook(
            leaves_at_ms=leaves_at_ms,
            last_stop_ms=leaves_at_ms - stop_delay_ms,
            expected_end_ms=max(known) if len(known) == len(ends) else None,
            has_progress=has_progress,
            has_checkpoints=step.spec.has_checkpoints,
            is_gang=step.spec.is_gang,
        )

    def _end_by_progress(
        self, task: Task, run: ActiveRun, now_ms: int
    ) -> int | None:
        order = self._orders.find((run.minion_id, str(task.task_id)), run.run)
        is_resumed = order is not None and bool(order.checkpoint)
        return end_by_progress(run, now_ms, is_resumed=is_resumed)

    def _demand(self, pool: WorkerPool, job: Job, step: Step) -> Demand:
        service = job.policy.service
        estimated_ms = step.spec.estimated_ms
        has_waited = pool.now_ms - job.spec.accepted_ms > estimated_ms
        return Demand(
            step,
            service,
            estimated_ms,
            may_leave_data_rack=has_waited,
            may_span_racks=has_waited or not fits_one_rack(pool, step, service),
            avoided_minions=avoided_by_step(pool, step, service),
        )

    def _stop(
        self,
        tasks: list[Task],
        action: DepartureAction,
        outlook: RunOutlook,
        now_ms: int,
    ) -> None:
        end_ms = outlook.expected_end_ms
        for task in tasks:
            self._departure_stops += 1
            self._tracker.order_stop(
                task,
                'worker_leaves',
                now_ms,
                action=action.value,
                minion=task.active.minion_id if task.active else '',
                percent=task.active.percent if task.active else 0,
                leaves_in_ms=outlook.leaves_at_ms - now_ms,
                ends_in_ms=None if end_ms is None else end_ms - now_ms,
                has_progress=outlook.has_progress,
                has_checkpoints=outlook.has_checkpoints,
            )


def _is_running(task: Task) -> bool:
    return task.active is not None and not task.active.is_stopping


def _take_room(pool: WorkerPool, demand: Demand, tasks: list[Task]) -> bool:
    """Take the resources that a gang needs elsewhere, if there are enough.

    Members on workers that stay make room for it when they stop.
    """
    needs = demand.step.spec.needs
    held = Counter(task.active.minion_id for task in tasks if task.active)
    available = {
        worker.minion_id: pool.available(worker, demand)
        + needs * held[worker.minion_id]
        for worker in pool.candidates(demand)
    }
    chosen = fit_gang(pool, demand, available)
    if chosen is None:
        return False
    for minion_id, count in held.items():
        if minion_id in pool.free:
            pool.free[minion_id] += needs * count
    for worker in chosen:
        pool.allocate(worker, needs)
    return True
