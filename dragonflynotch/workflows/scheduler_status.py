"""Figures about a scheduler for metrics."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from dragonflynotch.workflows.placement.capacity_use import CapacityUse

__all__ = ('SchedulerStatus',)


@dataclass(frozen=True, slots=True)
class SchedulerStatus:
    """What a scheduler sees; all empty on a node that does not schedule.

    Parameters
    ----------
    evacuation_run_counts : mapping of str to int
        Runs still ordered in each data centre that is evacuated.
    departure_stops : int
        Runs stopped in this term because a worker leaves.
    leaving_workers : int
        Workers that have announced when they leave.
    suspected_tasks : int
        Tasks of open jobs that may have crashed minions.
    lost_runs : int
        Runs recorded as lost in this term.
    idle_jobs : mapping of str to int
        Open jobs of which nothing runs although it could, by cause.
    capacity_use : mapping of str to CapacityUse
        Use of the capacity by service.
    unstorable_jobs : int
        Jobs that ended in this term because the store refuses their rows.
    jobs_set_aside : int
        Times that a job was set aside in this term after an error.
    """

    evacuation_run_counts: Mapping[str, int] = field(default_factory=dict)
    departure_stops: int = 0
    leaving_workers: int = 0
    suspected_tasks: int = 0
    lost_runs: int = 0
    idle_jobs: Mapping[str, int] = field(default_factory=dict)
    capacity_use: Mapping[str, CapacityUse] = field(default_factory=dict)
    unstorable_jobs: int = 0
    jobs_set_aside: int = 0
