"""Orders runs on the workers that are chosen for them."""

from collections import Counter

from dragonflynotch.workflows.decision_log_buffer import DecisionLogBuffer
from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.placement.best_fit import (
    choose_gang_workers,
    choose_worker,
)
from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.progress import Job, Step
from dragonflynotch.workflows.records import Order
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.tasks import ActiveRun, Task

__all__ = ('RunOrderer',)


class RunOrderer:
    """Adds orders to ``orders`` and takes the resources from the pool.

    Attributes
    ----------
    start_by_ms : int
        Store time at which the orders of the round expire.
    retry_by_ms : int
        The same for every second order of a task whose runs do not start.
        Several workers that start nothing would otherwise delay it for as
        long as each of their orders lasts. The other orders last as long as
        the first, so that a task can start where each start is late.
    """

    def __init__(
        self,
        jobs: JobRegistry,
        orders: OrderRegistry,
        decision_log: DecisionLogBuffer,
    ) -> None:
        """Create an orderer; the times are set in each round."""
        self._jobs = jobs
        self._orders = orders
        self._decision_log = decision_log
        self.start_by_ms = 0
        self.retry_by_ms = 0

    def place_step(self, pool: WorkerPool, demand: Demand, job: Job) -> bool:
        """Order runs of all waiting tasks that fit; return whether all do."""
        if demand.step.spec.is_gang:
            return self.place_gang(pool, demand, job)
        return self._place_tasks(pool, demand, job)

    def place_gang(self, pool: WorkerPool, demand: Demand, job: Job) -> bool:
        """Order the runs of a gang if all members fit; return whether so."""
        workers = choose_gang_workers(pool, demand)
        if workers is None:
            return False
        run = max(task.run for task in demand.step.tasks) + 1
        for task, worker in zip(demand.step.tasks, workers, strict=True):
            self._order_run(pool, job, demand, task, worker, run)
        return True

    def _place_tasks(self, pool: WorkerPool, demand: Demand, job: Job) -> bool:
        step_tasks_by_minion = count_step_tasks(demand.step)
        are_all_placed = True
        for task in demand.step.waiting_tasks:
            if self.place_task(pool, demand, job, task, step_tasks_by_minion):
                continue
            are_all_placed = False
            if task.is_unrestricted:
                # The other tasks fit nowhere either.
                break
        return are_all_placed

    def place_task(
        self,
        pool: WorkerPool,
        demand: Demand,
        job: Job,
        task: Task,
        step_tasks_by_minion: Counter[str],
    ) -> bool:
        """Order a run of one task if it fits; return whether so.

        Parameters
        ----------
        step_tasks_by_minion : Counter
            Number of active tasks of the step by minion; updated.
        """
        worker = choose_worker(pool, demand, task, step_tasks_by_minion)
        if worker is None:
            return False
        step_tasks_by_minion[worker.minion_id] += 1
        self._order_run(pool, job, demand, task, worker, task.run + 1)
        return True

    def _expiry_ms(self, step: Step, task: Task) -> int:
        """Return when the order of a task expires, the same for a gang."""
        tasks = step.tasks if step.spec.is_gang else [task]
        failed_starts = max(task.failed_starts for task in tasks)
        return self.retry_by_ms if failed_starts % 2 else self.start_by_ms

    def _order_run(
        self,
        pool: WorkerPool,
        job: Job,
        demand: Demand,
        task: Task,
        worker: Worker,
        run: int,
    ) -> None:
        needs = demand.step.spec.needs
        # A run in idle room is backfill.
        is_backfill = demand.uses_idle_room
        pool.allocate(worker, needs)
        pool.recent_starts.add(worker.minion_id, is_suspect=bool(task.crashes))
        task.run = run
        task.active = ActiveRun(
            worker.minion_id,
            run,
            pool.now_ms,
            progress_changed_ms=pool.now_ms,
            is_backfill=is_backfill,
        )
        name = str(task.task_id)
        self._orders.put(
            (worker.minion_id, name),
            Order(
                payload=job.spec.payload,
                run=run,
                start_by_ms=self._expiry_ms(demand.step, task),
                checkpoint=task.checkpoint,
                needs=(needs.millicores, needs.memory_mb, needs.accelerators),
                is_backfill=is_backfill,
            ),
        )
        self._jobs.mark_changed(job)
        self._decision_log.record(
            'run_ordered',
            task=name,
            run=run,
            minion=worker.minion_id,
            report_age_ms=pool.now_ms - worker.reported_ms,
            waited_ms=pool.now_ms - job.spec.accepted_ms,
            task_failures=task.failures,
            worker_failed_jobs=pool.failed_job_counts.get(worker.minion_id, 0),
            start_risks=pool.start_risks.get(worker.minion_id, ()),
            is_avoided_worker=worker.minion_id in task.failed_on,
            is_trial=worker.minion_id in pool.excluded,
            is_backfill=is_backfill,
        )
