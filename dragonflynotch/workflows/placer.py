"""Gives waiting steps their room, the most urgent first."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from dragonflynotch.workflows.decision_lines import DecisionLines
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.occupation import work_of
from dragonflynotch.workflows.order_ledger import OrderLedger
from dragonflynotch.workflows.placement import (
    Demand,
    Room,
    fits_a_rack,
    place_gang,
    place_task,
)
from dragonflynotch.workflows.progress import ActiveRun, Job, Step, Task
from dragonflynotch.workflows.ranking import Urgency, rank
from dragonflynotch.workflows.reclaim import Claim, choose_victims
from dragonflynotch.workflows.records import JobState, Order
from dragonflynotch.workflows.reserve import plan_reservations
from dragonflynotch.workflows.run_tracker import RunTracker
from dragonflynotch.workflows.workers import Occupation, Worker

__all__ = ('Placer', 'WaitingStep')

# Steps that keep room for themselves while they cannot start.
_MAX_RESERVING_STEPS = 3
# The wait of a step is logged this often.
_NOTE_PERIOD_MS = 5000
_MAX_NOTED_STEPS = 10_000
# Calls to the store between a decision and its start.
_SLOW_WRITES = 3
# Urgent work that is owed room waits this long for a rack of its own.
_URGENT_PATIENCE_MS = 1000

Occupations = Mapping[str, Sequence[Occupation]]


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step whose turn has come."""

    urgency: Urgency
    job: Job
    step: Step


