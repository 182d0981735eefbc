"""Single starts on excluded workers, which show whether they have recovered.

Load: runs failed on some workers for a time, these have recovered, and what
waits fits nowhere else. Without trials they stay idle until their exclusion
ends.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from dragonflynotch.workflows.placement.workers import Worker
from dragonflynotch.workflows.runs.worker_health import FAILURE_WINDOW_MS
from dragonflynotch.workflows.tasks import Task

__all__ = ('Trials',)


@dataclass(slots=True)
class Trials:
    """Excluded workers that may be tried in a round, each with one start.

    Parameters
    ----------
    workers : mapping of str to Worker
        These workers, by minion.
    failure_ages_ms : mapping of str to int
        Time since the last failure there in milliseconds, by minion.
    started : set of str
        Minions that were tried in the round.
    """

    workers: Mapping[str, Worker] = field(default_factory=dict)
    failure_ages_ms: Mapping[str, int] = field(default_factory=dict)
    started: set[str] = field(default_factory=set)

    def untried(self) -> list[Worker]:
        """Return the workers that have not been tried in the round."""
        return [
            worker
            for minion_id, worker in self.workers.items()
            if minion_id not in self.started
        ]

    def record_start(self, minion_id: str) -> None:
        """Record that a run was ordered, on any worker."""
        if minion_id in self.workers:
            self.started.add(minion_id)

    def too_risky_for(
        self, tasks: Sequence[Task], max_attempts: int
    ) -> set[str]:
        """Return the minions that tasks must not try.

        A task does not risk its last attempt on a worker with a recent failure.
        """
        if all(task.failures + 1 < max_attempts for task in tasks):
            return set()
        return {
            minion_id
            for minion_id, age_ms in self.failure_ages_ms.items()
            if age_ms < FAILURE_WINDOW_MS
        }
