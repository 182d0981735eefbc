"""Share of the capacity of a service that is in use."""

from collections import defaultdict
from dataclasses import dataclass, field

from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.runs.reported_runs import ReportedRuns

__all__ = ('CapacityUse', 'measure_capacity_use')


@dataclass(frozen=True, slots=True)
class CapacityUse:
    """Shares of the capacity of the workers that accept runs.

    Each is the largest share of any resource.

    Parameters
    ----------
    in_use : float
        Share that orders hold.
    unreported : float
        Share held by orders whose runs no recent report lists.
    """

    in_use: float = 0
    unreported: float = 0


@dataclass(slots=True)
class _Totals:
    capacity: Resources = field(default_factory=Resources)
    held: Resources = field(default_factory=Resources)
    unreported: Resources = field(default_factory=Resources)

    @property
    def use(self) -> CapacityUse:
        """Shares of the capacity."""
        return CapacityUse(
            self.held.dominant_share_of(self.capacity),
            self.unreported.dominant_share_of(self.capacity),
        )


def measure_capacity_use(
    pool: WorkerPool, orders: OrderRegistry, reported: ReportedRuns
) -> dict[str, CapacityUse]:
    """Return the use of the capacity by service.

    Includes workers that are excluded, but not those that get no new runs
    because their data centre is evacuated.
    """
    workers = {**pool.workers, **pool.excluded}
    totals: dict[str, _Totals] = defaultdict(_Totals)
    for worker in workers.values():
        total = totals[worker.report.service]
        total.capacity += worker.report.resources
    for (minion_id, name), order in orders:
        if minion_id not in workers:
            continue
        total = totals[workers[minion_id].report.service]
        total.held += order.resources
        if not reported.is_running(minion_id, name, order.run):
            total.unreported += order.resources
    return {service: total.use for service, total in totals.items()}
