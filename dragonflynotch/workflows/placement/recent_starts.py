"""Keeps the starts of suspected tasks apart from other starts.

Load: a task crashes each minion that starts it, on workers that start many
tasks. If two runs start on a worker at about the same time, its crash doesn't
tell which one was the cause, and a healthy task becomes a suspect.
"""

from dataclasses import dataclass, field

from dragonflynotch.workflows.job_registry import JobRegistry
from dragonflynotch.workflows.runs.crash_budget import RECENT_START_MS
from dragonflynotch.workflows.runs.order_registry import OrderRegistry
from dragonflynotch.workflows.tasks import Task

__all__ = ('RecentStarts', 'find_recent_starts', 'must_start_apart')

# A guard may carry out an order this long after it was given.
_START_DELAY_MS = 300
# How long after its last crash a task waits for a worker of its own.
_MAX_SEPARATION_MS = 10_000


@dataclass(slots=True)
class RecentStarts:
    """Minions on which runs were started a short time ago.

    Parameters
    ----------
    minions : set of str
        Minions with such runs; empty while no task is suspected.
    suspect_minions : set of str
        Minions with such runs of suspected tasks.
    """

    minions: set[str] = field(default_factory=set)
    suspect_minions: set[str] = field(default_factory=set)

    def add(self, minion_id: str, *, is_suspect: bool) -> None:
        """Add the start of a run."""
        self.minions.add(minion_id)
        if is_suspect:
            self.suspect_minions.add(minion_id)


def find_recent_starts(
    jobs: JobRegistry, orders: OrderRegistry, now_ms: int
) -> RecentStarts:
    """Return the starts that suspected tasks have to be kept apart from."""
    starts = RecentStarts()
    if not jobs.has_suspects():
        return starts
    after_ms = now_ms - RECENT_START_MS - _START_DELAY_MS
    for (minion_id, name), order in orders:
        found = jobs.find(name)
        if found is None or found[2].active is None:
            continue
        active = found[2].active
        if active.matches(minion_id, order.run) and (
            active.ordered_ms > after_ms
        ):
            starts.add(minion_id, is_suspect=bool(found[2].crashes))
    return starts


def must_start_apart(tasks: list[Task], now_ms: int) -> bool:
    """Return whether tasks have to wait for workers without recent starts."""
    return any(
        now_ms - task.crashes[-1].at_ms < _MAX_SEPARATION_MS
        for task in tasks
        if task.crashes
    )