class Placer:
    """Turns waiting tasks into orders.

    Parameters
    ----------
    start_window_ms : int
        How long an order may wait at its guard before it expires.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderLedger,
        tracker: RunTracker,
        lines: DecisionLines,
        start_window_ms: int,
    ) -> None:
        """Write orders to ``orders``."""
        self._jobs = jobs
        self._orders = orders
        self._tracker = tracker
        self._lines = lines
        self._start_window_ms = start_window_ms
        self._start_by_ms = 0
        # When the wait of a step was logged last.
        self._noted_ms: dict[Urgency, int] = {}

    def place(
        self,
        room: Room,
        occupations: Occupations,
        wall_ms: int,
        write_ms: int,
    ) -> None:
        """Order what fits, and keep room for what is due but does not fit."""
        # The order has to be written and read before it can be followed.
        slow_ms = min(write_ms * _SLOW_WRITES, self._start_window_ms)
        self._start_by_ms = room.now_ms + self._start_window_ms + slow_ms
        reserving_steps = 0
        for waiting in self._waiting_steps(room.now_ms, wall_ms):
            demand = self._demand(room, waiting)
            if self._place_step(room, demand, waiting.job):
                continue
            self._note_waiting(room, waiting)
            self._make_room(room, waiting, demand, occupations)
            if reserving_steps < _MAX_RESERVING_STEPS:
                reserving_steps += 1
                room.reservations.extend(
                    plan_reservations(room, demand, occupations)
                )

    def _waiting_steps(self, now_ms: int, wall_ms: int) -> list[WaitingStep]:
        demand = self._jobs.urgent_accelerators()
        waiting = []
        for job in self._jobs.open_jobs():
            is_guaranteed = self._is_guaranteed(job, demand)
            for step in job.steps:
                if (
                    step.waiting_tasks
                    and job.spec.due_ms(step.occurrence) <= wall_ms
                    and job.is_reached(step)
                ):
                    urgency = rank(
                        job,
                        step,
                        self._jobs.queue(job),
                        now_ms,
                        is_guaranteed=is_guaranteed,
                    )
                    waiting.append(WaitingStep(urgency, job, step))
        waiting.sort(key=lambda entry: entry.urgency)
        return waiting

    def _is_guaranteed(self, job: Job, demand: Counter[str]) -> bool:
        """Return whether the workspace's urgent work is in its guarantee."""
        name = job.spec.workspace
        workspace = self._jobs.deployment.workspaces.get(name)
        return (
            workspace is not None
            and self._jobs.queue(job).priority == 0
            and demand[name] <= workspace.guaranteed_accelerators
        )

    def _demand(self, room: Room, waiting: WaitingStep) -> Demand:
        # The right rack is worth waiting for while the slower run elsewhere
        # would cost more.
        job, step = waiting.job, waiting.step
        patience_ms = step.spec.estimated_ms
        if waiting.urgency.is_guaranteed:
            patience_ms = min(patience_ms, _URGENT_PATIENCE_MS)
        has_waited = room.now_ms - job.spec.accepted_ms > patience_ms
        service = self._jobs.service(job)
        return Demand(
            step,
            service,
            step.spec.estimated_ms,
            may_leave_data=has_waited,
            may_span_racks=has_waited or not fits_a_rack(room, step, service),
        )

    def _note_waiting(self, room: Room, waiting: WaitingStep) -> None:
        urgency = waiting.urgency
        noted_ms = self._noted_ms.get(urgency)
        if noted_ms is not None and room.now_ms - noted_ms < _NOTE_PERIOD_MS:
            return
        if len(self._noted_ms) > _MAX_NOTED_STEPS:
            self._noted_ms.clear()
        self._noted_ms[urgency] = room.now_ms
        spec = waiting.step.spec
        self._lines.record(
            'step_waits',
            job=urgency.job_id,
            step=urgency.step,
            tier=urgency.tier,
            tasks=len(waiting.step.waiting_tasks),
            needs=(spec.millicores, spec.memory_mb, spec.accelerators),
            workers=len(room.workers),
            waited_ms=room.now_ms - waiting.job.spec.accepted_ms,
            last_start_in_ms=urgency.last_start_ms - room.now_ms,
        )

    def _place_step(self, room: Room, demand: Demand, job: Job) -> bool:
        if demand.step.spec.is_gang:
            return self._place_gang(room, demand, job)
        return self._place_tasks(room, demand, job)

    def _place_gang(self, room: Room, demand: Demand, job: Job) -> bool:
        workers = place_gang(room, demand)
        if workers is None:
            return False
        run = max(task.run for task in demand.step.tasks) + 1
        for task, worker in zip(demand.step.tasks, workers, strict=True):
            self._order(room, job, demand.step, task, worker, run)
        return True

    def _place_tasks(self, room: Room, demand: Demand, job: Job) -> bool:
        step = demand.step
        on_step = Counter(
            task.active.minion_id for task in step.tasks if task.active
        )
        for task in step.waiting_tasks:
            worker = place_task(room, demand, task, on_step)
            if worker is None:
                return False
            on_step[worker.minion_id] += 1
            self._order(room, job, step, task, worker, task.run + 1)
        return True

    def _order(
        self,
        room: Room,
        job: Job,
        step: Step,
        task: Task,
        worker: Worker,
        run: int,
    ) -> None:
        needs = step.spec.needs
        room.take(worker, needs)
        task.run = run
        task.active = ActiveRun(
            worker.minion_id, run, room.now_ms, moved_ms=room.now_ms
        )
        name = str(task.task_id)
        self._orders.put(
            (worker.minion_id, name),
            Order(
                payload=job.spec.payload,
                run=run,
                start_by_ms=self._start_by_ms,
                checkpoint=task.checkpoint,
                needs=(needs.millicores, needs.memory_mb, needs.accelerators),
            ),
        )
        job.state = JobState.running
        self._jobs.mark_changed(job)
        self._lines.record(
            'run_ordered',
            task=name,
            run=run,
            minion=worker.minion_id,
            report_age_ms=room.now_ms - worker.reported_ms,
            waited_ms=room.now_ms - job.spec.accepted_ms,
        )

    def _make_room(
        self,
        room: Room,
        waiting: WaitingStep,
        demand: Demand,
        occupations: Occupations,
    ) -> None:
        """Stop less urgent runs for urgent work.

        Guaranteed work takes whatever others borrow. Other work that is
        urgent, or about to be late, may cost as much work as it is itself.
        """
        urgency = waiting.urgency
        priority = self._jobs.queue(waiting.job).priority
        if urgency.is_guaranteed:
            claim = Claim(priority)
        elif urgency.is_pressing(room.now_ms, priority):
            claim = Claim(priority, work_of(waiting.step.spec))
        else:
            return
        victims = choose_victims(room, demand, occupations, claim)
        if victims:
            self._lines.record(
                'room_taken',
                job=urgency.job_id,
                step=urgency.step,
                tier=urgency.tier,
                stops=len(victims),
                lost_core_s=round(sum(one.preemption_cost for one in victims)),
                work_core_s=round(work_of(waiting.step.spec)),
            )
        for occupation in victims:
            found = self._jobs.find(str(occupation.task_id))
            if found is None:
                continue
            _, step, task = found
            for member in step.tasks if step.spec.is_gang else (task,):
                self._tracker.stop(member, 'room_for_urgent_work')
