"""Order in which workers that fit are chosen for the tasks of a step."""

from collections.abc import Iterable, Sequence

from dragonflynotch.workflows.jobs import StepSpec
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.tasks import Task

__all__ = ('WorkerPreference',)

# Number of start risks, and whether the tasks crashed the node or failed there.
_Distrust = tuple[int, bool, bool]
# Whether runs are slow on the worker, and whether the data is elsewhere.
_Slowness = tuple[bool, bool]
_Rank = tuple[_Distrust, int, _Slowness, float, str]


class WorkerPreference:
    """Ranks workers for tasks that start together.

    Workers that might not start a run come last. Of the others, those on which
    the tasks did not fail come first, then those that are not slow,
    then those on the rack of the data, then
    the one that is filled best.
    Suspected tasks instead prefer other workers than those that they may have
    crashed, and the emptiest, where a crash ends fewest runs.

    Parameters
    ----------
    tasks : sequence of Task
        One task, or the members of a gang.
    """

    def __init__(
        self, pool: WorkerPool, spec: StepSpec, tasks: Sequence[Task]
    ) -> None:
        """Collect where the tasks failed and which minions they crashed."""
        self._pool = pool
        self._spec = spec
        self._failed_on = _union(task.failed_on for task in tasks)
        self._crashed_nodes = {
            crash.node for task in tasks for crash in task.crashes
        }

    def rank(self, worker: Worker, free: Resources) -> _Rank:
        """Return the sort key of a worker; the lowest is preferred.

        Parameters
        ----------
        free : Resources
            Resources of the worker that the tasks may use.
        """
        minion_id = worker.minion_id
        leftover = (free - self._spec.needs).dominant_share_of(
            worker.report.resources
        )
        return (
            self._distrust(worker),
            self._pool.failed_job_counts.get(minion_id, 0),
            self._slowness(worker),
            -leftover if self._crashed_nodes else leftover,
            minion_id,
        )

    def _slowness(self, worker: Worker) -> _Slowness:
        data_rack = self._spec.data_rack
        return (
            worker.minion_id in self._pool.slow_minions,
            bool(data_rack) and worker.report.rack != data_rack,
        )

    def _distrust(self, worker: Worker) -> _Distrust:
        return (
            len(self._pool.start_risks.get(worker.minion_id, ())),
            worker.node in self._crashed_nodes,
            worker.minion_id in self._failed_on,
        )


def _union(groups: Iterable[Iterable[str]]) -> set[str]:
    return {name for group in groups for name in group}
