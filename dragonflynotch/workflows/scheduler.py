"""The scheduler: jobs, reports and time in, orders and progress out.

It has no input or output of its own. A holder of the scheduling lease feeds
it and writes what it decides; after a takeover the next holder builds it anew
from the stored rows.
"""

from collections import Counter
from dataclasses import dataclass, field

from dragonflynotch.workflows.deployment import Deployment, Queue
from dragonflynotch.workflows.evidence import WorkerEvidence
from dragonflynotch.workflows.jobs import JobSpec, TaskId, parse_task_id
from dragonflynotch.workflows.placement import (
    Demand,
    Room,
    place_gang,
    place_task,
)
from dragonflynotch.workflows.progress import ActiveRun, Job, Step, Task
from dragonflynotch.workflows.ranking import Urgency, rank
from dragonflynotch.workflows.reclaim import choose_victims
from dragonflynotch.workflows.records import (
    EndKind,
    JobState,
    Order,
    ProgressRow,
    Rejection,
    Report,
    RunEnd,
    RunningTask,
)
from dragonflynotch.workflows.reserve import plan_reservation
from dragonflynotch.workflows.workers import Occupation, Worker

__all__ = ('Decisions', 'Scheduler', 'SchedulerSettings')

_DEFAULT_QUEUE = Queue('', '', '', '')
# Steps that keep room for themselves while they cannot start.
_MAX_RESERVATIONS = 3
_GPU_CORES = 8
_MS_PER_S = 1000
_MILLI = 1000
# A run may exceed its estimate; after this factor nothing is assumed.
_MIN_REMAINING_MS = 300
_PERCENT = 100
# A run stands still if its percentage has not moved for this multiple of the
# time that a percent takes, and for this long.
_STALL_FACTOR = 6
_MIN_STALL_MS = 5_000


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds of the scheduler, in milliseconds of the store's clock.

    Parameters
    ----------
    start_window_ms : int
        How long an order may wait at its guard before it expires.
    report_limit_ms : int
        Age of a report above which its worker gets no new work.
    stop_ms : int
        Longest time that a stop takes.
    far_factor : float
        How much slower a task is away from its rack.
    keep_ended_ms : int
        How long the state of an ended job is kept.
    """

    start_window_ms: int = 1500
    report_limit_ms: int = 4000
    stop_ms: int = 400
    far_factor: float = 3
    keep_ended_ms: int = 180_000


@dataclass(slots=True)
class Decisions:
    """What has to be written, and what to log."""

    progress: dict[str, ProgressRow] = field(default_factory=dict)
    # Orders by minion and task; ``None`` removes one.
    orders: dict[tuple[str, str], Order | None] = field(default_factory=dict)
    forgotten_jobs: list[str] = field(default_factory=list)
    log: list[dict[str, object]] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to be written."""
        return not (self.progress or self.orders or self.forgotten_jobs)


