"""Workers that may get new runs in a round."""

from collections.abc import Iterable, Mapping

from dragonflynotch.workflows.evacuation import Evacuation
from dragonflynotch.workflows.mechanisms import Mechanisms
from dragonflynotch.workflows.placement.start_risks import find_start_risks
from dragonflynotch.workflows.placement.trials import Trials
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.room_refusals import RoomRefusals
from dragonflynotch.workflows.runs.start_failures import StartFailures
from dragonflynotch.workflows.runs.worker_health import WorkerHealth

__all__ = ('PoolBuilder',)


class PoolBuilder:
    """Builds the pool of workers of each round.

    Parameters
    ----------
    orders : OrderRegistry
        Orders that hold resources.
    evacuation : Evacuation
        Workers that are evacuated get no new runs.
    health : WorkerHealth
        Workers on which runs fail are excluded for some time.
    refusals : RoomRefusals
        Starts that minions have refused for want of room.
    start_failures : StartFailures
        Workers on which ordered runs did not start.
    mechanisms : Mechanisms
        Parts of the policy to use.
    """

    def __init__(
        self,
        orders: OrderRegistry,
        evacuation: Evacuation,
        health: WorkerHealth,
        refusals: RoomRefusals,
        start_failures: StartFailures,
        mechanisms: Mechanisms,
    ) -> None:
        """Create a builder."""
        self._orders = orders
        self._evacuation = evacuation
        self._health = health
        self._refusals = refusals
        self._start_failures = start_failures
        self._mechanisms = mechanisms

    def build(
        self, workers: Iterable[Worker], max_report_age_ms: int, now_ms: int
    ) -> WorkerPool:
        """Return the workers that may get new runs, and their resources.

        Parameters
        ----------
        max_report_age_ms : int
            A worker whose last report is this old or older is left out.
        """
        accepting = {
            worker.minion_id: worker
            for worker in workers
            if worker.minion_id
            and worker.report.accepts_runs
            and now_ms - worker.reported_ms < max_report_age_ms
        }
        usable = [
            minion_id
            for minion_id, worker in accepting.items()
            if not self._evacuation.is_cordoned(worker)
        ]
        excluded: set[str] = set()
        failed_job_counts: dict[str, int] = {}
        if self._mechanisms.prefers_sound_workers:
            excluded = self._health.excluded(usable, now_ms)
            failed_job_counts = {
                minion_id: self._health.failed_job_count(minion_id, now_ms)
                for minion_id in accepting
            }
        due_trials = self._health.due_trials(excluded, now_ms)
        return WorkerPool(
            {
                minion_id: accepting[minion_id]
                for minion_id in usable
                if minion_id not in excluded
            },
            self._free_resources(accepting),
            now_ms,
            failed_job_counts,
            excluded={
                minion_id: accepting[minion_id] for minion_id in excluded
            },
            trials=Trials(
                {minion_id: accepting[minion_id] for minion_id in due_trials},
                due_trials,
            ),
            refused_needs=self._refusals.refused_needs(now_ms),
            start_risks=find_start_risks(
                accepting.values(),
                self._orders,
                self._start_failures,
                now_ms,
            ),
        )

    def _free_resources(
        self, workers: Mapping[str, Worker]
    ) -> dict[str, Resources]:
        """Return the resources that no order holds, by minion.

        They are negative if a minion has shrunk below what its orders hold.
        """
        free = {
            minion_id: worker.report.resources
            for minion_id, worker in workers.items()
        }
        for (minion_id, _), order in self._orders:
            if minion_id in free:
                free[minion_id] -= order.resources
        return free
