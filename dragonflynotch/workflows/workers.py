"""Workers as their guards report them."""

from dataclasses import dataclass

from dragonflynotch.workflows.jobs import TaskId
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.resources import Resources

__all__ = ('Occupation', 'Worker')


@dataclass(frozen=True, slots=True)
class Occupation:
    """Resources that an ordered run holds until its end is reported."""

    task_id: TaskId
    needs: Resources
    expected_end_ms: int
    # Runs of one group are stopped together: the members of a gang.
    group: str
    # Work that would be lost if the run were stopped, in core seconds.
    preemption_cost: float = 0
    is_stopping: bool = False
    # Priority of the queue; 0 comes first.
    priority: int = 0
    is_preemptible: bool = False
    # A stop saves the work of the run.
    is_resumable: bool = False


@dataclass(slots=True)
class Worker:
    """One incarnation of a minion with its worker.

    Parameters
    ----------
    node : str
        Node of the guard.
    report : Report
        Last report.
    version : int
        Version of the row of the report.
    reported_ms : int
        Store time at which the report was received.
    """

    node: str
    report: Report
    version: int
    reported_ms: int

    @property
    def minion_id(self) -> str:
        """Incarnation of the minion."""
        return self.report.minion_id