class Scheduler:
    """Decides which task runs where."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Create a scheduler without jobs."""
        self._settings = settings
        self._deployment = Deployment(0)
        self._jobs: dict[str, Job] = {}
        self._open: dict[str, Job] = {}
        self._cancelled: set[str] = set()
        self._workers: dict[str, Worker] = {}
        self._orders: dict[tuple[str, str], Order] = {}
        self._evidence = WorkerEvidence()
        self._out = Decisions()
        self._dirty: set[str] = set()

    # ---- input -----------------------------------------------------------

    @property
    def workers(self) -> dict[str, Worker]:
        """Workers by node."""
        return self._workers

    def apply_deployment(self, deployment: Deployment) -> None:
        """Take a new version of the configuration."""
        self._deployment = deployment

    def put_job(self, job_id: str, spec: JobSpec) -> None:
        """Add an accepted job."""
        if job_id in self._jobs:
            return
        job = Job(job_id, spec)
        self._jobs[job_id] = job
        self._open[job_id] = job

    def restore_progress(self, job_id: str, row: ProgressRow) -> None:
        """Take stored progress after a takeover."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.restore(row)
        if job.state.is_final:
            self._open.pop(job_id, None)

    def restore_order(self, minion_id: str, task: str, order: Order) -> None:
        """Take a stored order after a takeover."""
        self._orders[minion_id, task] = order
        found = self._find(task)
        if found is None:
            return
        _, _, state = found
        state.run = max(state.run, order.run)
        state.active = ActiveRun(
            minion_id,
            order.run,
            order.start_by_ms - self._settings.start_window_ms,
            is_stopping=order.is_stopped,
            moved_ms=order.start_by_ms,
        )

    def cancel(self, job_id: str) -> None:
        """Cancel a job; known or not, it will not start any more."""
        if job_id in self._cancelled:
            return
        self._cancelled.add(job_id)
        job = self._open.get(job_id)
        if job is not None:
            self._log('job_cancelled', job=job_id)

    def report(
        self, node: str, report: Report, version: int, now_ms: int
    ) -> None:
        """Take the report of a guard."""
        worker = self._workers.get(node)
        previous = worker.minion_id if worker else ''
        if worker is None or previous != report.minion_id:
            worker = Worker(node, report, version, now_ms)
            self._workers[node] = worker
            if previous:
                self._void_orders(previous, 'incarnation_replaced', now_ms)
        worker.report = report
        worker.version = version
        worker.reported_ms = now_ms
        if not report.minion_id:
            return
        for end in report.ended:
            self._apply_end(report.minion_id, end, now_ms)
        for rejection in report.rejected:
            self._apply_rejection(report.minion_id, rejection)
        for running in report.running:
            self._apply_running(report.minion_id, running, now_ms)
        if not report.is_live:
            self._void_orders(report.minion_id, 'lease_expired', now_ms)

    def void_node(self, node: str, now_ms: int) -> None:
        """Give up the runs of a guard whose authority has ended."""
        worker = self._workers.pop(node, None)
        if worker is not None and worker.minion_id:
            self._void_orders(worker.minion_id, 'guard_lost', now_ms)

    def void_unknown_orders(self, now_ms: int) -> None:
        """Give up orders of incarnations that no guard reports any more."""
        known = {worker.minion_id for worker in self._workers.values()}
        for minion_id in {minion for minion, _ in self._orders} - known:
            self._void_orders(minion_id, 'incarnation_unknown', now_ms)

    # ---- decisions -------------------------------------------------------

    def decide(self, now_ms: int, wall_ms: int) -> Decisions:
        """Return what to write now.

        Parameters
        ----------
        now_ms : int
            Time of the store.
        wall_ms : int
            Time since 1970, for jobs with a due time.
        """
        for job in list(self._open.values()):
            self._settle(job, now_ms)
        self._stop_stalled(now_ms)
        self._place(now_ms, wall_ms)
        self._forget_old(now_ms)
        for job_id in self._dirty:
            job = self._jobs.get(job_id)
            if job is not None:
                self._out.progress[job_id] = job.progress_row()
        self._dirty.clear()
        decisions = self._out
        self._out = Decisions()
        return decisions

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the accepted jobs without a started task."""
        counts = Counter(
            job.spec.queue
            for job in self._open.values()
            if job.state is JobState.queued and not job.spec.repetitions
        )
        return dict(counts)

    # ---- ends ------------------------------------------------------------

    def _apply_end(self, minion_id: str, end: RunEnd, now_ms: int) -> None:
        key = (minion_id, end.task)
        order = self._orders.get(key)
        if order is None or order.run != end.run:
            return
        self._drop_order(key)
        found = self._find(end.task)
        if found is None:
            return
        job, step, task = found
        if task.active is None or task.active.run != end.run:
            return
        was_done = task.is_done
        job.apply_end(step, task, end.kind, end.checkpoint)
        self._dirty.add(job.job_id)
        self._log(
            'end_recorded',
            task=end.task,
            run=end.run,
            kind=end.kind.value,
            minion=minion_id,
        )
        if end.kind is EndKind.done:
            self._evidence.note_success(minion_id, now_ms)
        elif end.kind is EndKind.failed and not was_done:
            task.avoided.add(minion_id)
            if self._evidence.note_failure(minion_id, job.job_id, now_ms):
                self._log('worker_excluded', minion=minion_id)

    def _apply_rejection(self, minion_id: str, rejection: Rejection) -> None:
        key = (minion_id, rejection.task)
        order = self._orders.get(key)
        if order is None or order.run != rejection.run:
            return
        self._drop_order(key)
        found = self._find(rejection.task)
        if found is None:
            return
        job, _, task = found
        if task.active is not None and task.active.run == rejection.run:
            task.active = None
            self._dirty.add(job.job_id)
        self._log(
            'start_not_run',
            task=rejection.task,
            run=rejection.run,
            reason=rejection.reason,
            minion=minion_id,
        )

    def _apply_running(
        self, minion_id: str, running: RunningTask, now_ms: int
    ) -> None:
        found = self._find(running.task)
        if found is None:
            return
        job, step, task = found
        active = task.active
        if (
            active is None
            or active.run != running.run
            or active.minion_id != minion_id
        ):
            return
        if running.percent != active.percent or not active.is_present:
            active.percent = running.percent
            active.moved_ms = now_ms
            active.is_present = True
        if step.spec.has_checkpoints and running.checkpoint:
            job.save_checkpoint(step, task, running.checkpoint)

    def _void_orders(self, minion_id: str, reason: str, now_ms: int) -> None:
        for key in [key for key in self._orders if key[0] == minion_id]:
            self._drop_order(key)
            found = self._find(key[1])
            if found is None:
                continue
            job, step, task = found
            if task.active is not None and task.active.minion_id == minion_id:
                job.apply_end(step, task, EndKind.lapsed, '')
                self._dirty.add(job.job_id)
                self._log(
                    'run_lost', task=key[1], minion=minion_id, reason=reason
                )

    def _drop_order(self, key: tuple[str, str]) -> None:
        self._orders.pop(key, None)
        self._out.orders[key] = None

    # ---- state of jobs ---------------------------------------------------

    def _settle(self, job: Job, now_ms: int) -> None:
        """Stop what must not run on and recognise ended jobs."""
        state = self._final_state(job)
        if state is None:
            for step in job.steps:
                self._stop_broken_gang(job, step)
            return
        self._open.pop(job.job_id)
        job.state = state
        job.ended_ms = now_ms
        self._dirty.add(job.job_id)
        self._log('job_ended', job=job.job_id, state=state.value)
        if state is not JobState.completed:
            for task in job.tasks():
                self._stop(task, state.value)

    def _final_state(self, job: Job) -> JobState | None:
        if job.job_id in self._cancelled:
            return JobState.cancelled
        limit = max(1, self._queue(job).max_attempts)
        is_failed = any(
            step.attempts >= limit and not step.is_done
            for step in job.steps
            if not step.spec.is_long_running
        )
        if is_failed:
            return JobState.failed
        if all(step.is_done for step in job.steps):
            return JobState.completed
        return None

    def _stop_broken_gang(self, job: Job, step: Step) -> None:
        """Stop the members of a gang whose run cannot be completed."""
        if not step.spec.is_gang or step.is_done:
            return
        active = [task for task in step.tasks if task.active is not None]
        if active and len(active) < len(step.tasks):
            for task in active:
                self._stop(task, 'gang_broken')

    def _stop(self, task: Task, reason: str) -> None:
        active = task.active
        if active is None or active.is_stopping:
            return
        key = (active.minion_id, str(task.task_id))
        order = self._orders.get(key)
        if order is None:
            return
        active.is_stopping = True
        order.is_stopped = True
        self._out.orders[key] = order
        self._log('stop_ordered', task=key[1], run=active.run, reason=reason)

    def _stop_stalled(self, now_ms: int) -> None:
        for job in self._open.values():
            for step in job.steps:
                if step.spec.is_long_running or not step.has_active_runs:
                    continue
                for task in step.tasks:
                    self._stop_if_stalled(job, step, task, now_ms)

    def _stop_if_stalled(
        self, job: Job, step: Step, task: Task, now_ms: int
    ) -> None:
        active = task.active
        if active is None or active.is_stopping or not active.is_present:
            return
        worker = self._worker_of(active.minion_id)
        if worker is None or now_ms - worker.reported_ms > (
            self._settings.report_limit_ms
        ):
            return
        per_percent_ms = (
            step.spec.estimated_ms * self._settings.far_factor / _PERCENT
        )
        limit_ms = max(_MIN_STALL_MS, per_percent_ms * _STALL_FACTOR)
        if now_ms - active.moved_ms > limit_ms:
            task.avoided.add(active.minion_id)
            self._evidence.note_failure(active.minion_id, job.job_id, now_ms)
            self._stop(task, 'stalled')

    def _forget_old(self, now_ms: int) -> None:
        for job_id, job in list(self._jobs.items()):
            is_old = now_ms - job.ended_ms > self._settings.keep_ended_ms
            if (
                job.state.is_final
                and is_old
                and not any(task.active for task in job.tasks())
            ):
                del self._jobs[job_id]
                self._cancelled.discard(job_id)
                self._out.forgotten_jobs.append(job_id)

    # ---- placement -------------------------------------------------------

    def _place(self, now_ms: int, wall_ms: int) -> None:
        room = self._room(now_ms)
        for urgency, job, step in self._ready_steps(now_ms, wall_ms):
            demand = self._demand(job, step, now_ms)
            if step.spec.is_gang:
                is_placed = self._place_gang(room, demand, job)
            else:
                is_placed = self._place_tasks(room, demand, job)
            if is_placed:
                continue
            if urgency.tier == 0:
                self._reclaim(room, demand, now_ms)
            if len(room.reservations) < _MAX_RESERVATIONS:
                reservation = plan_reservation(
                    room, demand, self._occupations(now_ms)
                )
                if reservation is not None:
                    room.reservations.append(reservation)

    def _ready_steps(
        self, now_ms: int, wall_ms: int
    ) -> list[tuple[Urgency, Job, Step]]:
        demands = self._guaranteed_demand()
        ready = []
        for job in self._open.values():
            queue = self._queue(job)
            guaranteed = self._deployment.workspaces.get(job.spec.workspace)
            is_guaranteed = (
                queue.priority == 0
                and guaranteed is not None
                and demands[job.spec.workspace]
                <= guaranteed.guaranteed_accelerators
            )
            for step in job.steps:
                if not step.waiting_tasks or not job.is_reached(step):
                    continue
                due_ms = job.spec.due_ms(step.occurrence)
                if due_ms > wall_ms:
                    continue
                urgency = rank(
                    job, step, queue, now_ms, is_guaranteed=is_guaranteed
                )
                ready.append((urgency, job, step))
        ready.sort(key=lambda entry: entry[0])
        return ready

    def _guaranteed_demand(self) -> Counter[str]:
        """Return the accelerators of unfinished urgent jobs by workspace."""
        demand: Counter[str] = Counter()
        for job in self._open.values():
            if self._queue(job).priority == 0:
                demand[job.spec.workspace] += max(
                    (step.accelerators * step.count for step in job.spec.steps),
                    default=0,
                )
        return demand

    def _demand(self, job: Job, step: Step, now_ms: int) -> Demand:
        # Room on the right rack is worth waiting for about as long as the
        # slower run would cost.
        patience_ms = step.spec.estimated_ms
        has_waited = now_ms - job.spec.accepted_ms > patience_ms
        return Demand(
            step,
            self._service(job),
            step.spec.estimated_ms,
            may_leave_data=has_waited,
            may_span_racks=has_waited or self._is_urgent(job),
        )

    def _is_urgent(self, job: Job) -> bool:
        return self._queue(job).priority == 0

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
        key = (worker.minion_id, str(task.task_id))
        order = Order(
            payload=job.spec.payload,
            run=run,
            start_by_ms=room.now_ms + self._settings.start_window_ms,
            checkpoint=task.checkpoint,
            needs=(needs.millicores, needs.memory_mb, needs.accelerators),
        )
        self._orders[key] = order
        self._out.orders[key] = order
        job.state = JobState.running
        self._dirty.add(job.job_id)
        self._log(
            'run_ordered',
            task=key[1],
            run=run,
            minion=worker.minion_id,
            report_age_ms=room.now_ms - worker.reported_ms,
            waited_ms=room.now_ms - job.spec.accepted_ms,
        )

    def _reclaim(self, room: Room, demand: Demand, now_ms: int) -> None:
        """Stop borrowers so that guaranteed work can start."""
        occupations = self._occupations(now_ms)
        for occupation in choose_victims(room, demand, occupations):
            found = self._find(str(occupation.task_id))
            if found is None:
                continue
            _, step, task = found
            members = step.tasks if step.spec.is_gang else (task,)
            for member in members:
                self._stop(member, 'guarantee_reclaimed')

    def _room(self, now_ms: int) -> Room:
        workers = {
            worker.minion_id: worker
            for worker in self._workers.values()
            if worker.minion_id
            and worker.report.is_ready
            and now_ms - worker.reported_ms < self._settings.report_limit_ms
        }
        excluded = self._evidence.excluded(list(workers), now_ms)
        used = Counter[str]()
        free = {
            minion_id: worker.report.resources
            for minion_id, worker in workers.items()
        }
        for (minion_id, _), order in self._orders.items():
            used[minion_id] += 1
            if minion_id in free:
                free[minion_id] -= order.resources
        return Room(
            {
                minion_id: worker
                for minion_id, worker in workers.items()
                if minion_id not in excluded
            },
            free,
            now_ms,
            {
                minion_id: self._evidence.suspicion(minion_id)
                for minion_id in workers
            },
        )

    def _occupations(self, now_ms: int) -> dict[str, list[Occupation]]:
        """Return what holds room, by minion."""
        held: dict[str, list[Occupation]] = {}
        for (minion_id, name), order in self._orders.items():
            found = self._find(name)
            if found is None:
                continue
            job, step, task = found
            held.setdefault(minion_id, []).append(
                self._occupation(job, step, task, order, now_ms)
            )
        return held

    def _occupation(
        self, job: Job, step: Step, task: Task, order: Order, now_ms: int
    ) -> Occupation:
        spec = step.spec
        active = task.active
        percent = active.percent if active else 0
        elapsed_ms = now_ms - active.ordered_ms if active else 0
        remaining_ms = max(
            _MIN_REMAINING_MS,
            min(
                spec.estimated_ms * (_PERCENT - percent) // _PERCENT,
                spec.estimated_ms - elapsed_ms
                if not percent
                else spec.estimated_ms,
            ),
        )
        if order.is_stopped:
            remaining_ms = self._settings.stop_ms
        cores = spec.millicores / _MILLI + spec.accelerators * _GPU_CORES
        lost_ms = 0 if spec.has_checkpoints else elapsed_ms
        return Occupation(
            task.task_id,
            order.resources,
            now_ms + remaining_ms,
            preemption_cost=cores * (lost_ms + _MS_PER_S) / _MS_PER_S,
            is_stopping=order.is_stopped,
            is_preemptible=(
                self._queue(job).priority > 0
                and spec.max_unavailable is None
                and not spec.is_long_running
            ),
        )

    # ---- helpers ---------------------------------------------------------

    def _find(self, name: str) -> tuple[Job, Step, Task] | None:
        task_id: TaskId | None = parse_task_id(name)
        job = self._jobs.get(task_id.job_id) if task_id else None
        found = job.find(task_id) if job and task_id else None
        return (job, *found) if job and found else None

    def _worker_of(self, minion_id: str) -> Worker | None:
        for worker in self._workers.values():
            if worker.minion_id == minion_id:
                return worker
        return None

    def _queue(self, job: Job) -> Queue:
        return self._deployment.queues.get(job.spec.queue, _DEFAULT_QUEUE)

    def _service(self, job: Job) -> str:
        queue = self._deployment.queues.get(job.spec.queue)
        return queue.service if queue else job.spec.service

    def _log(self, event: str, **fields: object) -> None:
        self._out.log.append({'event': event, **fields})
