"""How many tasks of a step fit, kept up to date as resources change.

Reservations and preemption ask after each freed run whether a step fits now.
The answer only depends on the counts of the changed worker, so the cost of a
search grows with the number of runs and not with runs times workers.
"""

from collections import Counter
from collections.abc import Mapping

from dragonflynotch.workflows.placement.worker_pool import (
    Demand,
    WorkerPool,
    count_step_tasks,
)
from dragonflynotch.workflows.resources import Resources

__all__ = ('StepFit',)


class StepFit:
    """Whether the waiting tasks of a step fit into some resources.

    Parameters
    ----------
    available : mapping
        Resources that the step may use, by minion. The caller changes it and
        calls ``update`` for each minion changed.
    """

    def __init__(
        self,
        pool: WorkerPool,
        demand: Demand,
        available: Mapping[str, Resources],
    ) -> None:
        """Count what fits at first."""
        spec = demand.step.spec
        self._available = available
        self._needs = spec.needs
        self._is_gang = spec.is_gang
        self._needs_one_rack = (
            spec.is_gang and spec.wants_one_rack and not demand.may_span_racks
        )
        self._wanted = len(
            demand.step.tasks if spec.is_gang else demand.step.waiting_tasks
        )
        self._limit = spec.max_per_worker or self._wanted
        # All members of a gang start anew.
        self._held: Counter[str] = Counter()
        if spec.max_per_worker and not spec.is_gang:
            self._held = count_step_tasks(demand.step)
        self._racks = {
            minion_id: pool.find(minion_id).report.rack
            for minion_id in available
        }
        self._counts: dict[str, int] = {}
        self._count_by_rack: Counter[str] = Counter()
        self._total = 0
        for minion_id in available:
            self.update(minion_id)

    @property
    def count(self) -> int:
        """How many tasks fit, at most those that wait."""
        return min(self._total, self._wanted)

    def want(self, count: int) -> None:
        """Let ``fits`` tell whether this many tasks fit."""
        self._wanted = count

    @property
    def fits(self) -> bool:
        """Whether all waiting tasks, or all members of a gang, fit."""
        if self._needs_one_rack:
            return any(
                count >= self._wanted for count in self._count_by_rack.values()
            )
        return self._total >= self._wanted

    def update(self, minion_id: str) -> None:
        """Count again what fits on a minion whose resources changed."""
        limit = max(0, self._limit - self._held[minion_id])
        fitting = min(limit, self._available[minion_id].fit_count(self._needs))
        change = fitting - self._counts.get(minion_id, 0)
        if change:
            self._counts[minion_id] = fitting
            self._count_by_rack[self._racks[minion_id]] += change
            self._total += change
