"""Room of the workers by the runs that are there, not by all orders."""

from collections.abc import Iterable

from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    ServiceUse,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.runs.run_activity import RunActivity

__all__ = ('ObservedRoom',)


class ObservedRoom:
    """What the runs at the minions, and the orders of the round, leave free.

    Parameters
    ----------
    pool : WorkerPool
        Workers that may get new runs in the round.
    activity : RunActivity
        Runs that may be at the minions, and all workers.
    """

    def __init__(self, pool: WorkerPool, activity: RunActivity) -> None:
        """Use the orders and reports of the round."""
        self._accepting = {**pool.workers, **pool.excluded}
        self._pool = pool
        self._activity = activity
        # By service, the use of the workers that get new runs, and of all.
        self._uses: dict[str, tuple[ServiceUse, ServiceUse]] = {}
        # What the runs that may be there leave free, by minion.
        self._free_before_round: dict[str, Resources] = {}

    def share_in_use(self, service: str) -> float:
        """Return the largest share of a resource that runs take up.

        Whether workers that get no new runs, such as silent ones, still have
        their room is not known, so the lower share of the two cases counts.
        """
        if service not in self._uses:
            self._uses[service] = (
                self._measure(service, self._accepting.values()),
                self._measure(service, self._activity.workers),
            )
        return min(use.share for use in self._uses[service])

    def add_start(self, demand: Demand) -> None:
        """Count a run, or the runs of a gang, that were ordered now."""
        needs = demand.step.spec.needs * demand.step.start_count
        for use in self._uses.get(demand.service, ()):
            use.add(needs)

    def has_room_for(self, demand: Demand, wanted: int) -> bool:
        """Return whether this many tasks of a step fit on its workers."""
        step = demand.step
        limit = step.spec.max_per_worker or len(step.tasks) * 2
        by_minion = count_step_tasks(step)
        fitting = 0
        for worker in self._pool.eligible_workers(demand):
            fitting += max(
                0,
                min(
                    limit - by_minion[worker.minion_id],
                    self._free(worker).fit_count(step.spec.needs),
                ),
            )
            if fitting >= wanted:
                return True
        return False

    def _measure(self, service: str, workers: Iterable[Worker]) -> ServiceUse:
        use = ServiceUse(Resources(), Resources())
        for worker in workers:
            if worker.report.service == service:
                use.capacity += worker.report.resources
                use.add(self._held(worker))
        return use

    def _held(self, worker: Worker) -> Resources:
        minion_id = worker.minion_id
        return self._activity.held_resources(
            minion_id
        ) + self._pool.ordered_resources(minion_id)

    def _free(self, worker: Worker) -> Resources:
        minion_id = worker.minion_id
        free = self._free_before_round.get(minion_id)
        if free is None:
            held = self._activity.held_resources(minion_id)
            free = worker.report.resources - held
            self._free_before_round[minion_id] = free
        return free - self._pool.ordered_resources(minion_id)
