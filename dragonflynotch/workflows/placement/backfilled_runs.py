"""Runs that use idle room, and what steps that come earlier get back of it."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.ordering.ranking import Urgency
from dragonflynotch.workflows.ordering.step_ranking import StepRanking
from dragonflynotch.workflows.ordering.wait_log import WaitingStep
from dragonflynotch.workflows.placement.backfill import UnplacedStep
from dragonflynotch.workflows.placement.worker_pool import WorkerPool
from dragonflynotch.workflows.placement.workers import Allocations
from dragonflynotch.workflows.resources import Resources
from dragonflynotch.workflows.tasks import Task

__all__ = ('BackfilledRuns', 'find_backfilled_runs')


@dataclass(frozen=True, slots=True)
class _BackfilledRun:
    # Text form of the task identifier.
    name: str
    urgency: Urgency
    service: str
    task: Task
    needs: Resources


class BackfilledRuns:
    """Runs of a round that are marked as backfill."""

    def __init__(self, runs: Sequence[_BackfilledRun] = ()) -> None:
        """Create a collection; empty by default."""
        self._runs = runs

    def reclaimable(self, urgency: Urgency) -> frozenset[str]:
        """Return the tasks whose runs a step of this urgency may stop.

        Includes those that are stopping already.
        """
        return frozenset(
            run.name for run in self._runs if run.urgency > urgency
        )

    def may_make_room(self, pool: WorkerPool, waiting: WaitingStep) -> bool:
        """Return whether a step may fit if the runs that come later stop."""
        resources = [
            run.needs for run in self._runs if run.urgency > waiting.urgency
        ]
        return bool(resources) and pool.may_fit(
            waiting.step, sum(resources, Resources())
        )

    def planned_stops(
        self, allocations: Allocations, urgency: Urgency, end_ms: int
    ) -> Allocations:
        """Return allocations as if the runs that the step may stop end early.

        With their estimated ends, the reservation of the step would begin
        later, and runs that end before it would be placed in the room.

        Parameters
        ----------
        urgency : Urgency
            Urgency of the step that may stop these runs.
        end_ms : int
            Store time at which they have ended if they stop now.
        """
        tasks = self.reclaimable(urgency)
        if not tasks:
            return allocations
        return {
            minion_id: [
                replace(run, expected_end_ms=min(end_ms, run.expected_end_ms))
                if str(run.task_id) in tasks
                else run
                for run in held
            ]
            for minion_id, held in allocations.items()
        }

    def clear_marks(self, unplaced: Iterable[UnplacedStep]) -> None:
        """Unmark the runs before which no step of their service waits."""
        earliest: dict[str, Urgency] = {}
        for entry in unplaced:
            earliest.setdefault(entry.demand.service, entry.waiting.urgency)
        for run in self._runs:
            first = earliest.get(run.service)
            if run.task.active and (first is None or first >= run.urgency):
                run.task.active.is_backfill = False


def find_backfilled_runs(
    jobs: JobRegistry,
    allocations: Allocations,
    ranking: StepRanking,
) -> BackfilledRuns:
    """Return the runs that are marked as backfill, with their urgency."""
    marked = [
        allocation
        for held in allocations.values()
        for allocation in held
        if allocation.is_backfill
    ]
    runs = []
    for allocation in marked:
        name = str(allocation.task_id)
        found = jobs.find(name)
        if found is not None:
            job, step, task = found
            runs.append(
                _BackfilledRun(
                    name,
                    ranking.urgency(job, step),
                    job.policy.service,
                    task,
                    allocation.needs,
                )
            )
    return BackfilledRuns(runs)
