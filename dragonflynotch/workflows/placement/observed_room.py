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
        self._shares: dict[str, float] = {}

    def share_in_use(self, service: str) -> float:
        """Return the largest share of a resource that runs take up.

        Whether workers that get no new runs, such as silent ones, still have
        their room is not known, so the lower share of the two cases counts.
        """
        if service not in self._shares:
            self._shares[service] = min(
                self._measure(service, self._accepting.values()).share,
                self._measure(service, self._activity.workers).share,
            )
        return self._shares[service]

    def refresh(self) -> None:
        """Measure again, since runs have been ordered."""
        self._shares.clear()

    def fit_count(self, demand: Demand) -> int:
        """Return how many tasks of a step fit on the workers it may use."""
        step = demand.step
        limit = step.spec.max_per_worker or len(step.tasks) * 2
        by_minion = count_step_tasks(step)
        return sum(
            max(
                0,
                min(
                    limit - by_minion[worker.minion_id],
                    self._free(worker).fit_count(step.spec.needs),
                ),
            )
            for worker in self._pool.eligible_workers(demand)
        )

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
        return worker.report.resources - self._held(worker)
