"""Workers as their guards report them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from dragonflynotch.workflows.jobs import TaskId
from dragonflynotch.workflows.records import Report
from dragonflynotch.workflows.resources import NOTHING, Resources

__all__ = ('Occupation', 'Worker')


@dataclass(frozen=True, slots=True)
class Occupation:
    """Resources that an ordered run holds until its end is reported."""

    task_id: TaskId
    needs: Resources
    expected_end_ms: int
    # Work that would be lost if the run were stopped, in core seconds.
    preemption_cost: float = 0
    is_stopping: bool = False
    is_preemptible: bool = False


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
    occupations: dict[TaskId, Occupation] = field(default_factory=dict)

    @property
    def minion_id(self) -> str:
        """Incarnation of the minion."""
        return self.report.minion_id

    @property
    def used(self) -> Resources:
        """Resources of all ordered runs."""
        return _total(self.occupations.values())

    @property
    def free(self) -> Resources:
        """Resources without a run."""
        return self.report.resources - self.used


def _total(occupations: Iterable[Occupation]) -> Resources:
    total = NOTHING
    for occupation in occupations:
        total += occupation.needs
    return total
