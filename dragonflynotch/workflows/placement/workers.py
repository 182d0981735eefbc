"""Workers as reported by their guards, and the resources held on them."""

from dataclasses import dataclass

from dragonflynotch.workflows.jobs import TaskId
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.resources import Resources

__all__ = ('Allocation', 'Allocations', 'Worker')


@dataclass(frozen=True, slots=True)
class Allocation:
    """Resources held by an ordered run until its end is reported."""

    task_id: TaskId
    needs: Resources
    expected_end_ms: int
    # The members of a gang have the same group and are stopped together.
    group: str
    # Work lost if the run is stopped, in core seconds.
    preemption_cost: float = 0
    is_stopping: bool = False
    # Whether the stop takes so long that its end cannot be predicted.
    is_stop_late: bool = False
    # Priority of the queue; 0 comes first.
    priority: int = 0
    is_preemptible: bool = False
    # Whether the task can resume from a checkpoint after a stop.
    is_resumable: bool = False
    # Whether the run has taken longer than estimated.
    is_past_estimate: bool = False
    # Whether the run stops when an earlier step can start in its place.
    is_backfill: bool = False


# By minion.
Allocations = dict[str, list[Allocation]]


@dataclass(slots=True)
class Worker:
    """A worker and the current incarnation of its minion.

    Parameters
    ----------
    node : str
        Node of the guard.
    report : Report
        Last report of the guard.
    version : int
        Version of the stored row that holds the report.
    reported_ms : int
        Store time of the report: when it was received, or when it was built
        if it was stored before this scheduler took over.
    """

    node: str
    report: Report
    version: int
    reported_ms: int

    @property
    def minion_id(self) -> str:
        """Identifier of the minion's incarnation."""
        return self.report.minion_id

    @property
    def data_centre(self) -> str:
        """Data centre of the worker, or ``''`` if unknown."""
        return self.report.data_centre

    @property
    def leaves_at_ms(self) -> int | None:
        """Store time of its departure at the earliest; ``None`` if it stays."""
        return self.report.leaves_at_ms
